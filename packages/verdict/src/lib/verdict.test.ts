/**
 * The composition of verdicts, so that no call is told did-not-run while a leg below it may have run.
 */
import {describe, expect, it} from 'vitest';
import {
	composeVerdicts, isVerdict, type VerdictName,
} from './verdict.js';

describe('composition', () => {
	it.each<[VerdictName, VerdictName[], VerdictName]>([
		['did-not-run', [], 'did-not-run'],
		['did-not-run', ['did-not-run', 'did-not-run'], 'did-not-run'],
		['did-not-run', ['did-not-run', 'ran'], 'may-have-run'],
		['did-not-run', ['may-have-run'], 'may-have-run'],
		['ran', ['may-have-run'], 'ran'],
		['may-have-run', ['did-not-run'], 'may-have-run'],
	])('of %s with legs %j is %s', (own, legs, expected) => {
		expect(composeVerdicts(own, legs)).toBe(expected);
	});
});

it.each(['', 'Ran', 'did not run', undefined, 1])('%j from another process is no verdict', value => {
	expect(isVerdict(value)).toBe(false);
});
