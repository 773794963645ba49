/**
 * Guards against read loops that overload a platform which is down, stale, empty or misbehaving. Time is virtual: each
 * wait and each read advances the clock.
 */
import {Metrics} from '@hemlockthread/telemetry';
import {describe, expect, it} from 'vitest';
import {distributionOptions} from './distribution-options.js';
import type {PlatformResponse, PlatformRead} from './platform-client.js';
import {PlatformWatcher, type PlatformRole} from './platform-watcher.js';
import {RecordStore} from './record-store.js';

type Platform = (read: PlatformRead, now: number) => {response?: PlatformResponse; durationMilliseconds: number};

const recordResponse = (revision: number, value = '{}'): PlatformResponse => ({type: 'record', record: {key: 'policy', revision, value}});
const large = 'x'.repeat(distributionOptions.maximumRecordBytes + 1);

const platforms: Record<string, Platform> = {
	quiet: ({waitMilliseconds}) => ({response: {type: 'unchanged'}, durationMilliseconds: waitMilliseconds}),
	down: () => ({durationMilliseconds: 1}),
	hanging: ({waitMilliseconds}) => ({durationMilliseconds: waitMilliseconds + 2000}),
	stale: () => ({response: recordResponse(3), durationMilliseconds: 1}),
	withdrawn: () => ({response: {type: 'absent'}, durationMilliseconds: 1}),
	impatient: () => ({response: {type: 'unchanged'}, durationMilliseconds: 1}),
	large: ({after, waitMilliseconds}) => after < 9 ? {response: recordResponse(9, large), durationMilliseconds: 1} : {response: {type: 'unchanged'}, durationMilliseconds: waitMilliseconds},
};

const virtualHours = 10;
/** Stops a loop that reads without waiting. */
const maximumReads = 100_000;

/** Returns the reads per minute of one key, and the revision stored at the end. */
async function runFor(platform: Platform, role: PlatformRole, fallback: boolean): Promise<{perMinute: number; revision?: number}> {
	let now = 0;
	let reads = 0;
	const end = new AbortController();
	const advance = (milliseconds: number) => {
		now += milliseconds;
		if (now > virtualHours * 3_600_000) {
			end.abort();
		}
	};

	const store = new RecordStore();
	store.accept('policy', 5, '{}');
	const watcher = new PlatformWatcher({
		store, metrics: new Metrics(), options: {...distributionOptions, keys: ['policy']},
		clock: {
			now: () => now,
			async wait(milliseconds) {
				// A wait of zero must advance the clock too, or a tight loop would never end.
				advance(Math.max(1, milliseconds));
			},
		},
		platform: {
			async read(read) {
				reads += 1;
				if (reads > maximumReads) {
					end.abort();
				}

				const {response, durationMilliseconds} = platform(read, now);
				advance(durationMilliseconds);
				if (response === undefined) {
					throw new Error('unreachable');
				}

				return response;
			},
		},
		role: () => role, needsFallback: () => fallback,
		onResponse: () => undefined,
	});
	await watcher.run(end.signal);
	return {perMinute: reads / (virtualHours * 60), revision: store.get('policy')?.revision};
}

/** Bounds in reads per minute of one key by one node; 12 watchers and 1,300 other nodes share 2,000 reads/s. */
const cases: Array<[keyof typeof platforms, PlatformRole, boolean, number, number]> = [
	['quiet', 'watcher', false, 2.9, 3.1],
	['down', 'watcher', false, 15, 40],
	['hanging', 'watcher', false, 2, 3],
	['stale', 'watcher', false, 40, 90],
	['withdrawn', 'watcher', false, 40, 90],
	['impatient', 'watcher', false, 40, 90],
	['large', 'watcher', false, 2.9, 3.1],
	['quiet', 'other', false, 0, 0],
	['quiet', 'other', true, 1.5, 2.5],
	['down', 'other', true, 1.5, 2.5],
	['stale', 'other', true, 1.5, 2.5],
	['down', 'starting', false, 1.5, 2.5],
	['withdrawn', 'starting', false, 1.5, 2.5],
];

describe('PlatformWatcher', () => {
	it.each(cases)('%s platform, role %s, fallback %s', async (platform, role, fallback, least, most) => {
		const {perMinute, revision} = await runFor(platforms[platform]!, role, fallback);
		expect(perMinute).toBeGreaterThanOrEqual(least);
		expect(perMinute).toBeLessThanOrEqual(most);
		expect(revision).toBe(5);
	});

	it('does not count a record as refused that a neighbour delivered during the read', async () => {
		const store = new RecordStore();
		const metrics = new Metrics();
		const watcher = new PlatformWatcher({
			store, metrics, options: {...distributionOptions, keys: ['policy'], startSpreadMilliseconds: 0},
			clock: {now: () => 0, wait: async () => undefined}, role: () => 'watcher', needsFallback: () => false, onResponse: () => undefined,
			platform: {
				async read() {
					store.accept('policy', 7, '{}');
					return recordResponse(7);
				},
			},
		});
		await watcher.readInitial(new AbortController().signal);
		expect(metrics.total('records.refused')).toBe(0);
		expect(metrics.total('platform.record.known')).toBe(1);
	});

	it('accepts a newer record from a watch and continues to watch', async () => {
		const platform: Platform = ({after, waitMilliseconds}) =>
			after < 7 ? {response: recordResponse(7), durationMilliseconds: 10} : {response: {type: 'unchanged'}, durationMilliseconds: waitMilliseconds};
		expect(await runFor(platform, 'watcher', false)).toMatchObject({revision: 7});
	});
});
