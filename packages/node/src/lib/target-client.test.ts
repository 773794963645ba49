/**
 * Tests of the responses of a faulty target: truncated without a length, or with an earlier response written into an unfinished head.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {RetryAllowance} from '@hemlockthread/identity';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {type Call, type CallResult} from './call.js';
import {CallRegistry} from './call-registry.js';
import {TargetClient} from './target-client.js';

let server: Server;
let client: TargetClient;
let answer: (socket: Socket, context: string) => void;
const sockets = new Set<Socket>();

beforeEach(async () => {
	server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', (bytes: Buffer) => {
			answer(socket, /hemlockthread-context: (?<context>\w+)/iv.exec(String(bytes))!.groups!.context!);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	client = new TargetClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, 4);
});

afterEach(() => {
	client.close();
	for (const socket of sockets) {
		socket.destroy();
	}

	server.close();
});

async function send(): Promise<CallResult> {
	const call: Call = {
		service: 'racks', kind: 'browse', rootKind: 'browse', rootIdentifier: 'root', priority: 1, deadlineAt: performance.now() + 2000, depth: 1, isRetry: false,
		message: {
			method: 'GET', path: '', headers: {}, body: new Uint8Array(0),
		},
		allowance: new RetryAllowance(0), signal: new AbortController().signal,
	};
	return client.send(call, new CallRegistry().begin(call, call.allowance)!);
}

/** Guards against a truncated response that looks complete: Node.js reports a reset that arrives together with data as an end. */
it('a response without a length that is reset right after its last bytes may have run', async () => {
	answer = socket => {
		socket.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${'x'.repeat(750)}`, () => {
			socket.resetAndDestroy();
		});
	};

	const verdicts: string[] = [];
	for (let index = 0; index < 60; index += 1) {
		const {verdict} = await send();
		verdicts.push(verdict);
	}

	expect(verdicts.filter(verdict => verdict !== 'may-have-run')).toEqual([]);
});

it.each<[name: string, write: (socket: Socket) => void]>([
	['without a length that ends in order', socket => {
		socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole');
	}],
	['with a length, whose connection is reset after it', socket => {
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole', () => {
			socket.resetAndDestroy();
		});
	}],
])('a response %s is complete', async (_name, write) => {
	answer = write;
	const {verdict, body} = await send();
	expect([verdict, Buffer.from(body).toString()]).toEqual(['ran', 'whole']);
});

/** Guards against a call that ran and is reported as not run, or gets the answer of another call, because of an earlier answer. */
describe('an earlier answer', () => {
	const refused = (context: string) => `HTTP/1.1 503 Busy\r\nhemlockthread-context: ${context}\r\nhemlockthread-verdict: did-not-run\r\nContent-Length: 0\r\n\r\n`;
	const ran = (context: string, body: string) => `HTTP/1.1 200 OK\r\nhemlockthread-context: ${context}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

	it.each<[name: string, write: (socket: Socket, own: string, earlier: string) => void, expected: Partial<CallResult>]>([
		['written once more before the own answer is not taken', (socket, own, earlier) => {
			socket.write(refused(earlier) + ran(own, 'own'));
		}, {verdict: 'may-have-run'}],
		['written once more in place of the own answer is not taken', (socket, _own, earlier) => {
			socket.write(refused(earlier));
		}, {verdict: 'may-have-run'}],
		['written into an unfinished header value is not taken', (socket, own, earlier) => {
			socket.write(`HTTP/1.1 200 OK\r\nhemlockthread-context: ${own}\r\nX-Part: a${refused(earlier)}`);
		}, {verdict: 'may-have-run'}],
		['without a context, written into an unfinished header value, is not taken', (socket, own) => {
			socket.write(`HTTP/1.1 200 OK\r\nhemlockthread-context: ${own}\r\nX-Part: a${refused('').replace('hemlockthread-context: \r\n', '')}`);
		}, {verdict: 'may-have-run'}],
		['that is not written again leaves the own answer valid', (socket, own) => {
			socket.write(ran(own, 'own'));
		}, {verdict: 'ran', status: 200}],
	])('%s', async (_name, write, expected) => {
		let earlier: string | undefined;
		answer = (socket, context) => {
			if (earlier === undefined) {
				earlier = context;
				socket.write(refused(context));
			} else {
				write(socket, context, earlier);
			}
		};

		expect(await send()).toMatchObject({declaredVerdict: 'did-not-run', status: 503});
		expect(await send()).toMatchObject(expected);
	});

	it('is not left on the connection for the call after the next', async () => {
		let earlier: string | undefined;
		answer = (socket, context) => {
			socket.write(earlier === undefined ? ran(context, 'own') : ran(earlier, 'old') + ran(context, 'own'));
			earlier ??= context;
		};

		await send();
		expect(await send()).toMatchObject({verdict: 'may-have-run'});
		answer = (socket, context) => {
			socket.write(ran(context, 'third'));
		};

		const {verdict, body} = await send();
		expect([verdict, Buffer.from(body).toString()]).toEqual(['ran', 'third']);
	});
});

/** Guards against a node that keeps the bytes of a faulty target without end, until its memory is exhausted. */
describe('endless bytes end the call, and its connection is closed', () => {
	const head = 'HTTP/1.1 200 OK\r\n';

	it.each<[name: string, start: string, repeated: string]>([
		['empty lines before the head', '', '\r\n'],
		['a status line', 'HTTP/1.1 200 ', 'x'],
		['a header line', `${head}X-Long: `, 'x'],
		['header lines', head, 'X-Again: 1\r\n'],
		['interim responses', '', 'HTTP/1.1 102 Processing\r\n\r\n'],
		['a body without a length', `${head}\r\n`, 'x'],
		['a body of a stated length', `${head}Content-Length: 999999999999\r\n\r\n`, 'x'],
		['chunks', `${head}Transfer-Encoding: chunked\r\n\r\n`, '1\r\nx\r\n'],
		['a chunk extension', `${head}Transfer-Encoding: chunked\r\n\r\n1;`, 'x'],
		['trailer lines', `${head}Transfer-Encoding: chunked\r\n\r\n0\r\n`, 'X-Again: 1\r\n'],
	])('%s', async (_name, start, repeated) => {
		let closed = false;
		let written = 0;
		const block = Buffer.from(repeated.repeat(Math.ceil(65_536 / repeated.length)));
		answer = socket => {
			socket.removeAllListeners('data');
			socket.once('close', () => {
				closed = true;
			});
			const write = () => {
				while (!socket.destroyed) {
					written += block.length;
					if (!socket.write(block)) {
						socket.once('drain', write);
						return;
					}
				}
			};

			socket.write(start);
			write();
		};

		const before = process.memoryUsage.rss();
		expect(await send()).toMatchObject({verdict: 'may-have-run'});
		await expect.poll(() => closed).toBe(true);
		expect(process.memoryUsage.rss() - before).toBeLessThan(256 * 1024 * 1024);
		expect(written).toBeGreaterThan(0);
	});
});
