/**
 * Guards against patches that do not reproduce a published text, an unbounded number of stored patches, and deferred
 * records that take effect too early.
 */
import {describe, expect, it} from 'vitest';
import {makePatch, patchText} from './record-patch.js';
import {RecordStore} from './record-store.js';

const fleet = (names: string[], change: Record<string, unknown> = {}) => ({
	schemaVersion: 1, instances: names.map(name => ({
		name, peerAddress: `127.0.0.1:${name}`, state: 'live', ...(change[name] as object | undefined),
	})),
});
const names = Array.from({length: 40}, (_, index) => String(100 + index));
const compact = (value: unknown) => JSON.stringify(value);
const indented = (value: unknown) => JSON.stringify(value, undefined, '\t') + '\n';

/** Largest patch in characters; undefined if there must be none. */
const patches: Array<[string, string, string, number | undefined]> = [
	['one field', compact(fleet(names)), compact(fleet(names, {120: {state: 'leaving'}})), 80],
	['an element removed from the middle', compact(fleet(names)), compact(fleet(names.filter(name => name !== '110'))), 80],
	['an element added in the middle', compact(fleet(names)), compact(fleet([...names.slice(0, 9), '99', ...names.slice(9)])), 150],
	['an element replaced by another', compact(fleet(names)), compact(fleet(names.with(3, '99'))), 180],
	['elements in another order', compact(fleet(names)), compact(fleet(names.toReversed())), Number.POSITIVE_INFINITY],
	['elements without names', compact([1, 2]), compact([2]), undefined],
	['an indented text', indented(fleet(names)), indented(fleet(names, {120: {state: 'leaving'}})), 80],
	['another format', compact(fleet(names)), indented(fleet(names)), undefined],
	['another order of fields', '{"a":1,"b":2}', '{"b":2,"a":1}', undefined],
	['numbers that are written differently', '{"a":1}', '{"a":2.0}', undefined],
	['text that is not JSON', compact(fleet(names)), 'v3:binary', undefined],
	['names of fields with slashes', '{"a/b~c":{"list":[{"name":"x"},{"name":"y"}]}}', '{"a/b~c":{"list":[{"name":"y"}]}}', 60],
];

describe('makePatch', () => {
	it.each(patches)('handles %s', (_case, base, text, maximum) => {
		const patch = makePatch(base, text);
		expect(patch === undefined).toBe(maximum === undefined);
		if (patch !== undefined) {
			expect(patchText(base, patch)).toBe(text);
			expect(patch.length).toBeLessThanOrEqual(maximum!);
		}
	});
});

describe('RecordStore', () => {
	const valueOf = (revision: number) => compact(fleet(names, {120: {state: String(revision)}}));

	it('keeps a bounded number of patches', () => {
		const store = new RecordStore({maximumPatches: 3});
		for (let revision = 1; revision <= 9; revision += 1) {
			store.accept('fleet', revision, valueOf(revision));
		}

		expect(store.patchFrom('fleet', 6)).toBeDefined();
		expect(store.patchFrom('fleet', 5)).toBeUndefined();
	});

	it('drops patches that together are larger than the value', () => {
		const store = new RecordStore();
		for (let revision = 1; revision <= 4; revision += 1) {
			store.accept('policy', revision, compact({text: String(revision).repeat(100), more: 'y'.repeat(150)}));
		}

		expect(store.patchFrom('policy', 3)).toBeDefined();
		expect(store.patchFrom('policy', 1)).toBeUndefined();
		expect(store.dump()).toMatchObject({policy: {patches: 1}});
	});

	it.each([2, 3])('does not go back from revision 3 to %i', revision => {
		const store = new RecordStore();
		store.accept('policy', 3, '{}');
		expect(store.accept('policy', revision, '{"a":1}')).toBe(false);
		expect(store.get('policy')).toMatchObject({revision: 3, value: '{}'});
	});

	it('keeps the last record when a newer one is too large, and reads only later ones', () => {
		const store = new RecordStore({maximumRecordBytes: 10});
		store.accept('policy', 1, '{}');
		expect(store.accept('policy', 2, 'x'.repeat(11))).toBe(false);
		expect(store.get('policy')).toMatchObject({revision: 1});
		expect(store.highestSeenRevision('policy')).toBe(2);
	});

	it('notifies listeners of a deferred key of the newest record only, once activated', () => {
		const store = new RecordStore({deferredKeys: ['policy']});
		const notified: number[] = [];
		store.onChange(record => {
			notified.push(record.revision);
		});
		store.accept('policy', 3, '{"stale":true}');
		store.accept('policy', 8, '{}');
		expect(notified).toEqual([]);
		store.activateDeferred();
		store.accept('policy', 9, '{"a":1}');
		expect(notified).toEqual([8, 9]);
	});
});
