/**
 * What the node believes of the published records, in the orders and outages in which they arrive.
 */
import {
	beforeEach, describe, expect, it,
} from 'vitest';
import type {DecodedRecord, RoutingPolicy, TargetInstance} from './fleet-model.js';
import {FleetRecords} from './fleet-records.js';

const heartbeatMilliseconds = 1500;
/** Time without heartbeats after which entries expire. */
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

const at = (port: number, rest: Partial<TargetInstance> = {}) => JSON.stringify({address: {host: '10.0.0.1', port}, ...rest});
const names = () => records.instancesOf('racks').map(({name}) => name).toSorted();

beforeEach(() => {
	now = 0;
	records = new FleetRecords({decode, heartbeatMilliseconds, now: () => now});
	records.configurationService.recordResponse();
});

describe('records', () => {
	it('take the higher revision, whatever the order', () => {
		records.apply({key: 'one', revision: 5, value: at(1, {state: 'draining'})}, 'service');
		expect(records.apply({key: 'one', revision: 3, value: at(1)}, 'peer')).toBe(false);
		expect(records.instancesOf('racks')[0]!.state).toBe('draining');
	});

	it('do not bring a deleted entry back from an older copy', () => {
		records.apply({key: 'one', revision: 5, value: undefined}, 'service');
		records.apply({key: 'one', revision: 4, value: at(1)}, 'peer');
		expect(names()).toEqual([]);
	});

	it('never put an earlier policy version in force, even under a higher revision', () => {
		records.apply({key: 'policy', revision: 2, value: '8'}, 'service');
		records.apply({key: 'policy', revision: 9, value: '7'}, 'service');
		expect(records.policy?.version).toBe(8);
	});

	it('that are held already change nothing and are not reported again', () => {
		records.apply({key: 'policy', revision: 2, value: '8'}, 'service');
		records.apply({key: 'one', revision: 3, value: at(1)}, 'service');
		const changes: string[] = [];
		records.onChange(({outcome}) => {
			changes.push(outcome);
		});
		expect(records.apply({key: 'policy', revision: 2, value: '8'}, 'peer')).toBe(false);
		expect(records.apply({key: 'one', revision: 3, value: at(1)}, 'peer')).toBe(false);
		expect(changes).toEqual([]);
	});

	it('remove what a listing lacks, but not what changed after it', () => {
		records.apply({key: 'one', revision: 5, value: at(1)}, 'service');
		records.apply({key: 'two', revision: 9, value: at(2)}, 'peer');
		records.applyListing('', [], 7);
		expect(names()).toEqual(['two']);
	});

	it('of a peer that started after a deletion remove what it would know, but not what changed since', () => {
		records.apply({key: 'one', revision: 5, value: at(1)}, 'service');
		records.apply({key: 'two', revision: 9, value: at(2)}, 'service');
		const peer = new FleetRecords({decode, heartbeatMilliseconds, now: () => now});
		peer.applyListing('', [{key: 'three', revision: 6, value: at(3)}], 7);
		records.applySnapshot(peer.createSnapshot());
		expect(names()).toEqual(['three', 'two']);
	});

	it('of a peer that is not complete remove nothing', () => {
		records.apply({key: 'one', revision: 5, value: at(1)}, 'service');
		const peer = new FleetRecords({decode, heartbeatMilliseconds, now: () => now});
		peer.apply({key: 'two', revision: 9, value: at(2)}, 'peer');
		records.applySnapshot(peer.createSnapshot());
		expect(names()).toEqual(['one', 'two']);
	});

	it('name no instance for an unusable entry and keep the others', () => {
		records.apply({key: 'one', revision: 1, value: at(1)}, 'service');
		records.apply({key: 'two', revision: 2, value: 'broken'}, 'service');
		expect(names()).toEqual(['one']);
	});

	it('name no instance of a service that the policy does not know', () => {
		records.apply({key: 'policy', revision: 1, value: '1'}, 'service');
		records.apply({key: 'one', revision: 2, value: at(1, {service: 'unknown'})}, 'service');
		expect(records.instances()).toEqual([]);
	});

	it('give an address to the instance that started last', () => {
		records.apply({key: 'old', revision: 9, value: at(1, {startedAtUnixMilliseconds: 1})}, 'service');
		records.apply({key: 'new', revision: 2, value: at(1, {startedAtUnixMilliseconds: 2})}, 'service');
		expect(names()).toEqual(['new']);
	});
});

describe('a late copy of an earlier description', () => {
	type Step = Partial<TargetInstance> | 'removed' | 'broken';

	it.each<[string, Step[], string[]]>([
		['does not end a draining', [{reportCount: 4, state: 'draining'}, {reportCount: 3}], ['draining']],
		['does not end a draining where it counts as many reports', [{reportCount: 4, state: 'draining'}, {reportCount: 4}], ['draining']],
		['does not end a draining after its entry was removed', [{reportCount: 4, state: 'draining'}, 'removed', {reportCount: 5}], ['draining']],
		['does not end a draining behind an entry that can not be read', [{reportCount: 4, state: 'draining'}, 'broken', {reportCount: 3}], []],
		['of a removed instance brings it not back', [{reportCount: 4}, 'removed', {reportCount: 3}], []],
		['of an earlier start changes nothing', [{startedAtUnixMilliseconds: 9}, {startedAtUnixMilliseconds: 8, state: 'draining'}], ['ready']],
	])('%s', (_name, steps, states) => {
		play(steps);
		expect(records.instancesOf('racks').map(({state}) => state)).toEqual(states);
		expect(records.departures.get('one') === undefined).toBe(states.includes('ready'));
	});

	it.each<[string, Step[]]>([
		['a later start under the name', [{state: 'draining'}, {startedAtUnixMilliseconds: 9}]],
		['a later start after the entry was removed', [{state: 'draining'}, 'removed', {startedAtUnixMilliseconds: 9}]],
		['the return of an entry that was removed', [{reportCount: 4}, 'removed', {reportCount: 5}]],
		['a start without a time, after the entry of a draining one was removed', [
			{startedAtUnixMilliseconds: 0, reportCount: 9, state: 'draining'}, 'removed', {startedAtUnixMilliseconds: 0, reportCount: 1},
		]],
	])('is told from %s, which takes work', (_name, steps) => {
		play(steps);
		expect(records.instancesOf('racks').map(({state}) => state)).toEqual(['ready']);
		expect(records.departures.get('one')).toBeUndefined();
	});

	it('still tells that its start drains', () => {
		play([{reportCount: 4}, {reportCount: 3, state: 'draining'}]);
		expect(records.instancesOf('racks').map(({state}) => state)).toEqual(['draining']);
	});

	it('that a peer passed on does not hide the news of the service that its start drains', () => {
		records.apply({key: 'one', revision: 1, value: at(1, {reportCount: 3})}, 'service');
		records.apply({key: 'one', revision: 3, value: at(1, {reportCount: 3})}, 'peer');
		records.apply({key: 'one', revision: 2, value: at(1, {reportCount: 4, state: 'draining'})}, 'service');
		expect(records.instancesOf('racks').map(({state}) => state)).toEqual(['draining']);
	});

	it('reaches peers as what is held instead', () => {
		play([{reportCount: 4, state: 'draining'}, {reportCount: 3}]);
		const peer = new FleetRecords({decode, heartbeatMilliseconds, now: () => now});
		peer.applySnapshot(records.createSnapshot());
		expect(peer.instancesOf('racks').map(({state}) => state)).toEqual(['draining']);
	});

	const values: Readonly<Record<string, string | undefined>> = {removed: undefined, broken: 'broken'};

	function play(steps: readonly Step[]): void {
		for (const [index, step] of steps.entries()) {
			records.apply({key: 'one', revision: index + 1, value: typeof step === 'string' ? values[step] : at(1, step)}, 'service');
		}
	}
});

describe('entries that expire', () => {
	beforeEach(() => {
		records.apply({key: 'one', revision: 1, value: at(1)}, 'service');
	});

	it('are gone at once while the service is well', () => {
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

	it('stay in use where they return after the outage', () => {
		records.configurationService.recordFailure(now);
		now += expiryMilliseconds;
		records.configurationService.recordResponse();
		records.applyListing('', [], 4);
		expect(names()).toEqual(['one']);
		records.apply({key: 'one', revision: 6, value: at(1)}, 'service');
		now += 10_000;
		records.expireLapsed();
		expect(names()).toEqual(['one']);
	});

	it.each<[string, () => void]>([
		['a watch was cut and the next call answered', () => {
			records.configurationService.recordFailure(now);
			now += 100;
			records.configurationService.recordResponse();
		}],
		['a watch was cut after a long wait', () => {
			now += 60_000;
			records.configurationService.recordFailure(now);
		}],
		['calls failed for less time than two heartbeats take', () => {
			records.configurationService.recordFailure(now);
			now += (2 * heartbeatMilliseconds) - 1;
			records.configurationService.recordResponse();
		}],
		['one prefix is not answered while another is', () => {
			const since = now;
			now += 8000;
			records.configurationService.recordResponse();
			now += 100;
			records.configurationService.recordFailure(since);
		}],
	])('are gone at once although %s, because no living target loses its entry by that', (_name, happen) => {
		happen();
		records.apply({key: 'one', revision: 2, value: undefined}, 'service');
		expect(names()).toEqual([]);
	});

	it('are gone at once where they were draining', () => {
		records.apply({key: 'one', revision: 2, value: at(1, {state: 'draining'})}, 'service');
		records.configurationService.recordFailure(now);
		now += expiryMilliseconds;
		records.apply({key: 'one', revision: 3, value: undefined}, 'peer');
		expect(names()).toEqual([]);
	});
});
