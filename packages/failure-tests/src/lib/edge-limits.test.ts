/**
 * Limits at the listeners. Guards against malformed, oversized or slow senders that prevent the node from serving others.
 */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import wreck from '@hapi/wreck';
import {FleetDriver, cellarNetPlan} from '@hemlockthread/test-driver';

const driver = new FleetDriver();
const megabyte = 1024 * 1024;

beforeAll(async () => {
	await driver.start(cellarNetPlan());
});

afterAll(async () => {
	await driver.stop();
});

function open(address: string): Socket {
	const url = new URL(address.includes('//') ? address : `http://${address}`);
	return connect({host: url.hostname, port: Number(url.port)});
}

/** Sends raw bytes and returns everything received until the other side closes the connection. */
async function exchange(address: string, bytes: string): Promise<string> {
	const socket = open(address);
	const chunks: Uint8Array[] = [];
	socket.on('data', (chunk: Uint8Array) => {
		chunks.push(chunk);
	});
	socket.on('error', () => undefined);
	socket.write(bytes);
	// The listener closes with unread bytes, which can cause a reset. `once` of node:events would reject on that error event.
	await new Promise(resolve => {
		socket.once('close', resolve);
	});
	return Buffer.concat(chunks).toString();
}

describe('requests that are refused before they reach a handler', () => {
	it.each([
		{
			name: 'an unknown path', path: '/nowhere', body: '', status: 404,
		},
		{
			name: 'a body over the limit', path: '/calls/racks/stock-view', body: 'x'.repeat(megabyte + 1), status: 413,
		},
		{
			name: 'an unknown kind', path: '/calls/racks/no-such-kind', body: '', status: 404,
		},
		{
			name: 'an unknown service', path: '/calls/no-such-service/stock-view', body: '', status: 404,
		},
	])('$name gets status $status and a verdict', async ({path, body, status}) => {
		const response = await wreck.request('POST', driver.instance('racks-1').callerUrl + path, {payload: body});
		await wreck.read(response);
		expect(response.statusCode).toBe(status);
		expect(response.headers['hemlockthread-verdict']).toBe('did-not-run');
	});
});

describe('senders that break the protocol', () => {
	const listeners = [
		{name: 'caller listener', address: () => driver.instance('racks-1').callerUrl},
		{name: 'peer listener', address: () => driver.instance('racks-1').peerAddress},
	];
	const payloads = [
		{what: 'bytes that are not HTTP', bytes: '\u0000\u0001nonsense\r\n\r\n'},
		{what: 'headers over the limit', bytes: `GET / HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(32 * 1024)}\r\n\r\n`},
		{what: 'a header that never ends', bytes: 'GET / HTTP/1.1\r\nhost: a\r\nx: '},
	];
	it.each(listeners.flatMap(listener => payloads.map(payload => ({...listener, ...payload}))))('$name: $what close the connection, and other callers are served', async ({address, bytes}) => {
		const ended = exchange(address(), bytes);
		const response = await driver.call('racks-1', 'racks/stock-view', {body: 'another caller'});
		expect(response.verdict).toBe('ran');
		const received = await ended;
		expect(received === '' || received.startsWith('HTTP/1.1 4')).toBe(true);
	});
});
