/**
 * Tests of links between nodes over loopback, through a relay that can delay or drop bytes.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {processClock} from './clock.js';
import type {LoadReport, RunOutcome} from './link-messages.js';
import {peerLinkOptions, type ForwardedRequest, type PeerEvents} from './peer-link.js';
import {PeerLinks} from './peer-links.js';

const load: LoadReport = {
	active: 1, waiting: 0, limit: 4, meanMilliseconds: 10, successShare: 1,
};

const request: ForwardedRequest = {
	instance: 'i-1', route: 'view', callerService: 'racks', attempt: 'a1', rank: 1, remainingMilliseconds: 3000, startTimeoutMilliseconds: 1000,
	method: 'GET', path: '/view/', headers: [], body: undefined,
};

type Side = {links: PeerLinks; received: ForwardedRequest[]; ages: number[]; cancelled: string[]; leaving: boolean; outcome?: RunOutcome};

const host = '127.0.0.1';
let near: Side;
let far: Side;
let relay: Server;
let silent = false;
/** Time by which the relay delays bytes. */
let relayDelayMilliseconds = 0;
const sockets = new Set<Socket>();

/** Relays bytes, unless the relay is silent. */
function relayBytes(from: Socket, to: Socket): void {
	sockets.add(from);
	from.on('error', () => undefined);
	from.on('data', bytes => {
		if (!silent) {
			setTimeout(() => {
				to.write(bytes);
			}, relayDelayMilliseconds);
		}
	});
	from.on('close', () => {
		to.destroy();
	});
}

function createSide(): Side {
	const side: Side = {
		links: undefined as unknown as PeerLinks, received: [], ages: [], cancelled: [], leaving: false,
	};
	const events: PeerEvents = {
		onForwardedRequest(forwarded, age, respond) {
			side.received.push(forwarded);
			side.ages.push(age);
			if (side.outcome !== undefined) {
				respond(side.outcome);
			}

			return () => {
				side.cancelled.push(forwarded.attempt);
			};
		},
		onLoad: () => undefined, onCalls: () => undefined,
		onProgress: () => undefined, onRecords: () => undefined, onNewerRecords: () => undefined, onRetryShortfall: () => undefined, onGrant: () => undefined, onLinkChange: () => undefined,
	};
	side.links = new PeerLinks({
		isLeaving: () => side.leaving, revisions: () => ({policyVersion: 1, fleetRevision: 1}), load: () => load, calls: () => ({}), retryShortfall: () => undefined,
		changesSince: after => ({records: [], completeTo: {}, after}), progress: () => ({completeTo: {}, confirmedAge: undefined, attemptAge: undefined}),
	}, events, processClock);
	return side;
}

let address = {host, port: 0};

beforeEach(async () => {
	silent = false;
	relayDelayMilliseconds = 0;
	near = createSide();
	far = createSide();
	const free = createServer().listen(0, host);
	await once(free, 'listening');
	const {port} = free.address() as AddressInfo;
	free.close();
	await far.links.listen({host, port});
	await near.links.listen({host, port: 0});
	relay = createServer(client => {
		const server = connect(port, host);
		relayBytes(client, server);
		relayBytes(server, client);
	}).listen(0, host);
	await once(relay, 'listening');
	address = {host, port: (relay.address() as AddressInfo).port};
	near.links.ensureLink(address);
	await delay(100);
});

afterEach(() => {
	near.links.close();
	far.links.close();
	for (const socket of sockets) {
		socket.destroy();
	}

	relay.close();
});

async function forward(): Promise<RunOutcome> {
	return new Promise(resolve => {
		near.links.forward(address, request, resolve);
	});
}

describe('a forwarded request', () => {
	it('arrives with a small age and returns its outcome', async () => {
		far.outcome = {
			result: 'not-run', reason: 'overloaded', reachedTarget: false, estimatedWaitMilliseconds: 5,
		};
		expect(await forward()).toEqual(far.outcome);
		expect(far.received[0]).toMatchObject(request);
		expect(far.ages[0]).toBeLessThan(50);
	});

	it('that was delayed on a new link arrives with an age that includes the delay', async () => {
		const other = createSide();
		relayDelayMilliseconds = 300;
		far.outcome = {result: 'may-have-run', reason: 'x'};
		await new Promise(resolve => {
			other.links.forward(address, request, resolve);
		});
		other.links.close();
		expect(far.ages[0]).toBeGreaterThan(250);
	});

	it('returns the largest body in time, and its chunks keep the link alive', async () => {
		far.outcome = {
			result: 'answered', status: 200, headers: [], body: Buffer.alloc(64 * 1024 * 1024, 'x'),
		};
		const startedAt = performance.now();
		const outcome = await forward();
		expect(outcome).toMatchObject({result: 'answered', body: {length: 64 * 1024 * 1024}});
		// Callers' timeouts are a few seconds.
		expect(performance.now() - startedAt).toBeLessThan(4000);
	});

	it('that is cancelled is cancelled at the peer too', async () => {
		const cancel = near.links.forward(address, request, () => undefined);
		await delay(50);
		cancel();
		await delay(50);
		expect(far.cancelled).toEqual(['a1']);
	});

	it('to a port without a listener did not run', async () => {
		const outcome = await new Promise<RunOutcome>(resolve => {
			near.links.forward({host, port: 1}, request, resolve);
		});
		expect(outcome.result).toBe('not-run');
	});
});

describe('a peer that goes silent', () => {
	it('soon gets no new requests, and its pending requests may have run', async () => {
		const outcome = forward();
		await delay(50);
		silent = true;
		const silentAt = performance.now();
		while (near.links.isAvailable(address)) {
			await delay(10);
		}

		expect(performance.now() - silentAt).toBeLessThan(peerLinkOptions.pingAfterMilliseconds + peerLinkOptions.suspectMilliseconds + 250);
		expect(await outcome).toMatchObject({result: 'may-have-run'});
	});
});

it('a peer whose link was lost gets no new requests until another link is open', async () => {
	relay.close();
	for (const socket of sockets) {
		socket.destroy();
	}

	await delay(peerLinkOptions.redialDelayMilliseconds + 100);
	expect(near.links.isAvailable(address)).toBe(false);
	near.links.ensureLink(address);
	expect(near.links.isAvailable(address)).toBe(false);
	await delay(50);
	relay.listen(address.port, host);
	await delay(peerLinkOptions.redialDelayMilliseconds + 100);
	near.links.ensureLink(address);
	await delay(100);
	expect(near.links.isAvailable(address)).toBe(true);
});

it('a leaving peer gets no new requests', async () => {
	far.leaving = true;
	far.links.announceLeaving();
	near.links.announceLeaving();
	await delay(100);
	expect(near.links.isAvailable(address)).toBe(false);
});
