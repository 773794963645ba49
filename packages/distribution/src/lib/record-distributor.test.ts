/**
 * Guards against trusting the fleet list, after a pause of the process, on the word of frames that waited in a socket.
 */
import {performance} from 'node:perf_hooks';
import {FleetView} from '@hemlockthread/membership';
import {Metrics} from '@hemlockthread/telemetry';
import type {PeerConnection} from '@hemlockthread/wire';
import {describe, expect, it} from 'vitest';
import {RecordDistributor} from './record-distributor.js';
import {RecordStore} from './record-store.js';

const cases = [
	{
		name: 'a frame that answers nothing', heardAfterPause: undefined, pauseMilliseconds: 20_000, believed: false,
	},
	{
		name: 'a frame that answers one sent before the pause', heardAfterPause: -1000, pauseMilliseconds: 20_000, believed: false,
	},
	{
		name: 'a frame that answers one sent since', heardAfterPause: 1000, pauseMilliseconds: 20_000, believed: true,
	},
	{
		name: 'any frame after a short pause', heardAfterPause: undefined, pauseMilliseconds: 400, believed: true,
	},
];

describe('RecordDistributor after a pause', () => {
	it.each(cases)('$name: believed is $believed', ({heardAfterPause, pauseMilliseconds, believed}) => {
		const fleet = new FleetView({instance: 'racks-1', failureDomain: 'akl-a'});
		const distributor = new RecordDistributor({
			self: {instance: 'racks-1', peerAddress: '127.0.0.1:1'}, store: new RecordStore(), fleet, metrics: new Metrics(),
			platform: {read: async () => ({type: 'unchanged'})},
		});
		const peer = {heldForControl: true, closed: new AbortController().signal} as unknown as PeerConnection;
		fleet.confirm();
		distributor.notePause(pauseMilliseconds);
		const heard = heardAfterPause === undefined ? undefined : performance.now() + heardAfterPause;
		distributor.receive({
			type: 'heartbeat', revisions: {}, leaving: false, echo: false, sentAt: 0, heard,
		}, peer);
		expect(fleet.confirmed).toBe(believed);
	});
});
