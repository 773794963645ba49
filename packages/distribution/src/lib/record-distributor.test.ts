/**
 * Guards against a fleet list that counts as confirmed after a pause of the process because of frames that waited in a
 * socket during the pause.
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
		name: 'a frame that acknowledges no stamp', stampOffsetMilliseconds: undefined, pauseMilliseconds: 20_000, confirmed: false,
	},
	{
		name: 'a frame that acknowledges a stamp from before the pause', stampOffsetMilliseconds: -1000, pauseMilliseconds: 20_000, confirmed: false,
	},
	{
		name: 'a frame that acknowledges a stamp from after the pause', stampOffsetMilliseconds: 1000, pauseMilliseconds: 20_000, confirmed: true,
	},
	{
		name: 'any frame after a short pause', stampOffsetMilliseconds: undefined, pauseMilliseconds: 400, confirmed: true,
	},
];

describe('RecordDistributor after a pause', () => {
	it.each(cases)('$name: confirmed is $confirmed', ({stampOffsetMilliseconds, pauseMilliseconds, confirmed}) => {
		const fleet = new FleetView({instance: 'racks-1', failureDomain: 'akl-a'});
		const distributor = new RecordDistributor({
			self: {instance: 'racks-1', peerAddress: '127.0.0.1:1'}, store: new RecordStore(), fleet, metrics: new Metrics(),
			platform: {read: async () => ({type: 'unchanged'})},
		});
		const peer = {isControlConnection: true, closed: new AbortController().signal} as unknown as PeerConnection;
		fleet.confirm();
		distributor.recordPause(pauseMilliseconds);
		const heard = stampOffsetMilliseconds === undefined ? undefined : performance.now() + stampOffsetMilliseconds;
		distributor.receive({
			type: 'heartbeat', revisions: {}, leaving: false, echo: false, sentAt: 0, heard,
		}, peer);
		expect(fleet.confirmed).toBe(confirmed);
	});
});
