/**
 * Guards against policy records that are accepted although a part of them is invalid, and against priorities that depend
 * on the schema version.
 */
import {readFileSync} from 'node:fs';
import {
	describe, expect, it,
} from 'vitest';
import {
	checkPolicyRecord, comparePolicyRecords, maximumRecordBytes, parsePolicyRecord, prioritiesPerRank, PolicyRecord,
} from '../index.js';

const example = (version: number) => readFileSync(new URL(`../../../../examples/policy-version-${version}.json`, import.meta.url), 'utf8');
const [text1, text2] = [example(1), example(2)];

type Change = [from: string, to: string];

const durationExpected = 'expected a duration with a unit, such as "1500ms", "2s" or "1m"';
const worthExpected = 'expected a worth below 90, the lowest of a protected kind, for a kind that is not protected';
const identityExpected = 'of the irreversible kind "case-intake" (5000 ms), found 4000 ms';

/** Version, change to the example, and the only fault that the change must cause. */
const invalidRecords: Array<[name: string, version: 1 | 2, change: Change, fault: string]> = [
	['an unknown version', 1, ['"schemaVersion": 1', '"schemaVersion": 3'], '/schemaVersion: expected one of 1, 2, found 3'],
	['no version', 1, ['"schemaVersion": 1,', ''], '/schemaVersion: expected one of 1, 2, found nothing'],
	['text that is not JSON', 1, ['"kinds":', '"kinds"'], 'document: expected JSON, found '],
	['a duration text in version 1', 1, ['"lifetimeMilliseconds": 3000', '"lifetimeMilliseconds": "3s"'], '/kinds/0/lifetimeMilliseconds: expected a number, found "3s"'],
	['a fraction of a millisecond', 1, ['"lifetimeMilliseconds": 3000', '"lifetimeMilliseconds": 0.5'], '/kinds/0/lifetimeMilliseconds: expected an integer, found 0.5'],
	['a number as a duration in version 2', 2, ['"3s"', '3000'], '/kinds/withdrawal/lifetime: expected a text, found 3000'],
	['a duration without a unit', 2, ['"3s"', '"3000"'], '/kinds/withdrawal/lifetime: ' + durationExpected + ', found "3000"'],
	['an unknown unit', 2, ['"3s"', '"3 sec"'], '/kinds/withdrawal/lifetime: ' + durationExpected + ', found "3 sec"'],
	['a duration out of bounds', 2, ['"10s"', '"11m"'], '/coldStartRamp: expected a duration from 0ms to 10m, found "11m"'],
	['an unknown key', 1, ['"retries": 3,', '"retries": 3, "retry": 3,'], '/kinds/0/retry: expected only known keys, found an unknown key'],
	['an unknown key in version 2', 2, ['"protected"', '"protects": [], "protected"'], '/protects: expected only known keys, found an unknown key'],
	['a missing field', 2, ['"coldStartRamp": "10s"', '"notes": ""'], '/coldStartRamp: expected a text, found nothing'],
	['too many retries', 2, ['"retries": 3', '"retries": 101'], '/kinds/withdrawal/retries: expected at most 100, found 101'],
	['a kind twice', 1, ['"name": "history"', '"name": "stock-view"'], '/kinds/3/name: expected each kind once, found kind "stock-view" again'],
	['a kind twice in version 2', 2, ['"history":', '"stock-view":'], '/kinds/stock-view: expected each key once, found a repeated key'],
	['a protected kind that is missing', 2, ['"protected": [', '"protected": ["booking", '], '/protected/0: expected the name of a kind in /kinds, found "booking", which is missing there'],
	['a name that breaks metric tags', 1, ['"name": "history"', '"name": "a,b"'], '/kinds/3/name: expected a name of 1 to 64 letters, digits, "_", "." and "-", found "a,b"'],
	['an unprotected kind with the worth of a protected one', 1, ['"worth": 5,', '"worth": 90,'], '/kinds/2/worth: ' + worthExpected + ', found 90'],
	['an unprotected kind above a protected one', 2, ['["withdrawal", "case-intake"]', '["case-intake"]'], '/kinds/withdrawal/worth: ' + worthExpected + ', found 100'],
	['an identity lifetime below a kind\'s lifetime', 1, ['60000', '4000'], '/identityLifetimeMilliseconds: expected at least the lifetimeMilliseconds ' + identityExpected],
	['an identity lifetime below a kind\'s lifetime in version 2', 2, ['"1m"', '"4s"'], '/identityLifetime: expected at least the lifetime ' + identityExpected],
];

describe('a policy record', () => {
	it.each(invalidRecords)('with %s is refused as a whole', (_name, version, [from, to], fault) => {
		const text = version === 1 ? text1 : text2;
		expect(text).toContain(from);
		expect(() => parsePolicyRecord(text.replace(from, to))).toThrow(fault);
	});

	it('without kinds is refused', () => {
		expect(checkPolicyRecord(JSON.stringify({...JSON.parse(text1), kinds: []}))).toMatchObject({valid: false, faults: [{path: '/kinds', expected: 'at least 1 entries'}]});
		expect(checkPolicyRecord(JSON.stringify({...JSON.parse(text2), kinds: {}, protected: []}))).toMatchObject({valid: false, faults: [{path: '/kinds', expected: 'at least 1 kind'}]});
	});

	it('over the size limit is refused before it is parsed', () => {
		const padded = text1 + ' '.repeat(maximumRecordBytes - text1.length);
		expect(checkPolicyRecord(padded).valid).toBe(true);
		expect(checkPolicyRecord(`${padded} `)).toMatchObject({valid: false, faults: [{expected: 'at most 1000000 bytes', found: '1000001 bytes'}]});
	});

	it('lists a bounded number of faults', () => {
		const check = checkPolicyRecord(JSON.stringify({schemaVersion: 1, kinds: Array.from({length: 500}, () => ({}))}));
		expect(check.valid ? 0 : check.faults.length).toBe(51);
	});
});

describe('priorities', () => {
	const record = parsePolicyRecord(text2);

	it('are the same for both schema versions', () => {
		const other = parsePolicyRecord(text1);
		for (const kind of ['withdrawal', 'case-intake', 'stock-view', 'history', 'unknown']) {
			expect(record.priorityOf(kind, 'a root')).toBe(other.priorityOf(kind, 'a root'));
		}

		expect(record.shortestLifetimeMilliseconds).toBe(2000);
	});

	it('rank by worth, spread roots within a rank and put unknown kinds last', () => {
		const roots = Array.from({length: 2000}, (_, index) => `root ${index}`);
		for (const [rank, kind] of ['unknown', 'history', 'stock-view', 'case-intake', 'withdrawal'].entries()) {
			const positions = new Set(roots.map(root => record.priorityOf(kind, root) - (rank * prioritiesPerRank)));
			expect([...positions].toSorted((first, second) => first - second)).toEqual(Array.from({length: prioritiesPerRank}, (_, index) => index));
		}
	});

	it('put protected kinds above others even in content that no schema checked', () => {
		const {content} = record;
		const unchecked = new PolicyRecord({...content, kinds: content.kinds.map(kind => ({...kind, worth: kind.protected ? 1 : 9}))});
		expect(unchecked.lowestPriorityOf('withdrawal')).toBeGreaterThan(unchecked.lowestPriorityOf('stock-view'));
	});
});

describe('a comparison', () => {
	const compare = (before: string, after: string) => comparePolicyRecords(parsePolicyRecord(before), parsePolicyRecord(after));

	it('finds records of two versions equal in all but the notes', () => {
		expect(compare(text1, text2.replace(/, "notes": "[^"]*"/v, ''))).toMatchObject({equal: true, changes: [], lines: ['schema version 1 -> 2 (no effect on its own)']});
	});

	it('lists changes, additions and removals with old and new values', () => {
		const {changes, lines} = compare(text1, text2.replace('"history"', '"listing"').replace('"3s"', '"4s"'));
		expect(lines).toContain('~ /kinds/withdrawal/lifetimeMilliseconds: 3000 -> 4000');
		expect(lines).toContain('+ /kinds/withdrawal/notes: "One bottle leaves the bonded store."');
		expect(changes.find(change => change.path === '/kinds/history')).toMatchObject({before: {worth: 4, rank: 1}});
		expect(changes.find(change => change.path === '/kinds/listing')).not.toHaveProperty('before');
	});
});
