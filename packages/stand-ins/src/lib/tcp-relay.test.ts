/**
 * Guards against a relay that injects its faults at the wrong byte, because tests of broken connections would then pass
 * without testing anything.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {TcpRelayStandIn} from './tcp-relay.js';

let echo: Server;
let relay: TcpRelayStandIn;
let received: string;
let client: Socket;
let echoed: string;

beforeEach(async () => {
	received = '';
	echoed = '';
	echo = createServer({allowHalfOpen: true}, socket => {
		socket.on('error', () => undefined);
		socket.on('data', (chunk: Uint8Array) => {
			received += Buffer.from(chunk).toString();
			socket.write(chunk);
		});
		socket.on('end', () => {
			socket.end();
		});
	});
	echo.listen(0, '127.0.0.1');
	await once(echo, 'listening');
	relay = new TcpRelayStandIn({host: '127.0.0.1', port: (echo.address() as AddressInfo).port});
	client = connect({...await relay.listen('127.0.0.1'), allowHalfOpen: true});
	client.on('error', () => undefined);
	client.on('data', (chunk: Uint8Array) => {
		echoed += Buffer.from(chunk).toString();
	});
	await once(client, 'connect');
});

afterEach(async () => {
	client.destroy();
	await relay.close();
	echo.close();
});

/** Waits for the end of a connection. libuv reports a reset after data as an end of the stream, so both events count. */
async function closed(socket: Socket): Promise<void> {
	return new Promise(resolve => {
		socket.once('end', () => {
			resolve();
		});
		socket.once('close', () => {
			resolve();
		});
	});
}

describe('TCP relay', () => {
	it('relays bytes in both directions and counts them', async () => {
		client.write('0123456789');
		await expect.poll(() => echoed).toBe('0123456789');
		expect(relay.bytes).toEqual({forward: 10, backward: 10});
	});

	it.each([
		{direction: 'forward', bytes: 4, seen: {received: '0123', echoed: ''}},
		{direction: 'forward', bytes: 0, seen: {received: '', echoed: ''}},
		{direction: 'backward', bytes: 6, seen: {received: '0123456789', echoed: '012345'}},
	] as const)('resets the connection after $bytes bytes $direction', async ({direction, bytes, seen}) => {
		relay.resetAfter(direction, bytes);
		client.write('0123456789');
		await closed(client);
		await expect.poll(() => received).toBe(seen.received);
		if (direction === 'backward') {
			expect(echoed).toBe(seen.echoed);
		}

		expect(relay.bytes[direction]).toBe(bytes);
		expect(relay.open).toBe(0);
	});

	it.each(['forward', 'backward'] as const)('queues %s data until it is healed', async direction => {
		relay.stopForwarding(direction);
		client.write('held');
		await expect.poll(() => direction === 'forward' ? relay.bytes.forward : received).toBe(direction === 'forward' ? 0 : 'held');
		expect(echoed).toBe('');
		relay.heal();
		await expect.poll(() => echoed).toBe('held');
	});

	it('delays chunks and keeps their order', async () => {
		relay.delay(20);
		client.write('a');
		await expect.poll(() => relay.bytes.forward).toBe(1);
		client.write('b');
		relay.delay(1);
		client.write('c');
		await expect.poll(() => echoed).toBe('abc');
	});

	it('half-closes one direction and still relays the other', async () => {
		client.write('first');
		await expect.poll(() => echoed).toBe('first');
		const ended = once(client, 'end');
		relay.halfClose('backward');
		await ended;
		client.write('second');
		await expect.poll(() => received).toBe('firstsecond');
		expect(echoed).toBe('first');
	});

	it('refuses new connections until it is healed', async () => {
		const address = {host: '127.0.0.1', port: client.remotePort!};
		relay.refuse();
		const refused = connect(address);
		refused.on('error', () => undefined);
		await closed(refused);
		relay.heal();
		const healed = connect(address);
		await once(healed, 'connect');
		healed.destroy();
	});
});
