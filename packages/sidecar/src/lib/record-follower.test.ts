/**
 * Guards which calls a node makes to the configuration service: expensive ones only where a cheaper one or a neighbour cannot serve.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, it,
} from 'vitest';
import {processClock} from './clock.js';
import {DecisionLog} from './decision-log.js';
import type {StoredRecord, TargetInstance} from './fleet-model.js';
import {FleetRecords} from './fleet-records.js';
import {Neighbourhood} from './neighbourhood.js';
import {RecordFollower, type RecordSource, type WatchResponse} from './record-follower.js';
import {RecordSpread} from './record-spread.js';

const otherInstance: TargetInstance = {
	name: 'other', service: 'racks', address: {host: 'other', port: 80}, failureDomain: 'b', slots: 1, state: 'ready', startedAtUnixMilliseconds: 1, reportCount: 1,
	coldMilliseconds: 0,
};
const record = (revision: number): StoredRecord => ({key: 'other', revision, value: '{}'});
const changes = (revision: number): WatchResponse => ({type: 'changes', records: [], revision});
/** Long enough for several calls, and shorter than the time after which a substitute calls. */
const observationMilliseconds = 150;

let abort: AbortController;
beforeEach(() => {
	abort = new AbortController();
});

afterEach(() => {
	abort.abort();
});

/** Runs a follower and returns its calls; watches get the given responses in turn, and then none. */
async function callsOf({listed, pages = 1, watches, isWatcher, onHistoryLost}: {
	listed: StoredRecord[]; pages?: number; watches: WatchResponse[]; isWatcher: boolean; onHistoryLost?: (records: FleetRecords) => void;
}): Promise<string[]> {
	const records = new FleetRecords({decode: () => ({type: 'instance', instance: otherInstance}), heartbeatMilliseconds: 1500, now: () => processClock.now()});
	const calls: string[] = [];
	const source: RecordSource = {
		async list(_prefix, freshness) {
			calls.push(`list ${freshness}`);
			return {records: listed, revision: 9, pages};
		},
		async watch(_prefix, afterRevision, _wait, signal) {
			calls.push(`watch after ${afterRevision}`);
			const response = watches.shift();
			if (response === undefined) {
				await delay(observationMilliseconds * 10, undefined, {signal});
			}

			if (response?.type === 'history-lost') {
				onHistoryLost?.(records);
			}

			return response!;
		},
	};
	const neighbourhood = new Neighbourhood({host: 'own', failureDomain: 'a'}, () => records.instances());
	Object.defineProperty(neighbourhood, 'isWatcher', {get: () => isWatcher});
	records.onChange(() => {
		neighbourhood.invalidate();
	});
	const follower = new RecordFollower({
		source, records, neighbourhood, spread: new RecordSpread({records, clock: processClock, neighbours: () => []}), clock: processClock, random: () => 0, nodeCount: () => 2,
		log: new DecisionLog({}, processClock, (_text, done) => {
			done(null);
		}),
	});
	void follower.run('', abort.signal);
	await delay(observationMilliseconds);
	return [...calls];
}

it.each<[string, Parameters<typeof callsOf>[0], string[]]>([
	['a node that is not to watch reads a cheap listing and leaves the rest to its neighbours', {listed: [record(5)], watches: [], isWatcher: false}, ['list possibly-outdated']],
	['a watcher watches from the newest record of the cheap listing, not from its stated revision', {
		listed: [record(5)], watches: [changes(7)], isWatcher: true,
	}, ['list possibly-outdated', 'watch after 5', 'watch after 7']],
	['a watcher lists the current records after a cheap listing of several pages, which may lack changes', {
		listed: [record(5)], pages: 2, watches: [], isWatcher: true,
	}, ['list possibly-outdated', 'list current', 'watch after 9']],
	['a watcher lists the records when the history is lost', {
		listed: [record(5)], watches: [{type: 'history-lost'}], isWatcher: true,
	}, ['list possibly-outdated', 'watch after 5', 'list current', 'watch after 9']],
	['a watcher does not list them if a neighbour has sent the changes meanwhile', {
		listed: [record(5)], watches: [{type: 'history-lost'}], isWatcher: true,
		onHistoryLost(records) {
			records.applyChanges({records: [record(8)], completeTo: {'': 8}, after: {'': 5}});
		},
	}, ['list possibly-outdated', 'watch after 5', 'watch after 8']],
])('%s', async (_name, options, calls) => {
	expect(await callsOf(options)).toEqual(calls);
});
