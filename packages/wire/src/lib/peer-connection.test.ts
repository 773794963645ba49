/**
 * Calls over one connection. Guards against answers that reach the wrong call, against malformed frames, and against
 * peers of another version.
 */
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {Metrics} from '@hemlockthread/telemetry';
import {Packr} from 'msgpackr';
import {WebSocketServer, type WebSocket} from 'ws';
import {
	connectionOptions, type ConnectionOptions, type LocalPeer, type PeerConnection, type PeerHandlers, type RequestPayload,
} from './peer-connection.js';
import {dialPeer} from './peer-server.js';

const packr = new Packr({useRecords: false});
const local: LocalPeer = {
	instance: 'local', incarnation: 'one', service: 'racks', failureDomain: 'akl-a', isLeaving: () => false, revisions: () => ({}),
};
const handlers: PeerHandlers = {
	async onRequest() {
		throw new Error('no request is expected');
	},
	onControl() {
		// Control frames are not under test here.
	},
};
const hello = {
	type: 'hello', protocolVersions: [1], instance: 'peer', incarnation: 'two', service: 'releases', failureDomain: 'akl-b',
	leaving: false, revisions: {}, sentAt: 1,
};
const request: RequestPayload = {
	service: 'releases', kind: 'history', rootKind: 'history', rootIdentifier: 'r', priority: 1, remainingMilliseconds: 1000,
	retryShare: 0, depth: 1, method: 'POST', path: '', headers: {}, body: new Uint8Array(0),
};
const answerTo = (identifier: number, text: string) => ({
	type: 'answer', identifier, verdict: 'ran', status: 200, headers: {}, body: new TextEncoder().encode(text), retriesReturned: 0,
	level: 0, leaving: false, sentAt: 2,
});

let server: WebSocketServer;
let socket: WebSocket;
let connection: PeerConnection;
let metrics: Metrics;

async function connectTo(peerHello: object, options: ConnectionOptions = connectionOptions): Promise<void> {
	server = new WebSocketServer({host: '127.0.0.1', port: 0});
	await once(server, 'listening');
	server.once('connection', accepted => {
		socket = accepted;
		accepted.send(packr.pack(peerHello));
	});
	metrics = new Metrics();
	connection = await dialPeer(`127.0.0.1:${(server.address() as AddressInfo).port}`, local, handlers, metrics, options);
}

function answerAllWith(answers: (identifier: number) => object[]): void {
	socket.on('message', (data: Uint8Array) => {
		const frame = packr.unpack(data) as {type: string; identifier: number};
		if (frame.type === 'request') {
			for (const answer of answers(frame.identifier)) {
				socket.send(packr.pack(answer));
			}
		}
	});
}

async function callText(): Promise<string> {
	const answer = await connection.call(request, new AbortController().signal);
	return new TextDecoder().decode(answer.body);
}

afterEach(() => {
	connection.close();
	server.close();
});

describe('calls', () => {
	beforeEach(async () => {
		await connectTo(hello);
	});

	it('get their own answers when these arrive out of order, late or repeated', async () => {
		const received: number[] = [];
		answerAllWith(identifier => {
			received.push(identifier);
			return received.length < 3 ? [] : received.toReversed().flatMap(each => [answerTo(each, `answer ${each}`), answerTo(each, 'repeated')]);
		});
		expect(await Promise.all([callText(), callText(), callText()])).toEqual(['answer 0', 'answer 1', 'answer 2']);
		await callText().catch(() => undefined);
		expect(metrics.total('peer.answer.unmatched')).toBeGreaterThanOrEqual(3);
	});

	it('that were abandoned are cancelled at the peer, and their late answer reaches nobody', async () => {
		const controller = new AbortController();
		const call = connection.call(request, controller.signal);
		controller.abort();
		await expect(call).rejects.toMatchObject({verdict: 'may-have-run', reason: 'cancelled'});
		answerAllWith(identifier => [answerTo(0, 'late'), answerTo(identifier, 'own')]);
		expect(await callText()).toBe('own');
		expect(metrics.total('peer.answer.unmatched')).toBeGreaterThanOrEqual(1);
	});

	it('that wait when the connection ends may have run; later ones did not', async () => {
		const call = connection.call(request, new AbortController().signal);
		socket.terminate();
		await expect(call).rejects.toMatchObject({verdict: 'may-have-run', reason: 'connection-lost'});
		await expect(callText()).rejects.toMatchObject({verdict: 'did-not-run', reason: 'connection-lost'});
	});
});

describe('a connection that was idle for longer than the silence limit', () => {
	it('is not closed while the first call after it waits for its answer', async () => {
		const options = {...connectionOptions, heartbeatMilliseconds: 50, silenceTimeoutMilliseconds: 2000};
		await connectTo(hello, options);
		await delay(options.silenceTimeoutMilliseconds + options.heartbeatMilliseconds);
		const call = callText();
		await delay(4 * options.heartbeatMilliseconds);
		socket.send(packr.pack(answerTo(0, 'after the idle time')));
		expect(await call).toBe('after the idle time');
	});
});

describe('malformed frames', () => {
	it.each([
		{name: 'not msgpack', bytes: Uint8Array.from([0xC1, 0xFF, 0x00])},
		{name: 'not a map', bytes: packr.pack([1, 2])},
		{name: 'a field of the wrong type', bytes: packr.pack({...answerTo(0, ''), verdict: 'maybe'})},
		{name: 'a missing field', bytes: packr.pack({type: 'request', identifier: 1})},
	])('$name: the connection is closed and counted, and waiting calls may have run', async ({bytes}) => {
		await connectTo(hello);
		const call = connection.call(request, new AbortController().signal);
		const rejected = expect(call).rejects.toMatchObject({verdict: 'may-have-run'});
		socket.send(bytes);
		await rejected;
		expect(metrics.total('peer.frame.malformed')).toBe(1);
	});
});

describe('a peer of another version', () => {
	it('may send unknown fields and frame types', async () => {
		await connectTo({...hello, protocolVersions: [2, 1], colour: 'green'});
		socket.send(packr.pack({type: 'weather', sunny: true}));
		answerAllWith(identifier => [{...answerTo(identifier, 'newer'), extra: [1, 2]}]);
		expect(await callText()).toBe('newer');
		expect(metrics.total('peer.frame.unknown')).toBe(1);
	});

	it('without a common version is refused', async () => {
		await expect(connectTo({...hello, protocolVersions: [9]})).rejects.toThrow('can\'t be reached');
		expect(metrics.total('peer.version.unsupported')).toBe(1);
	});
});
