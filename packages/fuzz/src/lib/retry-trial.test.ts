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

	it.each([1, 2, 5, 10])('of a chain of %d stay within one repetition of the chain per retry with the conserved allowance', depth => {
		expect(countAttempts('conserved', depth, 1)).toBeLessThanOrEqual(depth * (1 + retries));
	});

	it('grow with each level where a counter is copied', () => {
		// At level k of a chain the counter reaches a leg in (k + 3 choose 3) ways: 4 at the first, 10 at the second.
		expect(countAttempts('counter', 2, 1)).toBe(4 + 10);
		expect(countAttempts('counter', 3, 1)).toBe(4 + 10 + 20);
	});
});
