/**
 * Tests of the entry listener as callers see it: raw bytes in and raw bytes out, over loopback.
 */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {bodyBudgetOptions} from './body-budget.js';
import {processClock} from './clock.js';
import {EntryListener, entryListenerOptions} from './entry-listener.js';
import type {EntryResponse, EntryRequest} from './request-flow.js';

type ReceivedRequest = {request: EntryRequest; cancelled: boolean; respond(response: EntryResponse): void};

const host = '127.0.0.1';
let listener: EntryListener;
let port = 0;
let received: ReceivedRequest[] = [];
let respondImmediately = true;
let headerTimeoutMilliseconds = 3000;
let maximumBodyBytes = 100;
let dropped: number[] = [];
let rejected: Array<[status: number, reason: string, attempt: string | undefined]> = [];
const sockets: Socket[] = [];

const echo = (request: EntryRequest): EntryResponse => ({
	status: 200, headers: ['X-Path', request.path, 'Connection', 'upgrade'], body: Buffer.from(request.body?.toString() ?? 'no body'),
});

beforeEach(async () => {
	received = [];
	respondImmediately = true;
	headerTimeoutMilliseconds = 3000;
	maximumBodyBytes = 100;
	rejected = [];
	dropped = [];
	listener = new EntryListener({
		address: {host, port: 0}, headers: {attempt: 'x-attempt', remainingTime: 'x-remaining'}, clock: processClock,
		limits: () => ({
			maximumHeaderBytes: 16_384, maximumBodyBytes, headerTimeoutMilliseconds, idleTimeoutMilliseconds: 15_000,
		}),
		handle(request, respond) {
			const entry: ReceivedRequest = {request, respond, cancelled: false};
			received.push(entry);
			if (respondImmediately) {
				respond(echo(request));
			}

			return () => {
				entry.cancelled = true;
			};
		},
		onRejected(...rejection) {
			rejected.push(rejection);
		},
		onUnreadDropped(bytes) {
			dropped.push(bytes);
		},
	});
	await listener.listen();
	port = listener.port;
});

afterEach(() => {
	listener.close();
	for (const socket of sockets.splice(0)) {
		socket.destroy();
	}
});

type Caller = {socket: Socket; text(): string; isEnded(): boolean; send(text: string): Promise<void>};

async function call(): Promise<Caller> {
	const socket = connect({host, port, allowHalfOpen: true});
	sockets.push(socket);
	let text = '';
	let ended = false;
	socket.on('data', bytes => {
		text += bytes.toString('latin1');
	});
	socket.on('end', () => {
		ended = true;
	});
	socket.on('error', () => {
		ended = true;
	});
	return {
		socket, text: () => text, isEnded: () => ended,
		async send(bytes) {
			socket.write(bytes, 'latin1');
			await delay(60);
		},
	};
}

const get = (path: string, more = '') => `GET ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt: a\r\n${more}\r\n`;
const post = (head: string, body: string) => `POST /p HTTP/1.1\r\nHost: shop.example\r\n${head}\r\n${body}`;

describe('a request is processed and gets a response', () => {
	it.each([
		['without a body', get('/a?b=c'), 'no body', undefined],
		['with a length', post('Content-Length: 4\r\n', 'body'), 'body', 'body'],
		['with an empty body', post('Content-Length: 0\r\n', ''), '', ''],
		['in chunks', post('Transfer-Encoding: chunked\r\n', '2;x=y\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n'), 'body', 'body'],
	])('%s', async (_name, bytes, response, body) => {
		const caller = await call();
		await caller.send(bytes);
		expect(caller.text()).toMatch(/^HTTP\/1\.1 200 OK\r\n/v);
		expect(caller.text()).toContain(`Content-Length: ${response.length}\r\n`);
		expect(caller.text().endsWith(`\r\n\r\n${response}`)).toBe(true);
		expect(received[0]!.request.body?.toString()).toBe(body);
		// Hop-by-hop headers of the target's response are not forwarded to the caller.
		expect(caller.text()).not.toContain('upgrade');
		expect(caller.isEnded()).toBe(false);
	});

	it('byte by byte', async () => {
		const caller = await call();
		for (const byte of post('Content-Length: 4\r\n', 'body')) {
			caller.socket.write(byte);
			await delay(1);
		}

		await delay(60);
		expect(caller.text().endsWith('body')).toBe(true);
		expect(received).toHaveLength(1);
	});

	it('with attempt, host and time remaining', async () => {
		const caller = await call();
		await caller.send(get('/a', 'X-Remaining: 250\r\n'));
		expect(received[0]!.request).toMatchObject({
			method: 'GET', path: '/a', host: 'shop.example', attempt: 'a', remainingMilliseconds: 250,
		});
	});

	it('with headers named like properties of objects', async () => {
		const caller = await call();
		await caller.send(get('/a', '__proto__: b\r\nconstructor: c\r\n'));
		expect(caller.text()).toContain('HTTP/1.1 200 OK');
		expect(received[0]!.request.headers).toEqual(expect.arrayContaining(['__proto__', 'b', 'constructor', 'c']));
	});

	it('to HEAD without a body', async () => {
		const caller = await call();
		await caller.send(get('/a').replace('GET', 'HEAD'));
		expect(caller.text().endsWith('\r\n\r\n')).toBe(true);
	});

	it('after `100 Continue` for a caller that waits to send its body', async () => {
		const caller = await call();
		await caller.send(post('Content-Length: 4\r\nExpect: 100-continue\r\n', ''));
		expect(caller.text()).toBe('HTTP/1.1 100 Continue\r\n\r\n');
		await caller.send('body');
		expect(caller.text()).toContain('200 OK');
	});
});

/** Guards against a stack overflow, which ended the process: each answer served the next request in a recursion. */
it.each([['from the start', false], ['after the first was held', true]])('20,000 requests in one write are answered in order, %s', async (_name, isHeld) => {
	const count = 20_000;
	respondImmediately = !isHeld;
	const caller = await call();
	await caller.send(Array.from({length: count}, (_, index) => `GET /${index} HTTP/1.1\r\nHost:a\r\n\r\n`).join(''));
	if (isHeld) {
		respondImmediately = true;
		const [first] = received;
		first!.respond(echo(first!.request));
	}

	await expect.poll(() => received.length, {timeout: 20_000}).toBe(count);
	const paths = () => [...caller.text().matchAll(/X-Path: \/(?<index>\d+)/gv)].map(match => Number(match.groups!.index));
	await expect.poll(() => caller.text().split('X-Path').length - 1, {timeout: 20_000}).toBe(count);
	expect(paths()).toEqual(Array.from({length: count}, (_, index) => index));
});

describe('several requests on one connection', () => {
	it('get their responses in order, one at a time', async () => {
		respondImmediately = false;
		const caller = await call();
		await caller.send(get('/1') + get('/2') + get('/3'));
		expect(received.map(({request}) => request.path)).toEqual(['/1']);
		received[0]!.respond(echo(received[0]!.request));
		await delay(20);
		received[1]!.respond(echo(received[1]!.request));
		await delay(20);
		received[2]!.respond(echo(received[2]!.request));
		await delay(20);
		expect(caller.text().match(/X-Path: \/\d/gv)).toEqual(['X-Path: /1', 'X-Path: /2', 'X-Path: /3']);
	});

	it('end at a malformed one, and the earlier one gets its response', async () => {
		respondImmediately = false;
		const caller = await call();
		await caller.send(`${get('/1')}nonsense\r\n\r\n`);
		received[0]!.respond(echo(received[0]!.request));
		await delay(60);
		expect(caller.text()).toContain('X-Path: /1');
		expect(caller.text()).toContain('Connection: close');
		expect(caller.text()).not.toContain('400');
		expect(caller.isEnded()).toBe(true);
	});
});

describe('a malformed or ambiguous request is rejected and ends the connection', () => {
	it.each([
		['two lengths', post('Content-Length: 4\r\nContent-Length: 4\r\n', 'body'), 400],
		['a length and chunks', post('Content-Length: 4\r\nTransfer-Encoding: chunked\r\n', '0\r\n\r\n'), 400],
		['a signed length', post('Content-Length: +4\r\n', 'body'), 400],
		['another transfer coding', post('Transfer-Encoding: gzip, chunked\r\n', '0\r\n\r\n'), 400],
		['a space before the colon', post('Content-Length : 4\r\n', 'body'), 400],
		['a folded line', post('X-A: b\r\n c\r\n', ''), 400],
		['a line without a colon', post('X-A\r\n', ''), 400],
		['a bare carriage return', post('X-A: b\rContent-Length: 4\r\n', 'body'), 400],
		['a control character', post('X-A: b\u0000c\r\n', ''), 400],
		['a malformed chunk size', post('Transfer-Encoding: chunked\r\n', 'x\r\n\r\n'), 400],
		['chunks and a protocol upgrade', post('Connection: upgrade\r\nUpgrade: h2c\r\nTransfer-Encoding: chunked\r\n', '0\r\n\r\n'), 400],
		['no host', 'GET / HTTP/1.1\r\n\r\n', 400],
		['two hosts', get('/', 'Host: other.example\r\n'), 400],
		['a tunnel', 'CONNECT shop.example:1 HTTP/1.1\r\nHost: shop.example\r\n\r\n', 405],
		['a head over the limit', get('/', `X-A: ${'b'.repeat(16_384)}\r\n`), 431],
		['another version', 'GET / HTTP/3.0\r\nHost: shop.example\r\n\r\n', 505],
		['no request', 'nonsense\r\n\r\n', 400],
	])('%s', async (_name, bytes, status) => {
		const caller = await call();
		await caller.send(bytes + get('/hidden'));
		expect(caller.text()).toMatch(new RegExp(String.raw`^HTTP/1\.1 ${status} `, 'v'));
		expect(caller.isEnded()).toBe(true);
		expect(received).toEqual([]);
	});
});

describe('a caller that disconnects cancels its request', () => {
	it.each([
		['by closing', (socket: Socket) => socket.destroy()],
		['by a reset', (socket: Socket) => socket.resetAndDestroy()],
		['by half-closing', (socket: Socket) => socket.end()],
	])('%s', async (_name, disconnect) => {
		respondImmediately = false;
		const caller = await call();
		await caller.send(get('/a'));
		disconnect(caller.socket);
		await delay(60);
		expect(received[0]!.cancelled).toBe(true);
	});

	it('and a request with an incomplete body is not processed', async () => {
		const caller = await call();
		await caller.send(post('Content-Length: 4\r\n', 'bo'));
		caller.socket.destroy();
		await delay(60);
		expect(received).toEqual([]);
	});
});

it('a body over the limit gets 413', async () => {
	const caller = await call();
	await caller.send(post('Content-Length: 101\r\n', 'x'.repeat(101)));
	expect(caller.text()).toContain('HTTP/1.1 413');
});

it('a body in chunks over the limit gets 413 before it is complete', async () => {
	const caller = await call();
	await caller.send(post('X-Attempt: a\r\nTransfer-Encoding: chunked\r\n', `65\r\n${'x'.repeat(101)}`));
	expect(caller.text()).toContain('HTTP/1.1 413');
	expect(rejected).toEqual([[413, 'body too large', 'a']]);
});

/** Guards against large bodies that together exhaust the memory of the process. */
describe('of two large bodies', () => {
	const bodyBytes = bodyBudgetOptions.maximumBytes;
	const head = (framing: string, attempt: string) => post(`X-Attempt: ${attempt}\r\n${framing}`, '');
	const withLength = `Content-Length: ${bodyBytes}\r\n`;
	const body = Buffer.alloc(bodyBytes, 'x');

	beforeEach(() => {
		maximumBodyBytes = bodyBytes;
		respondImmediately = false;
	});

	it('the second is read once the first is answered', async () => {
		const [first, second] = [await call(), await call()];
		await first.send(head(withLength, 'first'));
		await second.send(head(withLength, 'second'));
		first.socket.write(body);
		second.socket.write(body);
		await expect.poll(() => received.length).toBe(1);
		expect(listener.reservedBodyBytes).toBe(bodyBytes);
		received[0]!.respond({status: 200, headers: [], body: undefined});
		await expect.poll(() => received.length).toBe(2);
		expect(received[1]!.request.attempt).toBe('second');
	});

	it.each([
		['with a length', withLength, ''],
		['in chunks', 'Transfer-Encoding: chunked\r\n', `${bodyBytes.toString(16)}\r\n`],
	])('%s the second is refused as not run if the first takes long, and small ones are served', async (_name, framing, chunkHead) => {
		const [first, second, small] = [await call(), await call(), await call()];
		await first.send(head(withLength, 'first'));
		await second.send(head(framing, 'second'));
		first.socket.write(body);
		second.socket.write(chunkHead);
		second.socket.write(body);
		await expect.poll(() => received.length).toBe(1);
		await small.send(post('Content-Length: 4\r\n', 'body'));
		await expect.poll(() => received.length).toBe(2);
		await expect.poll(() => second.text(), {timeout: 5000}).toContain('HTTP/1.1 503 ');
		expect(second.text()).toContain('Retry-After: 1.00\r\n');
		expect(rejected).toEqual([[503, 'no memory for the body', 'second']]);
		expect(received.map(({request}) => request.attempt)).not.toContain('second');
		first.socket.destroy();
		await expect.poll(() => listener.reservedBodyBytes).toBe(0);
	});
});

/** Guards against a process that runs out of memory because callers don't read large answers. */
it('of large answers that nobody reads, the oldest are cut, and the newest one arrives whole', async () => {
	respondImmediately = false;
	const answerBytes = 16 * 1024 * 1024;
	const callers: Caller[] = [];
	for (let index = 0; index < 8; index += 1) {
		const caller = await call();
		await caller.send(get(`/${index}`));
		caller.socket.pause();
		callers.push(caller);
		received[index]!.respond({status: 200, headers: [], body: Buffer.alloc(answerBytes, 'x')});
		await delay(10);
	}

	expect(dropped.length).toBeGreaterThanOrEqual(4);
	expect(listener.unsentBytes).toBeLessThanOrEqual(entryListenerOptions.maximumUnsentBytes);
	for (const {socket} of callers) {
		socket.resume();
	}

	const lengths = () => callers.map(caller => caller.text().length);
	await expect.poll(() => lengths().at(-1)).toBeGreaterThan(answerBytes);
	expect(lengths()[0]).toBeLessThan(answerBytes);
	expect(callers[0]!.text()).toContain(`Content-Length: ${answerBytes}`);
});

/** Guards against an answer that looks complete although the node was killed while its caller was reading it. */
it('a response always states the length of its body', async () => {
	respondImmediately = false;
	const caller = await call();
	await caller.send(get('/a'));
	received[0]!.respond({status: 200, headers: [], body: Buffer.from('whole')});
	await delay(60);
	expect(caller.text()).toContain('Content-Length: 5\r\n');
	expect(caller.isEnded()).toBe(false);
});

it('an incomplete head gets 408', async () => {
	headerTimeoutMilliseconds = 200;
	const caller = await call();
	await caller.send('GET / HTTP/1.1\r\nHost: shop.example\r\n');
	await delay(200 + (entryListenerOptions.checkIntervalMilliseconds * 2));
	expect(caller.text()).toContain('HTTP/1.1 408');
	expect(caller.isEnded()).toBe(true);
});

describe('while the node is leaving', () => {
	it('responses close their connections', async () => {
		respondImmediately = false;
		const caller = await call();
		await caller.send(get('/a'));
		listener.leave();
		received[0]!.respond(echo(received[0]!.request));
		await delay(60);
		expect(caller.text()).toContain('Connection: close');
		expect(caller.isEnded()).toBe(true);
	});

	it('a slow reader still gets its complete last response', async () => {
		respondImmediately = false;
		const bytes = 16 * 1024 * 1024;
		const caller = await call();
		await caller.send(get('/a'));
		caller.socket.pause();
		listener.leave();
		received[0]!.respond({status: 200, headers: [], body: Buffer.alloc(bytes, 'x')});
		await delay(entryListenerOptions.lingeringMilliseconds + (entryListenerOptions.checkIntervalMilliseconds * 2));
		caller.socket.resume();
		await delay(500);
		expect(caller.text().length).toBeGreaterThan(bytes);
		expect(caller.isEnded()).toBe(true);
	});

	it('idle connections end, others stay open until their response', async () => {
		respondImmediately = false;
		const idle = await call();
		const busy = await call();
		await busy.send(get('/a'));
		listener.leave();
		listener.closeIdle();
		await delay(60);
		expect(idle.isEnded()).toBe(true);
		expect(busy.isEnded()).toBe(false);
	});
});
