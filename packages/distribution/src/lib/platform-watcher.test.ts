/**
 * Guards against reads that overload a platform which is down, stale, empty or broken. Time is virtual: each wait and
 * each read moves the clock.
 */
import {Metrics} from '@hemlockthread/telemetry';
import {describe, expect, it} from 'vitest';
import {distributionOptions} from './distribution-options.js';
import type {PlatformResponse, PlatformRead} from './platform-client.js';
import {PlatformWatcher, type PlatformRole} from './platform-watcher.js';
import {RecordStore} from './record-store.js';

type Platform = (read: PlatformRead, now: number) => {answer?: PlatformResponse; takes: number};

const recordAnswer = (revision: number, value = '{}'): PlatformResponse => ({type: 'record', record: {key: 'policy', revision, value}});
const large = 'x'.repeat(distributionOptions.maximumRecordBytes + 1);

const platforms: Record<string, Platform> = {
	quiet: ({waitMilliseconds}) => ({answer: {type: 'unchanged'}, takes: waitMilliseconds}),
	down: () => ({takes: 1}),
	hanging: ({waitMilliseconds}) => ({takes: waitMilliseconds + 2000}),
	stale: () => ({answer: recordAnswer(3), takes: 1}),
	withdrawn: () => ({answer: {type: 'absent'}, takes: 1}),
	impatient: () => ({answer: {type: 'unchanged'}, takes: 1}),
	large: ({after, waitMilliseconds}) => after < 9 ? {answer: recordAnswer(9, large), takes: 1} : {answer: {type: 'unchanged'}, takes: waitMilliseconds},
};

const virtualHours = 10;
/** Ends a loop that reads without a pause. */
const maximumReads = 100_000;

/** Reads per minute of one key, and the record held in the end. */
async function runFor(platform: Platform, role: PlatformRole, fallback: boolean): Promise<{perMinute: number; revision?: number}> {
	let now = 0;
	let reads = 0;
	const end = new AbortController();
	const pass = (milliseconds: number) => {
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
				// A wait of nothing must not stop the clock, or a tight loop would never end.
				pass(Math.max(1, milliseconds));
			},
		},
		platform: {
			async read(read) {
				reads += 1;
				if (reads > maximumReads) {
					end.abort();
				}

				const {answer, takes} = platform(read, now);
				pass(takes);
				if (answer === undefined) {
					throw new Error('unreachable');
				}

				return answer;
			},
		},
		role: () => role, needsFallback: () => fallback,
		onAnswer: () => undefined,
	});
	await watcher.run(end.signal);
	return {perMinute: reads / (virtualHours * 60), revision: store.get('policy')?.revision};
}

/** Bounds in reads per minute of one key of one node; 12 watchers and 1,300 others share 2,000 reads/s. */
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

	it('does not count a record as refused that a neighbour brought during the watch', async () => {
		const store = new RecordStore();
		const metrics = new Metrics();
		const watcher = new PlatformWatcher({
			store, metrics, options: {...distributionOptions, keys: ['policy'], startSpreadMilliseconds: 0},
			clock: {now: () => 0, wait: async () => undefined}, role: () => 'watcher', needsFallback: () => false, onAnswer: () => undefined,
			platform: {
				async read() {
					store.accept('policy', 7, '{}');
					return recordAnswer(7);
				},
			},
		});
		await watcher.readFirst(new AbortController().signal);
		expect(metrics.total('records.refused')).toBe(0);
		expect(metrics.total('platform.record.known')).toBe(1);
	});

	it('takes a newer record in a watch and keeps a waiting one', async () => {
		const platform: Platform = ({after, waitMilliseconds}) =>
			after < 7 ? {answer: recordAnswer(7), takes: 10} : {answer: {type: 'unchanged'}, takes: waitMilliseconds};
		expect(await runFor(platform, 'watcher', false)).toMatchObject({revision: 7});
	});
});
