/**
 * Guards against records that go back, are taken although damaged, are fetched several times or stop spreading because
 * one peer does not deliver.
 */
import {Metrics} from '@hemlockthread/telemetry';
import type {Frame, RecordFrame} from '@hemlockthread/wire';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {distributionOptions} from './distribution-options.js';
import {RecordExchange, type RecordPeer} from './record-exchange.js';
import {RecordStore, digestOf} from './record-store.js';

const padding = 'x'.repeat(400);
const valueOf = (revision: number) => JSON.stringify({schemaVersion: 1, padding, kinds: [{name: 'history', worth: revision}]});
const patchTo = (revision: number) => JSON.stringify([{op: 'replace', path: '/kinds/0/worth', value: revision}]);
const recordOf = (revision: number, change: Partial<RecordFrame> = {}): RecordFrame => ({
	type: 'record', key: 'policy', revision, digest: digestOf(valueOf(revision)), value: valueOf(revision), ...change,
});
const patchOf = (revision: number, change: Partial<RecordFrame> = {}): RecordFrame =>
	recordOf(revision, {
		value: undefined, patch: patchTo(revision), baseRevision: 5, ...change,
	});

class World {
	readonly store = new RecordStore();
	readonly metrics = new Metrics();
	readonly exchange = new RecordExchange(this.store, this.metrics, distributionOptions);
	readonly sent: Record<string, Frame[]> = {a: [], b: []};
	readonly peers = {
		a: this.peer('a'), b: this.peer('b'),
	};

	constructor() {
		this.store.accept('policy', 5, valueOf(5));
	}

	/** Fetches sent so far, as `peer:haveRevision`. */
	get fetches(): string {
		return Object.entries(this.sent).flatMap(([name, frames]) =>
			frames.flatMap(frame => frame.type === 'fetch' ? [`${name}:${frame.haveRevision}`] : [])).join(' ');
	}

	announce(from: 'a' | 'b', revision: number): void {
		this.exchange.receive({
			type: 'announce', key: 'policy', revision, digest: digestOf(valueOf(revision)),
		}, this.peers[from]);
	}

	heartbeat(from: 'a' | 'b', revision: number): void {
		this.exchange.receive({
			type: 'heartbeat', revisions: {policy: revision}, leaving: false, echo: false, sentAt: 0,
		}, this.peers[from]);
	}

	deliver(from: 'a' | 'b', frame: RecordFrame): void {
		this.exchange.receive(frame, this.peers[from]);
	}

	ask(from: 'a' | 'b', haveRevision: number): RecordFrame | undefined {
		this.exchange.receive({type: 'fetch', key: 'policy', haveRevision}, this.peers[from]);
		return this.sent[from]!.find(frame => frame.type === 'record');
	}

	private peer(name: string): RecordPeer {
		return {
			isControlConnection: true, bufferedBytes: 0, send: frame => {
				this.sent[name]!.push(frame);
			},
		};
	}
}

type Case = {name: string; revision: number; fetches: string; counted?: string; run(world: World): void};

const cases: Case[] = [
	{
		name: 'fetches what a peer announces', run(world) {
			world.announce('a', 6);
			world.deliver('a', recordOf(6));
		}, revision: 6, fetches: 'a:5',
	}, {
		name: 'takes a patch on the record held', run(world) {
			world.announce('a', 6);
			world.deliver('a', patchOf(6));
		}, revision: 6, fetches: 'a:5',
	}, {
		name: 'heals a lost announcement by the next heartbeat', run(world) {
			world.heartbeat('b', 6);
			world.deliver('b', recordOf(6));
		}, revision: 6, fetches: 'b:5',
	}, {
		name: 'ignores an announcement of an older revision', run(world) {
			world.announce('a', 4);
			world.heartbeat('a', 5);
		}, revision: 5, fetches: '',
	}, {
		name: 'never goes back to an older record', run(world) {
			world.deliver('a', recordOf(4));
		}, revision: 5, fetches: '', counted: 'records.older',
	}, {
		name: 'fetches once however often a record is announced', run(world) {
			world.announce('a', 6);
			world.heartbeat('a', 6);
			world.announce('b', 6);
		}, revision: 5, fetches: 'a:5',
	}, {
		name: 'asks another peer when the first does not answer in time', run(world) {
			world.announce('a', 6);
			world.announce('b', 6);
			vi.advanceTimersByTime(distributionOptions.fetchTimeoutMilliseconds);
			world.deliver('b', recordOf(6));
		}, revision: 6, fetches: 'a:5 b:5', counted: 'records.fetch.timeout',
	}, {
		name: 'asks another peer when the first one closes', run(world) {
			world.announce('a', 6);
			world.announce('b', 6);
			world.exchange.forget(world.peers.a);
		}, revision: 5, fetches: 'a:5 b:5',
	}, {
		name: 'takes an answer that comes after its timeout', run(world) {
			world.announce('a', 6);
			vi.advanceTimersByTime(distributionOptions.fetchTimeoutMilliseconds);
			world.deliver('a', recordOf(6));
		}, revision: 6, fetches: 'a:5',
	}, {
		name: 'ends at the newer of two records published at once', run(world) {
			world.announce('a', 6);
			world.announce('b', 7);
			world.deliver('a', recordOf(6));
			world.deliver('b', recordOf(7));
		}, revision: 7, fetches: 'a:5 b:6',
	}, {
		name: 'fetches the whole value when a patch does not apply', run(world) {
			world.announce('a', 6);
			world.deliver('a', patchOf(6, {patch: '[{"op":"remove","path":"/absent/1"}]'}));
			world.deliver('a', recordOf(6));
		}, revision: 6, fetches: 'a:5 a:0', counted: 'records.patch.unusable',
	}, {
		name: 'fetches the whole value when the patched text has another digest', run(world) {
			world.announce('a', 6);
			world.deliver('a', patchOf(6, {patch: patchTo(8)}));
			world.deliver('a', recordOf(6));
		}, revision: 6, fetches: 'a:5 a:0', counted: 'records.patch.unusable',
	}, {
		name: 'refuses a patch that multiplies the value by copies', run(world) {
			world.announce('a', 6);
			world.deliver('a', patchOf(6, {patch: `[{"op":"copy","from":"","path":"/copy"},{"op":"remove","path":"/copy"},${patchTo(6).slice(1)}`}));
		}, revision: 5, fetches: 'a:5 a:0', counted: 'records.patch.unusable',
	}, {
		name: 'refuses a patch that is not a list', run(world) {
			world.announce('a', 6);
			world.deliver('a', patchOf(6, {patch: '{}'}));
		}, revision: 5, fetches: 'a:5 a:0', counted: 'records.patch.unusable',
	}, {
		name: 'gives a peer up that answers the whole value with patches', run(world) {
			world.announce('a', 6);
			for (let answers = 0; answers < 5; answers += 1) {
				world.deliver('a', patchOf(6, {patch: '[]'}));
			}
		}, revision: 5, fetches: 'a:5 a:0', counted: 'records.patch.unusable',
	}, {
		name: 'refuses a whole value with another digest and asks elsewhere', run(world) {
			world.announce('a', 6);
			world.deliver('a', recordOf(6, {value: valueOf(8)}));
			world.heartbeat('a', 6);
			world.announce('b', 6);
			world.deliver('b', recordOf(6));
		}, revision: 6, fetches: 'a:5 b:5', counted: 'records.digest.wrong',
	}, {
		name: 'does not ask again at once for more than a peer delivers', run(world) {
			world.announce('a', 9);
			for (let answers = 0; answers < 5; answers += 1) {
				world.deliver('a', recordOf(6));
			}
		}, revision: 6, fetches: 'a:5', counted: 'records.older',
	}, {
		name: 'refuses a value over the size limit and does not fetch it again', run(world) {
			const value = 'x'.repeat(distributionOptions.maximumRecordBytes + 1);
			world.announce('a', 6);
			world.deliver('a', recordOf(6, {value, digest: digestOf(value)}));
			world.heartbeat('a', 6);
			world.announce('b', 6);
		}, revision: 5, fetches: 'a:5', counted: 'records.refused',
	}, {
		name: 'ignores keys and revisions that it does not know', run(world) {
			world.exchange.receive({
				type: 'announce', key: 'secrets', revision: 9, digest: '',
			}, world.peers.a);
			world.heartbeat('a', 6.5);
			world.deliver('a', recordOf(6, {key: 'secrets'}));
		}, revision: 5, fetches: '', counted: 'records.key.unknown',
	},
];

describe('RecordExchange', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	it.each(cases)('$name', ({run, revision, fetches, counted}) => {
		const world = new World();
		run(world);
		expect(world.store.get('policy')).toMatchObject({revision, value: valueOf(revision)});
		expect(world.fetches).toBe(fetches);
		expect(counted === undefined || world.metrics.total(counted) > 0).toBe(true);
	});

	it('serves a patch to a peer that holds an older record, through the records between', () => {
		const world = new World();
		world.store.accept('policy', 6, valueOf(6));
		world.store.accept('policy', 7, valueOf(7));
		const frame = world.ask('a', 5);
		expect(frame).toMatchObject({revision: 7, baseRevision: 5});
		expect(frame).not.toHaveProperty('value');
		const other = new World();
		other.announce('a', 7);
		other.deliver('a', frame!);
		expect(other.store.get('policy')!.value).toBe(valueOf(7));
	});

	it.each([
		['a peer without the record', 0, 0, {revision: 6, value: valueOf(6)}],
		['a peer with a record that this node never held', 3, 0, {revision: 6, value: valueOf(6)}],
		['a peer with the newest record', 6, 0, undefined],
		['a peer that does not read what it asks for', 0, distributionOptions.maximumBufferedBytes + 1, undefined],
	])('answers %s', (_case, haveRevision, bufferedBytes, expected) => {
		const world = new World();
		world.store.accept('policy', 6, valueOf(6));
		Object.assign(world.peers.a, {bufferedBytes});
		const frame = world.ask('a', haveRevision);
		expect(frame).toEqual(expected === undefined ? undefined : expect.objectContaining(expected));
	});

	it('announces to control peers that lack the record', () => {
		const world = new World();
		world.heartbeat('a', 5);
		world.heartbeat('b', 6);
		world.deliver('b', recordOf(6));
		world.exchange.announce('policy');
		expect(world.sent.a!.filter(frame => frame.type === 'announce')).toMatchObject([{revision: 6, digest: digestOf(valueOf(6))}]);
		expect(world.sent.b!.filter(frame => frame.type === 'announce')).toEqual([]);
	});
});
