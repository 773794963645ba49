/**
 * Guards against did-not-run for a call while one of its downstream calls may have run.
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
	])('of %s with downstream verdicts %j is %s', (localVerdict, downstreamVerdicts, expected) => {
		expect(composeVerdicts(localVerdict, downstreamVerdicts)).toBe(expected);
	});
});

it.each(['', 'Ran', 'did not run', undefined, 1])('%j from another process is not a verdict', value => {
	expect(isVerdict(value)).toBe(false);
});
