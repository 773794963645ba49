/**
 * Guards the known state of a node against records that arrive late, out of order, from incomplete peers, or during and after an
 * outage of the configuration service.
 */
import {
	beforeEach, describe, expect, it,
} from 'vitest';
import type {DecodedRecord, RoutingPolicy, TargetInstance} from './fleet-model.js';
import {FleetRecords} from './fleet-records.js';

const heartbeatMilliseconds = 1500;
/** Time without heartbeats after which an entry expires. */
const expiryMilliseconds = 3 * heartbeatMilliseconds;

let now = 0;
let records: FleetRecords;

const decode = (key: string, value: string): DecodedRecord | {type: 'unusable'; reason: string} => {
	if (value === 'broken') {
		return {type: 'unusable', reason: 'broken'};
	}

	return key === 'policy' ? {type: 'policy', policy: policyOf(Number(value))} : {type: 'instance', instance: {...instanceOf(key), ...JSON.parse(value)}};
};

function policyOf(version: number): RoutingPolicy {
	return {
		version, routes: [], services: new Map([['racks', {name: 'racks', maximumConnections: 10}]]),
		limits: {
			maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1,
		},
	};
}

function instanceOf(name: string): TargetInstance {
	return {
		name, service: 'racks', address: {host: '10.0.0.1', port: 80}, failureDomain: 'a', slots: 4, state: 'ready', startedAtUnixMilliseconds: 1, reportCount: 1, coldMilliseconds: 0,
	};
}

const entryValue = (port: number, rest: Partial<TargetInstance> = {}) => JSON.stringify({address: {host: '10.0.0.1', port}, ...rest});
const names = () => records.instancesOf('racks').map(({name}) => name).toSorted();

beforeEach(() => {
	now = 0;
	records = new FleetRecords({decode, heartbeatMilliseconds, now: () => now});
	records.configurationService.recordResponse();
});

describe('records', () => {
	it('are ordered by revision, whatever the order of arrival', () => {
		records.apply({key: 'one', revision: 5, value: entryValue(1, {state: 'draining'})}, 'service');
		expect(records.apply({key: 'one', revision: 3, value: entryValue(1)}, 'peer')).toBe(false);
		expect(records.instancesOf('racks')[0]!.state).toBe('draining');
	});

	it('do not restore a deleted entry from an older copy', () => {
		records.apply({key: 'one', revision: 5, value: undefined}, 'service');
		records.apply({key: 'one', revision: 4, value: entryValue(1)}, 'peer');
		expect(names()).toEqual([]);
	});

	it('never put an earlier policy version in force, even under a higher revision', () => {
		records.apply({key: 'policy', revision: 2, value: '8'}, 'service');
		records.apply({key: 'policy', revision: 9, value: '7'}, 'service');
		expect(records.policy?.version).toBe(8);
	});

	it('that are already known change nothing and are not reported again', () => {
		records.apply({key: 'policy', revision: 2, value: '8'}, 'service');
		records.apply({key: 'one', revision: 3, value: entryValue(1)}, 'service');
		const changes: string[] = [];
		records.onChange(({outcome}) => {
			changes.push(outcome);
		});
		expect(records.apply({key: 'policy', revision: 2, value: '8'}, 'peer')).toBe(false);
		expect(records.apply({key: 'one', revision: 3, value: entryValue(1)}, 'peer')).toBe(false);
		expect(changes).toEqual([]);
	});

	it('remove entries that are missing from a listing, but not those that changed after it', () => {
		records.apply({key: 'one', revision: 5, value: entryValue(1)}, 'service');
		records.apply({key: 'two', revision: 9, value: entryValue(2)}, 'peer');
		records.applyListing('', [], 7);
		expect(names()).toEqual(['two']);
	});

	it('of a peer that started after a deletion remove entries up to its revision, but not those that changed later', () => {
		records.apply({key: 'one', revision: 5, value: entryValue(1)}, 'service');
		records.apply({key: 'two', revision: 9, value: entryValue(2)}, 'service');
		const peer = new FleetRecords({decode, heartbeatMilliseconds, now: () => now});
		peer.applyListing('', [{key: 'three', revision: 6, value: entryValue(3)}], 7);
		records.applyChanges(peer.changesSince({}));
		expect(names()).toEqual(['three', 'two']);
	});

	it('of a peer with incomplete records remove nothing', () => {
		records.apply({key: 'one', revision: 5, value: entryValue(1)}, 'service');
		const peer = new FleetRecords({decode, heartbeatMilliseconds, now: () => now});
		peer.apply({key: 'two', revision: 9, value: entryValue(2)}, 'peer');
		records.applyChanges(peer.changesSince({}));
		expect(names()).toEqual(['one', 'two']);
	});

	it('yield no instance for an unusable entry and keep the others', () => {
		records.apply({key: 'one', revision: 1, value: entryValue(1)}, 'service');
		records.apply({key: 'two', revision: 2, value: 'broken'}, 'service');
		expect(names()).toEqual(['one']);
	});

	it('yield no instance of a service that is not in the policy', () => {
		records.apply({key: 'policy', revision: 1, value: '1'}, 'service');
		records.apply({key: 'one', revision: 2, value: entryValue(1, {service: 'unknown'})}, 'service');
		expect(records.instances()).toEqual([]);
	});

	it('assign an address to the instance that started last', () => {
		records.apply({key: 'old', revision: 9, value: entryValue(1, {startedAtUnixMilliseconds: 1})}, 'service');
		records.apply({key: 'new', revision: 2, value: entryValue(1, {startedAtUnixMilliseconds: 2})}, 'service');
		expect(names()).toEqual(['new']);
	});
});

describe('descriptions under the same name', () => {
	type Step = Partial<TargetInstance> | 'removed' | 'broken';

	it.each<[string, Step[], string[]]>([
		['does not end the draining state', [{reportCount: 4, state: 'draining'}, {reportCount: 3}], ['draining']],
		['does not end the draining state with an equal report count', [{reportCount: 4, state: 'draining'}, {reportCount: 4}], ['draining']],
		['does not end the draining state after the entry was removed', [{reportCount: 4, state: 'draining'}, 'removed', {reportCount: 5}], ['draining']],
		['does not end the draining state after an unusable entry', [{reportCount: 4, state: 'draining'}, 'broken', {reportCount: 3}], []],
		['does not restore a removed instance', [{reportCount: 4}, 'removed', {reportCount: 3}], []],
		['changes nothing if it is of an earlier run of the target', [{startedAtUnixMilliseconds: 9}, {startedAtUnixMilliseconds: 8, state: 'draining'}], ['ready']],
	])('a late copy of an earlier description %s', (_name, steps, states) => {
		applySteps(steps);
		expect(records.instancesOf('racks').map(({state}) => state)).toEqual(states);
		expect(records.departures.get('one') === undefined).toBe(states.includes('ready'));
	});

	it.each<[string, Step[]]>([
		['a later run of the target', [{state: 'draining'}, {startedAtUnixMilliseconds: 9}]],
		['a later run of the target after the entry was removed', [{state: 'draining'}, 'removed', {startedAtUnixMilliseconds: 9}]],
		['a removed entry that is registered again by the same run', [{reportCount: 4}, 'removed', {reportCount: 5}]],
		['an instance with an unknown start time, after the entry of a draining one was removed', [
			{startedAtUnixMilliseconds: 0, reportCount: 9, state: 'draining'}, 'removed', {startedAtUnixMilliseconds: 0, reportCount: 1},
		]],
	])('a newer registration is ready: %s', (_name, steps) => {
		applySteps(steps);
		expect(records.instancesOf('racks').map(({state}) => state)).toEqual(['ready']);
		expect(records.departures.get('one')).toBeUndefined();
	});

	it('a late copy with the state draining marks the instance as draining, because a process never becomes ready again', () => {
		applySteps([{reportCount: 4}, {reportCount: 3, state: 'draining'}]);
		expect(records.instancesOf('racks').map(({state}) => state)).toEqual(['draining']);
	});

	it('a late copy from a peer does not hide a draining report of the service with a lower revision', () => {
		records.apply({key: 'one', revision: 1, value: entryValue(1, {reportCount: 3})}, 'service');
		records.apply({key: 'one', revision: 3, value: entryValue(1, {reportCount: 3})}, 'peer');
		records.apply({key: 'one', revision: 2, value: entryValue(1, {reportCount: 4, state: 'draining'})}, 'service');
		expect(records.instancesOf('racks').map(({state}) => state)).toEqual(['draining']);
	});

	it('a late copy is replaced by the current description in the records for peers', () => {
		applySteps([{reportCount: 4, state: 'draining'}, {reportCount: 3}]);
		const peer = new FleetRecords({decode, heartbeatMilliseconds, now: () => now});
		peer.applyChanges(records.changesSince({}));
		expect(peer.instancesOf('racks').map(({state}) => state)).toEqual(['draining']);
	});

	const values: Readonly<Record<string, string | undefined>> = {removed: undefined, broken: 'broken'};

	function applySteps(steps: readonly Step[]): void {
		for (const [index, step] of steps.entries()) {
			records.apply({key: 'one', revision: index + 1, value: typeof step === 'string' ? values[step] : entryValue(1, step)}, 'service');
		}
	}
});

describe('entries that expire', () => {
	beforeEach(() => {
		records.apply({key: 'one', revision: 1, value: entryValue(1)}, 'service');
	});

	it('are removed at once while the service is available', () => {
		records.apply({key: 'one', revision: 2, value: undefined}, 'service');
		expect(names()).toEqual([]);
	});

	it('stay in use during an outage and until shortly after it', () => {
		records.configurationService.recordFailure(now);
		now += expiryMilliseconds;
		records.apply({key: 'one', revision: 2, value: undefined}, 'peer');
		expect(names()).toEqual(['one']);
		records.configurationService.recordResponse();
		now += 2000;
		records.expireLapsed();
		expect(names()).toEqual(['one']);
		now += 600;
		records.expireLapsed();
		expect(names()).toEqual([]);
	});

	it('stay in use if they are registered again after the outage', () => {
		records.configurationService.recordFailure(now);
		now += expiryMilliseconds;
		records.configurationService.recordResponse();
		records.applyListing('', [], 4);
		expect(names()).toEqual(['one']);
		records.apply({key: 'one', revision: 6, value: entryValue(1)}, 'service');
		now += 10_000;
		records.expireLapsed();
		expect(names()).toEqual(['one']);
	});

	it.each<[string, () => void]>([
		['a watch was reset and the next call succeeded', () => {
			records.configurationService.recordFailure(now);
			now += 100;
			records.configurationService.recordResponse();
		}],
		['a watch was reset after a long wait', () => {
			now += 60_000;
			records.configurationService.recordFailure(now);
		}],
		['calls failed for less than two heartbeat intervals', () => {
			records.configurationService.recordFailure(now);
			now += (2 * heartbeatMilliseconds) - 1;
			records.configurationService.recordResponse();
		}],
		['calls for one prefix fail while those for another succeed', () => {
			const since = now;
			now += 8000;
			records.configurationService.recordResponse();
			now += 100;
			records.configurationService.recordFailure(since);
		}],
	])('are removed at once when %s, because the entry of a live target does not expire from that', (_name, simulateFailures) => {
		simulateFailures();
		records.apply({key: 'one', revision: 2, value: undefined}, 'service');
		expect(names()).toEqual([]);
	});

	it('are removed at once if they were draining', () => {
		records.apply({key: 'one', revision: 2, value: entryValue(1, {state: 'draining'})}, 'service');
		records.configurationService.recordFailure(now);
		now += expiryMilliseconds;
		records.apply({key: 'one', revision: 3, value: undefined}, 'peer');
		expect(names()).toEqual([]);
	});
});
