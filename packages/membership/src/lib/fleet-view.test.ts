/**
 * Guards against new requests to leaving or restarted instances, and against the use of an unconfirmed list.
 */
import {describe, expect, it} from 'vitest';
import type {FleetInstance} from './fleet-list.js';
import {FleetView, membershipOptions} from './fleet-view.js';
import {observedLeavingOptions} from './observed-leaving.js';

const instanceOf = (name: string, failureDomain: string, state: FleetInstance['state'] = 'live'): FleetInstance => ({
	name, service: name.split('-', 1)[0]!, failureDomain, region: 'nz-north', state, slots: 1,
	peerAddress: '127.0.0.1:1', callerAddress: '127.0.0.1:2', operatorAddress: '127.0.0.1:3',
});

function startView() {
	const clock = {now: 0};
	const view = new FleetView({instance: 'intake-1', failureDomain: 'akl-a'}, () => clock.now);
	view.replace({schemaVersion: 1, instances: [instanceOf('racks-1', 'akl-a'), instanceOf('racks-2', 'akl-b'), instanceOf('racks-3', 'akl-a', 'leaving')]});
	return {clock, view, racks: () => view.candidates('racks').map(instance => instance.name)};
}

type Step = (started: ReturnType<typeof startView>) => void;
const wait = (milliseconds: number): Step => ({clock}) => {
	clock.now += milliseconds;
};

const listAgain: Step = ({view}) => {
	view.replace({schemaVersion: 1, instances: [instanceOf('racks-1', 'akl-a'), instanceOf('racks-2', 'akl-b')]});
};

const leaving = (incarnation: string): Step => ({view}) => {
	view.recordLeaving('racks-1', incarnation);
};

const joined = (incarnation: string): Step => ({view}) => {
	view.recordHello('racks-1', incarnation);
};

const connected: Step = ({view}) => {
	view.recordConnected('racks-2');
};

const disconnected: Step = ({view}) => {
	view.recordDisconnected('racks-2');
};

const paused = (milliseconds: number): Step => ({view}) => {
	view.recordPause(milliseconds);
};

const confirmed: Step = ({view}) => {
	view.confirm();
};

const cases: Array<[string, Step[], string[]]> = [
	['shows live instances of the list', [], ['racks-1', 'racks-2']],
	['drops an instance that says it leaves, before the list does', [leaving('a')], ['racks-2']],
	['keeps it out when a newer list still calls it live', [leaving('a'), listAgain], ['racks-2']],
	['keeps it out when the leaving incarnation connects again', [leaving('a'), joined('a')], ['racks-2']],
	['adds it again with a new incarnation', [leaving('a'), joined('b')], ['racks-1', 'racks-2']],
	['ignores a late notice of the old incarnation', [leaving('a'), joined('b'), leaving('a')], ['racks-1', 'racks-2']],
	['ignores a late hello of the old incarnation', [leaving('a'), joined('b'), joined('a')], ['racks-1', 'racks-2']],
	['drops the new incarnation when it leaves too', [leaving('a'), joined('b'), leaving('b')], ['racks-2']],
	['adds it again when the notice expires', [leaving('a'), wait(observedLeavingOptions.noticeLifetimeMilliseconds)], ['racks-1', 'racks-2']],
	['keeps the list confirmed until the confirmation expires', [wait(membershipOptions.confirmationLifetimeMilliseconds - 1)], ['racks-1', 'racks-2']],
	['shows no unconnected instances of an unconfirmed list', [wait(membershipOptions.confirmationLifetimeMilliseconds)], []],
	['shows connected instances of an unconfirmed list', [connected, wait(membershipOptions.confirmationLifetimeMilliseconds)], ['racks-2']],
	['counts connections per instance', [connected, connected, disconnected, wait(60_000)], ['racks-2']],
	['removes a lost connection', [connected, disconnected, wait(membershipOptions.confirmationLifetimeMilliseconds)], []],
	['shows all instances again after a confirmation', [wait(90_000), confirmed], ['racks-1', 'racks-2']],
	['shows connected instances only after a long pause', [connected, paused(20_000)], ['racks-2']],
	['shows all instances after a long pause and a confirmation', [paused(20_000), confirmed], ['racks-1', 'racks-2']],
	['keeps the list confirmed after a short pause', [paused(400)], ['racks-1', 'racks-2']],
];

describe('FleetView', () => {
	it.each(cases)('%s', (_case, steps, expected) => {
		const started = startView();
		for (const step of steps) {
			step(started);
		}

		expect(started.racks()).toEqual(expected);
	});

	it('chooses watchers among live instances only, two per domain', () => {
		const instances = Array.from({length: 30}, (_, index) =>
			instanceOf(`racks-${index}`, index % 2 === 0 ? 'akl-a' : 'akl-b', index < 20 ? 'leaving' : 'live'));
		const watchers = instances.filter(self => {
			const view = new FleetView({instance: self.name, failureDomain: self.failureDomain});
			view.replace({schemaVersion: 1, instances});
			return view.isWatcher();
		});
		expect(watchers.map(watcher => watcher.state)).toEqual(['live', 'live', 'live', 'live']);
		expect(watchers.filter(watcher => watcher.failureDomain === 'akl-a')).toHaveLength(2);
	});
});
