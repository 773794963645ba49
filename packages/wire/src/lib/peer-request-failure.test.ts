/**
 * Guards against a request whose handler fails: the error must neither end the process as an unhandled rejection nor
 * leave the peer without a response.
 */
import {createServer} from 'node:net';
import {once} from 'node:events';
import process from 'node:process';
import {Metrics} from '@hemlockthread/telemetry';
import {expect, it} from 'vitest';
import {
	dialPeer, PeerServer, type LocalPeer, type PeerHandlers,
} from '../index.js';

const peer = (instance: string): LocalPeer => ({
	instance, incarnation: instance, service: 's', failureDomain: 'a', isLeaving: () => false, revisions: () => ({}),
});
const failing: PeerHandlers = {
	async onRequest() {
		throw new TypeError('a field that the frame does not have');
	},
	onControl() {
		// Not used here.
	},
};

it('responds with may-have-run when the handler fails', async () => {
	const unhandled: unknown[] = [];
	const recordUnhandled = (error: unknown) => {
		unhandled.push(error);
	};

	process.on('unhandledRejection', recordUnhandled);
	const reserved = createServer().listen(0, '127.0.0.1');
	await once(reserved, 'listening');
	const {port} = reserved.address() as {port: number};
	reserved.close();
	await once(reserved, 'close');
	const metrics = new Metrics();
	const server = new PeerServer(peer('b'), failing, metrics);
	await server.listen('127.0.0.1', port);
	const connection = await dialPeer(`127.0.0.1:${port}`, peer('a'), failing, metrics);
	const response = await connection.call({
		service: 's', kind: 'k', rootKind: 'k', rootIdentifier: 'r', priority: 1, remainingMilliseconds: 10_000, retryShare: 0, depth: 1,
		method: 'POST', path: '', headers: {}, body: new Uint8Array(0),
	}, new AbortController().signal);
	expect(response).toMatchObject({verdict: 'may-have-run', reason: 'target-failed', retriesReturned: 0});
	expect(metrics.total('peer.request.failed')).toBe(1);
	connection.close();
	await server.close();
	process.off('unhandledRejection', recordUnhandled);
	expect(unhandled).toEqual([]);
});
