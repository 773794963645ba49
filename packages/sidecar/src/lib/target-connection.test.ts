/**
 * Tests of the responses of a faulty target: truncated, malformed, duplicate, late, endless or without a length.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {processClock} from './clock.js';
import {targetConnectionOptions, TargetConnections, type TargetOutcome} from './target-connection.js';

type Script = (socket: Socket, attempt: string, connection: number) => unknown;

let server: Server;
let script: Script;
let connections: TargetConnections;
let opened = 0;
const sockets = new Set<Socket>();

beforeEach(async () => {
	opened = 0;
	server = createServer(socket => {
		opened += 1;
		const connection = opened;
		sockets.add(socket);
		let text = '';
		socket.on('error', () => undefined);
		socket.on('data', (bytes: Buffer) => {
			text += bytes.toString('latin1');
			for (let end = text.indexOf('\r\n\r\n'); end !== -1; end = text.indexOf('\r\n\r\n')) {
				const attempt = /x-attempt: (?<id>\w+)/iv.exec(text.slice(0, end))!.groups!.id!;
				text = text.slice(end + 4);
				script(socket, attempt, connection);
			}
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	connections = new TargetConnections({
		address: {host: '127.0.0.1', port: (server.address() as AddressInfo).port}, clock: processClock, attemptHeader: 'x-attempt',
	});
});

afterEach(() => {
	connections.close();
	for (const socket of sockets) {
		socket.destroy();
	}

	server.close();
});

async function send(attempt: string): Promise<TargetOutcome> {
	return new Promise(resolve => {
		connections.send({
			method: 'GET', path: '/', headers: ['X-Attempt', attempt], attempt, body: undefined,
		}, resolve);
	});
}

const response = (attempt: string, body: string, rest = '') => `HTTP/1.1 200 OK\r\nX-Attempt: ${attempt}\r\nContent-Length: ${body.length}\r\n${rest}\r\n${body}`;
const typeOf = async (attempt: string) => {
	const {type} = await send(attempt);
	return type;
};

const bodyOf = (outcome: TargetOutcome) => outcome.type === 'answered' ? outcome.response.body.toString() : outcome.type;

describe('a complete response', () => {
	it('keeps its connection for the next request', async () => {
		script = (socket, attempt) => {
			socket.write(response(attempt, `for ${attempt}`));
		};

		expect(bodyOf(await send('a1'))).toBe('for a1');
		expect(bodyOf(await send('a2'))).toBe('for a2');
		expect(opened).toBe(1);
	});

	it('with `Connection: close` ends its connection', async () => {
		script = (socket, attempt) => {
			socket.write(response(attempt, 'x', 'Connection: close\r\n'));
		};

		await send('a1');
		await send('a2');
		expect(opened).toBe(2);
	});

	it('in single bytes is reassembled', async () => {
		script = async (socket, attempt) => {
			for (const character of response(attempt, 'whole')) {
				socket.write(character);
				await delay(0);
			}
		};

		expect(bodyOf(await send('a1'))).toBe('whole');
	});

	it('in chunks is reassembled', async () => {
		script = (socket, attempt) => {
			socket.write(`HTTP/1.1 200 OK\r\nX-Attempt: ${attempt}\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n`);
		};

		expect(bodyOf(await send('a1'))).toBe('abcde');
	});

	it('without a length ends with its connection', async () => {
		script = (socket, attempt) => {
			socket.end(`HTTP/1.1 200 OK\r\nX-Attempt: ${attempt}\r\n\r\nabc`);
		};

		expect(bodyOf(await send('a1'))).toBe('abc');
	});

	it('after an interim response is the final one', async () => {
		script = (socket, attempt) => {
			socket.write(`HTTP/1.1 102 Processing\r\n\r\n${response(attempt, 'final')}`);
		};

		expect(bodyOf(await send('a1'))).toBe('final');
	});
});

describe('an incomplete response is lost', () => {
	it.each<[string, (attempt: string) => string]>([
		['truncated in its body', attempt => response(attempt, 'abcdef').slice(0, -2)],
		['truncated in its head', attempt => response(attempt, 'abc').slice(0, 20)],
		['truncated in a chunk', attempt => `HTTP/1.1 200 OK\r\nX-Attempt: ${attempt}\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc`],
		['with a malformed chunk size', attempt => `HTTP/1.1 200 OK\r\nX-Attempt: ${attempt}\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n\r\n`],
		['with a malformed length', attempt => `HTTP/1.1 200 OK\r\nX-Attempt: ${attempt}\r\nContent-Length: 3x\r\n\r\nabc`],
		['that is not HTTP', () => '\u0000\u0001 not an answer\r\n\r\n'],
		['without any bytes', () => ''],
	])('%s', async (_name, bytes) => {
		script = (socket, attempt) => {
			socket.end(Buffer.from(bytes(attempt), 'latin1'));
		};

		expect(await typeOf('a1')).toBe('lost');
	});

	it('truncated after any byte of its head', async () => {
		const headBytes = response('a1', '').length;
		for (let end = 1; end < headBytes; end += 1) {
			script = (socket, attempt) => {
				socket.end(response(attempt, '').slice(0, end));
			};

			expect([end, await typeOf('a1')]).toEqual([end, 'lost']);
		}
	});

	it('without a length and reset', async () => {
		script = async (socket, attempt) => {
			socket.write(`HTTP/1.1 200 OK\r\nX-Attempt: ${attempt}\r\n\r\nabc`);
			await delay(20);
			socket.resetAndDestroy();
		};

		expect(await typeOf('a1')).toBe('lost');
	});
});

/** Guards against a truncated response that looks complete: Node.js reports a reset that arrives together with data as an end. */
it('a response without a length that is reset right after its last bytes is lost', async () => {
	script = (socket, attempt) => {
		socket.write(`HTTP/1.1 200 OK\r\nX-Attempt: ${attempt}\r\n\r\n${'x'.repeat(750)}`, () => {
			socket.resetAndDestroy();
		});
	};

	const types: string[] = [];
	for (let index = 0; index < 60; index += 1) {
		types.push(await typeOf(`a${index}`));
	}

	expect(types.filter(type => type !== 'lost')).toEqual([]);
});

describe('an extra response', () => {
	it('in the same packet is discarded', async () => {
		script = (socket, attempt) => {
			socket.write(response(attempt, `for ${attempt}`).repeat(2));
		};

		expect(bodyOf(await send('a1'))).toBe('for a1');
		expect(bodyOf(await send('a2'))).toBe('for a2');
	});

	it('while the connection is idle closes it', async () => {
		script = async (socket, attempt) => {
			socket.write(response(attempt, `for ${attempt}`));
			await delay(10);
			socket.write(response(attempt, 'again'));
		};

		await send('a1');
		await delay(40);
		expect(bodyOf(await send('a2'))).toBe('for a2');
		expect(opened).toBe(2);
	});

	it('before the response to the next request is skipped', async () => {
		let first = true;
		script = (socket, attempt) => {
			socket.write(first ? response(attempt, `for ${attempt}`) : response('a1', 'again') + response(attempt, `for ${attempt}`));
			first = false;
		};

		await send('a1');
		expect(bodyOf(await send('a2'))).toBe('for a2');
		expect(opened).toBe(1);
	});
});

describe('an earlier refusal that is written again', () => {
	const refusal = (attempt: string) => `HTTP/1.1 503 Busy\r\nX-Attempt: ${attempt}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`;

	it.each<[string, (attempt: string) => string, string]>([
		['before the response to the next request is skipped', attempt => refusal('a1') + response(attempt, 'own'), 'own'],
		['without an id is skipped', attempt => refusal('a1').replace('X-Attempt: a1\r\n', '') + response(attempt, 'own'), 'own'],
	])('%s', async (_name, next, body) => {
		script = (socket, attempt) => {
			socket.write(attempt === 'a1' ? refusal(attempt) : next(attempt));
		};

		await send('a1');
		expect(bodyOf(await send('a2'))).toBe(body);
		expect(opened).toBe(1);
	});

	it('in place of the response to the next request leaves that request lost, not refused', async () => {
		script = (socket, attempt) => {
			socket.write(refusal('a1'));
			if (attempt !== 'a1') {
				socket.end();
			}
		};

		await send('a1');
		expect(await typeOf('a2')).toBe('lost');
	});
});

/** Guards against two answers that are read as one: a target stops inside a head and writes an earlier answer of the connection again. */
describe('an earlier answer that is written into an unfinished head leaves the request lost', () => {
	const signed = (attempt: string, body: string) => `HTTP/1.1 200 OK\r\nX-Attempt: ${attempt}\r\nX-Signature: s.${attempt}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
	const unidentified = 'HTTP/1.1 400 Bad Request\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n';

	it.each<[string, string]>([
		['a refusal', 'HTTP/1.1 503 Busy\r\nX-Attempt: a1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n'],
		['a success', signed('a1', 'for a1')],
		['a success in chunks', 'HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Signature: s.a1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n'],
	])('%s, after any byte of the head', async (_name, earlier) => {
		const head = signed('a2', '');
		const taken: number[] = [];
		for (let end = 0; end < head.length; end += 1) {
			script = async (socket, attempt) => {
				if (attempt === 'a1') {
					socket.write(earlier);
					return;
				}

				socket.write(head.slice(0, end));
				await delay(1);
				socket.end(earlier);
			};

			await send('a1');
			if (await typeOf('a2') !== 'lost') {
				taken.push(end);
			}
		}

		expect(taken).toEqual([]);
	});

	it('a refusal without an id, after any line of the head', async () => {
		const lines = signed('a2', '').split('\r\n').slice(0, -2);
		for (const count of lines.keys()) {
			script = (socket, attempt) => {
				socket.end(attempt === 'a2' ? lines.slice(0, count).map(line => `${line}\r\n`).join('') + unidentified : unidentified);
			};

			expect([count, await typeOf('a2')]).toEqual([count, 'lost']);
		}
	});
});

describe('a request that was not written is unsent', () => {
	it('to a port without a listener', async () => {
		const {port} = (server.address() as AddressInfo);
		server.close();
		connections = new TargetConnections({address: {host: '127.0.0.1', port: port === 1 ? 2 : 1}, clock: processClock, attemptHeader: 'x-attempt'});
		expect(await typeOf('a1')).toBe('unsent');
	});
});

it('a cancelled request closes its connection and does not settle', async () => {
	let closed = false;
	script = socket => {
		socket.on('close', () => {
			closed = true;
		});
	};

	let settled = false;
	const cancel = connections.send({
		method: 'GET', path: '/', headers: ['X-Attempt', 'a1'], attempt: 'a1', body: undefined,
	}, () => {
		settled = true;
	});
	await delay(30);
	cancel();
	await delay(30);
	expect({closed, settled}).toEqual({closed: true, settled: false});
});

describe('endless bytes close the connection before they fill the memory', () => {
	const block = 64 * 1024;
	const repeated = (text: string) => text.repeat(Math.ceil(block / text.length));
	const head = (attempt: string, rest: string) => `HTTP/1.1 200 OK\r\nX-Attempt: ${attempt}\r\n${rest}`;
	const chunked = (attempt: string) => head(attempt, 'Transfer-Encoding: chunked\r\n\r\n');

	/** Writes a start, then the same block until the connection closes, at the pace of the reader. */
	function writeEndlessly(socket: Socket, start: string, text: string): void {
		socket.write(start);
		const bytes = Buffer.from(repeated(text), 'latin1');
		const write = () => {
			while (!socket.destroyed && socket.writable) {
				if (!socket.write(bytes)) {
					socket.once('drain', write);
					return;
				}
			}
		};

		write();
	}

	it.each<[string, (attempt: string) => [start: string, block: string]]>([
		['empty lines before the head', () => ['', '\r\n']],
		['a status line', () => ['HTTP/1.1 200 ', 'x']],
		['a header line', attempt => [head(attempt, 'X-Long: '), 'x']],
		['header lines', attempt => [head(attempt, ''), 'X-Again: 1\r\n']],
		['a body without a length', attempt => [head(attempt, '\r\n'), 'x']],
		['a body of a stated length', attempt => [head(attempt, 'Content-Length: 999999999999\r\n\r\n'), 'x']],
		['chunks', attempt => [chunked(attempt), '1\r\nx\r\n']],
		['one chunk', attempt => [`${chunked(attempt)}ffffffff\r\n`, 'x']],
		['a chunk size', attempt => [chunked(attempt), '0']],
		['a chunk extension', attempt => [`${chunked(attempt)}1;`, 'x']],
		['the line after a chunk', attempt => [`${chunked(attempt)}1\r\nx`, 'x']],
		['a trailer line', attempt => [`${chunked(attempt)}0\r\nX-Long: `, 'x']],
		['trailer lines', attempt => [`${chunked(attempt)}0\r\n`, 'X-Again: 1\r\n']],
		['interim responses', () => ['', 'HTTP/1.1 102 Processing\r\n\r\n']],
		['responses to other requests', () => ['', response('other', 'x')]],
	])('%s', async (_name, bytesFor) => {
		let closed = false;
		script = (socket, attempt) => {
			socket.on('close', () => {
				closed = true;
			});
			writeEndlessly(socket, ...bytesFor(attempt));
		};

		expect(await typeOf('a1')).toBe('lost');
		await expect.poll(() => closed).toBe(true);
		expect(connections.bufferedBytes).toBe(0);
	}, 10_000);

	it('after a complete response, which is accepted', async () => {
		let closed = false;
		script = (socket, attempt) => {
			socket.on('close', () => {
				closed = true;
			});
			writeEndlessly(socket, response(attempt, 'whole'), 'x');
		};

		expect(bodyOf(await send('a1'))).toBe('whole');
		await expect.poll(() => closed).toBe(true);
	});

	it('many at the same time, while a small response on another connection is accepted', async () => {
		script = async (socket, attempt) => {
			if (attempt === 'small') {
				await delay(100);
				socket.write(response(attempt, 'whole'));
			} else {
				writeEndlessly(socket, head(attempt, '\r\n'), 'x');
			}
		};

		let maximumBuffered = 0;
		const observing = setInterval(() => {
			maximumBuffered = Math.max(maximumBuffered, connections.bufferedBytes);
		}, 1);
		const endless = Array.from({length: 12}, async (_, index) => typeOf(`endless${index}`));
		expect(bodyOf(await send('small'))).toBe('whole');
		expect(new Set(await Promise.all(endless))).toEqual(new Set(['lost']));
		clearInterval(observing);
		expect(maximumBuffered).toBeLessThanOrEqual(targetConnectionOptions.maximumBufferedBytes + block);
	});
});
