/**
 * Tests of the responses of a faulty target: truncated without a length, or with an earlier response written into an unfinished head.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {performance} from 'node:perf_hooks';
import {RetryAllowance} from '@hemlockthread/identity';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {type Call, type CallResult} from './call.js';
import {CallRegistry} from './call-registry.js';
import {TargetClient} from './target-client.js';

let server: Server;
let client: TargetClient;
let answer: (socket: Socket) => void;
const sockets = new Set<Socket>();

beforeEach(async () => {
	server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', () => {
			answer(socket);
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
