/**
 * One caller's HTTP/1.1 connection. Requests on it are answered one after the other, in their order. What can be read in
 * two ways is refused and ends the connection, so that no request hides inside another.
 */
import {Buffer} from 'node:buffer';
import {STATUS_CODES} from 'node:http';
import type {Socket} from 'node:net';
import {HTTPParser} from 'http-parser-js';
import type {Clock} from './clock.js';
import {
	fieldLines, joinParts, lengthPattern, writeMessage,
} from './http-messages.js';
import {
	isInsideHead, RequestParser, unreadOffset, type ParsedRequest,
} from './http-parsers.js';
import {headerValue, passedHeaders, type HeaderList} from './message-headers.js';
import type {EntryAnswer, EntryRequest} from './request-flow.js';

const {kOnHeadersComplete, kOnBody, kOnMessageComplete} = HTTPParser;

/** @internal */
export type EntryConnectionOptions = {
	headers: {attempt: string; remainingTime: string};
	clock: Clock;
	/** Largest head in bytes, without its first line. */
	maximumHeaderBytes(): number;
	/** Largest body in bytes. */
	maximumBodyBytes(): number;
	/** True once callers are asked to use another connection. */
	isLeaving(): boolean;
	handle(request: EntryRequest, respond: (answer: EntryAnswer) => void): () => void;
};

/** Times after which a connection is ended, in milliseconds. @internal */
export type EntryTimeouts = {header: number; idle: number; lingering: number};

const statusesWithoutBody = new Set([204, 304]);
const noneReplaced: ReadonlySet<string> = new Set(['content-length']);
const continueLine = 'HTTP/1.1 100 Continue\r\n\r\n';

type ReadRequest = {
	method: string; path: string; headers: string[]; keepAlive: boolean; chunks: Buffer[]; bodyBytes: number; hasBody: boolean; receivedAt: number;
};

/** A request that can't be served, with the status that tells why. */
class UnacceptableRequest extends Error {
	constructor(readonly status: number, message: string) {
		super(message);
	}
}

/**
 * One connection of a caller.
 *
 * @internal
 */
export class EntryConnection {
	private readonly parser = new RequestParser(HTTPParser.REQUEST);
	private reading: ReadRequest | undefined;
	private readonly waiting: ReadRequest[] = [];
	private current: ReadRequest | undefined;
	private leave: (() => void) | undefined;
	private quietSince: number;
	/** True once nothing more is read as a request. */
	private ending = false;
	private closed = false;

	constructor(private readonly socket: Socket, private readonly options: EntryConnectionOptions, private readonly onClosed: () => void) {
		this.quietSince = options.clock.now();
		socket.on('data', (bytes: Buffer) => {
			this.receive(bytes);
		});
		socket.on('end', () => {
			// A caller that ends its side waits for no answer.
			this.abandon();
			socket.end();
		});
		socket.once('finish', () => {
			this.quietSince = options.clock.now();
		});
		// The event `close` follows.
		socket.on('error', () => {
			this.abandon();
		});
		socket.on('close', () => {
			this.closed = true;
			this.abandon();
			this.onClosed();
		});
		this.parser[kOnHeadersComplete] = info => this.beginRequest(info);
		this.parser[kOnBody] = (chunk: Buffer, offset: number, length: number) => {
			this.takeBody(chunk, offset, length);
		};

		this.parser[kOnMessageComplete] = () => {
			this.completeRequest();
		};
	}

	/** Ends the connection where it carries no request, also not in part. */
	endIdle(): void {
		if (!this.isBusy() && !isInsideHead(this.parser)) {
			this.end();
		}
	}

	/** Ends a connection that exceeds a time limit. */
	check(now: number, timeouts: EntryTimeouts): void {
		const quiet = now - this.quietSince;
		if (this.ending) {
			// A slow reader still takes its last answer; only then its side is overdue.
			if (this.socket.writableFinished && quiet > timeouts.lingering) {
				this.socket.destroy();
			}
		} else if (isInsideHead(this.parser)) {
			if (quiet > timeouts.header && this.current === undefined) {
				this.refuse(408, 'head incomplete');
			}
		} else if (!this.isBusy() && quiet > timeouts.idle) {
			this.end();
		}
	}

	destroy(): void {
		this.socket.destroy();
	}

	private isBusy(): boolean {
		return this.current !== undefined || this.reading !== undefined || this.waiting.length > 0;
	}

	private receive(bytes: Buffer): void {
		if (this.ending) {
			// Read and dropped: unread bytes would reset the connection and take the last answer with them.
			return;
		}

		if (!isInsideHead(this.parser)) {
			this.quietSince = this.options.clock.now();
		}

		try {
			this.parse(bytes);
		} catch (error) {
			this.refuse(error instanceof UnacceptableRequest ? error.status : 400, (error as Error).message);
			return;
		}

		if (this.waiting.length > 0) {
			this.socket.pause();
		}
	}

	private parse(bytes: Buffer): void {
		let rest = bytes;
		while (rest.length > 0) {
			const result: number | Error = this.parser.execute(rest);
			if (result instanceof Error) {
				throw result;
			}

			// The parser stops early after a request that asks for another protocol.
			rest = rest.subarray(unreadOffset(this.parser));
		}
	}

	private beginRequest(info: ParsedRequest): 0 {
		const {headers} = info;
		const method = HTTPParser.methods[info.method];
		if (method === undefined || method === 'CONNECT') {
			throw new UnacceptableRequest(405, 'method is not served');
		}

		if (info.versionMajor !== 1) {
			throw new UnacceptableRequest(505, 'version is not served');
		}

		if (sizeOf(headers) > this.options.maximumHeaderBytes()) {
			throw new UnacceptableRequest(431, 'head too large');
		}

		const hasBody = checkFraming(info);
		this.reading = {
			method, path: info.url, headers, keepAlive: info.shouldKeepAlive, chunks: [], bodyBytes: 0, hasBody, receivedAt: 0,
		};
		if (hasBody && this.current === undefined && headerValue(headers, 'expect')?.toLowerCase() === '100-continue') {
			this.socket.write(continueLine);
		}

		return 0;
	}

	private takeBody(chunk: Buffer, offset: number, length: number): void {
		const {reading} = this;
		if (reading === undefined) {
			return;
		}

		reading.bodyBytes += length;
		if (reading.bodyBytes <= this.options.maximumBodyBytes()) {
			reading.chunks.push(chunk.subarray(offset, offset + length));
		}
	}

	private completeRequest(): void {
		const {reading} = this;
		if (reading === undefined) {
			return;
		}

		this.reading = undefined;
		reading.receivedAt = this.options.clock.now();
		if (this.current === undefined) {
			this.serve(reading);
		} else {
			this.waiting.push(reading);
		}
	}

	private serve(request: ReadRequest): void {
		this.current = request;
		if (request.bodyBytes > this.options.maximumBodyBytes()) {
			this.respond(request, {status: 413, headers: [], body: undefined});
			return;
		}

		const {headers} = this.options;
		const stated = Number(headerValue(request.headers, headers.remainingTime));
		const leave = this.options.handle({
			method: request.method, host: headerValue(request.headers, 'host') ?? '', path: request.path, headers: request.headers,
			body: request.hasBody ? joinParts(request.chunks) : undefined, attempt: headerValue(request.headers, headers.attempt) ?? '',
			limitMilliseconds: Number.isFinite(stated) && stated > 0 ? stated : undefined, receivedAt: request.receivedAt,
		}, answer => {
			this.respond(request, answer);
		});
		if (this.current === request) {
			this.leave = leave;
		}
	}

	private respond(request: ReadRequest, answer: EntryAnswer): void {
		if (this.current !== request || this.closed) {
			return;
		}

		this.current = undefined;
		this.leave = undefined;
		const ends = !request.keepAlive || answer.unframed === true || this.options.isLeaving();
		this.write(request.method, answer, ends);
		if (ends) {
			this.end();
			return;
		}

		this.quietSince = this.options.clock.now();
		const next = this.waiting.shift();
		if (next !== undefined) {
			this.serve(next);
		} else if (this.socket.isPaused()) {
			this.socket.resume();
		}
	}

	private write(method: string, {status, headers, body, unframed}: EntryAnswer, ends: boolean): void {
		let head = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\n${fieldLines(passedHeaders(headers, noneReplaced))}`;
		if (ends) {
			head += 'Connection: close\r\n';
		}

		const hasBody = method !== 'HEAD' && !statusesWithoutBody.has(status);
		if (hasBody && unframed !== true) {
			head += `Content-Length: ${body?.length ?? 0}\r\n`;
		} else if (method === 'HEAD' && !statusesWithoutBody.has(status)) {
			head += `Content-Length: ${headerValue(headers, 'content-length') ?? '0'}\r\n`;
		}

		writeMessage(this.socket, `${head}\r\n`, hasBody ? body : undefined);
	}

	/**
	 * Answers what can't be read as a request, and ends the connection: where the next request begins is unknown. An earlier
	 * request still gets its answer, which is then the last one.
	 */
	private refuse(status: number, reason: string): void {
		this.reading = undefined;
		this.waiting.length = 0;
		if (this.current !== undefined) {
			this.current.keepAlive = false;
			this.ending = true;
			return;
		}

		this.write('GET', {status, headers: ['Content-Type', 'application/json'], body: Buffer.from(JSON.stringify({reason}))}, true);
		this.end();
	}

	private abandon(): void {
		const {leave} = this;
		this.current = undefined;
		this.leave = undefined;
		this.reading = undefined;
		this.waiting.length = 0;
		leave?.();
	}

	private end(): void {
		this.ending = true;
		this.quietSince = this.options.clock.now();
		this.waiting.length = 0;
		this.socket.resume();
		this.socket.end();
	}
}

type Framing = {length: string | undefined; isChunked: boolean; hosts: number};
type FramingReader = (framing: Framing, value: string, versionMinor: number) => void;

/** Readers of the headers that say where a request belongs and where it ends; a map, because callers choose the names. */
const framingReaders = new Map<string, FramingReader>([
	['host', framing => {
		framing.hosts += 1;
	}],
	['content-length', (framing, value) => {
		if (framing.length !== undefined || !lengthPattern.test(value)) {
			throw new UnacceptableRequest(400, 'malformed content-length');
		}

		framing.length = value;
	}],
	['transfer-encoding', (framing, value, versionMinor) => {
		if (framing.isChunked || value.toLowerCase() !== 'chunked' || versionMinor === 0) {
			throw new UnacceptableRequest(400, 'transfer-encoding is not served');
		}

		framing.isChunked = true;
	}],
]);

/**
 * Returns whether a body follows.
 *
 * @throws UnacceptableRequest where two readers could disagree about its end.
 */
function checkFraming({headers, versionMinor, upgrade}: ParsedRequest): boolean {
	const framing: Framing = {length: undefined, isChunked: false, hosts: 0};
	for (let index = 0; index < headers.length; index += 2) {
		framingReaders.get(headers[index]!.toLowerCase())?.(framing, headers[index + 1]!, versionMinor);
	}

	const {length, isChunked, hosts} = framing;
	if (isChunked && (length !== undefined || upgrade)) {
		throw new UnacceptableRequest(400, 'two lengths');
	}

	if (hosts > 1 || (hosts === 0 && versionMinor > 0)) {
		throw new UnacceptableRequest(400, 'one host header is needed');
	}

	return isChunked || length !== undefined;
}

function sizeOf(headers: HeaderList): number {
	let size = 0;
	for (const text of headers) {
		// Two bytes behind each name and each value.
		size += text.length + 2;
	}

	return size;
}
