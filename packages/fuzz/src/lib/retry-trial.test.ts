/**
 * Guards against wrong attempt counts for the strategies that docs/retries.md compares.
 */
import {describe, expect, it} from 'vitest';
import {countAttempts, retryStrategyOptions} from './retry-trial.js';

const {retries} = retryStrategyOptions;

describe('attempts at targets', () => {
	it.each(['conserved', 'ratio', 'counter'])('of a single target are the first and its retries: %s', strategy => {
		expect(countAttempts(strategy, 1, 1)).toBe(1 + retries);
	});

	it.each([[1, 1], [2, 1], [10, 1], [3, 2], [6, 3]])('with depth %d and fan-out %d exceed the first attempts by at most the retry total with the conserved allowance', (depth, fanOut) => {
		const firstAttempts = Array.from({length: depth}, (_value, level) => fanOut ** level).reduce((sum, count) => sum + count);
		expect(countAttempts('conserved', depth, fanOut) - firstAttempts).toBeLessThanOrEqual(retries);
	});

	it('grow with each level if a counter is copied', () => {
		// A call at level k of a chain is attempted (k + 3 choose 3) times: 4 at the first level, 10 at the second.
		expect(countAttempts('counter', 2, 1)).toBe(4 + 10);
		expect(countAttempts('counter', 3, 1)).toBe(4 + 10 + 20);
	});
});
