/**
 * The trial counts what the ways to bound retries allow, so that docs/retries.md compares like with like.
 */
import {describe, expect, it} from 'vitest';
import {countAttempts, retryTrialOptions} from './retry-trial.js';

const {retries} = retryTrialOptions;

describe('attempts at targets', () => {
	it.each(['conserved', 'ratio', 'counter'])('of a single target are the first and its retries: %s', way => {
		expect(countAttempts(way, 1, 1)).toBe(1 + retries);
	});

	it.each([[1, 1], [2, 1], [10, 1], [3, 2], [6, 3]])('with depth %d and fan-out %d exceed the first by at most the total with the conserved allowance', (depth, fanOut) => {
		const first = Array.from({length: depth}, (_value, level) => fanOut ** level).reduce((sum, count) => sum + count);
		expect(countAttempts('conserved', depth, fanOut) - first).toBeLessThanOrEqual(retries);
	});

	it('grow with each level where a counter is copied', () => {
		// At level k of a chain the counter reaches a leg in (k + 3 choose 3) ways: 4 at the first, 10 at the second.
		expect(countAttempts('counter', 2, 1)).toBe(4 + 10);
		expect(countAttempts('counter', 3, 1)).toBe(4 + 10 + 20);
	});
});
