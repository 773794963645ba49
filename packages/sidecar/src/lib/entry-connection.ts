/**
 * One caller's HTTP/1.1 connection. Pipelined requests are processed one at a time, in order. Ambiguous framing is rejected and ends
 * the connection, to prevent request smuggling.
 */
import {Buffer} from 'node:buffer';
import {STATUS_CODES} from 'node:http';
import type {Socket} from 'node:net';
import {HTTPParser} from 'http-parser-js';
import {bodyBudgetOptions, type BodyBudget, type ReleaseBody} from './body-budget.js';
import {BodyBuffer} from './body-buffer.js';
import type {Clock} from './clock.js';
import {
	contentLengthPattern, fieldLines, writeMessage,
} from './http-messages.js';
import {
	isInsideHead, RequestParser, UnacceptableMessage, unreadOffset, type ParsedRequest,
} from './http-parsers.js';
import {doNothing} from './do-nothing.js';
import {forwardedHeaders, headerValue, type HeaderList} from './message-headers.js';
import type {EntryRequest, EntryResponse} from './request-flow.js';

const {kOnHeadersComplete, kOnBody, kOnMessageComplete} = HTTPParser;

/** @internal */
export type EntryConnectionOptions = {
	headers: {attempt: string; remainingTime: string};
	clock: Clock;
	bodyBudget: BodyBudget;
	/** Maximum size of the headers in bytes, without the request line. */
	maximumHeaderBytes(): number;
	/** Maximum size of the body in bytes. */
	maximumBodyBytes(): number;
	/** True once responses close their connections because the node is leaving. */
	isLeaving(): boolean;
	handle(request: EntryRequest, respond: (response: EntryResponse) => void): () => void;
	/** Called for a request that is rejected without being handled. */
	onRejected(status: number, reason: string, attempt: string | undefined): void;
};

/** Times after which a connection is closed, in milliseconds. @internal */
export type EntryTimeouts = {header: number; idle: number; lingering: number};

const statusesWithoutBody = new Set([204, 304]);
const replacedHeaders: ReadonlySet<string> = new Set(['content-length']);
/** The time after which a reservation is given up has passed; large bodies take about as long to be read and sent on. */
const bodyRetryAfterSeconds = '1.00';
const continueLine = 'HTTP/1.1 100 Continue\r\n\r\n';

type ReceivedRequest = {
	method: string; path: string; headers: string[]; keepAlive: boolean; body: BodyBuffer | undefined; receivedAt: number;
	/** Frees the reservation of a large body. */
	release: ReleaseBody;
};

/**
 * Reads requests from a connection and writes their responses.
 *
 * @internal
 */
export class EntryConnection {
	private readonly parser: RequestParser;
	private reading: ReceivedRequest | undefined;
	private readonly queued: ReceivedRequest[] = [];
	private isServingQueued = false;
	/** True while a large body waits for its bytes to be reserved. */
	private awaitsBudget = false;
	private current: ReceivedRequest | undefined;
	private cancelCurrent: (() => void) | undefined;
	/** Start of the time that the next timeout measures. */
	private timeoutStartedAt: number;
	/** True once further bytes are discarded. */
	private ending = false;
	private closed = false;

	constructor(private readonly socket: Socket, private readonly options: EntryConnectionOptions, private readonly onClosed: () => void) {
		this.parser = new RequestParser(HTTPParser.REQUEST, () => options.maximumHeaderBytes());
		this.timeoutStartedAt = options.clock.now();
		socket.on('data', (bytes: Buffer) => {
			this.receive(bytes);
		});
		socket.on('end', () => {
			// A caller that half-closes the connection is treated as disconnected.
			this.cancelAll();
			socket.end();
		});
		socket.once('finish', () => {
			this.timeoutStartedAt = options.clock.now();
		});
		// The `close` event follows.
		socket.on('error', () => {
			this.cancelAll();
		});
		socket.on('close', () => {
			this.closed = true;
			this.cancelAll();
			this.onClosed();
		});
		this.parser[kOnHeadersComplete] = info => this.beginRequest(info);
		this.parser[kOnBody] = (chunk: Buffer, offset: number, length: number) => {
			this.receiveBody(chunk, offset, length);
		};

		this.parser[kOnMessageComplete] = () => {
			this.completeRequest();
		};
	}

	/** True while the connection carries a request, or a response that has not been handed to the operating system. */
	get isBusy(): boolean {
		return this.carriesRequest() || this.socket.writableLength > 0;
	}

	/** Bytes of responses that the caller has not read yet, beyond what the operating system holds. */
	get unsentBytes(): number {
		return this.socket.writableLength;
	}

	/** Start of the time for which the connection waits for its caller, if it carries no request. */
	get waitingSince(): number {
		return this.timeoutStartedAt;
	}

	/** Ends the connection if it carries no request and no part of one. */
	endIfIdle(): void {
		if (!this.ending && !this.carriesRequest() && !isInsideHead(this.parser)) {
			this.end();
		}
	}

	/** Closes the connection if it exceeds a timeout. */
	enforceTimeouts(now: number, timeouts: EntryTimeouts): void {
		const elapsed = now - this.timeoutStartedAt;
		if (this.ending) {
			// The timeout starts only after the last response is written, so that a slow reader still receives it.
			if (this.socket.writableFinished && elapsed > timeouts.lingering) {
				this.socket.destroy();
			}
		} else if (isInsideHead(this.parser)) {
			if (elapsed > timeouts.header && this.current === undefined) {
				this.reject(408, 'head incomplete');
			}
		} else if (!this.carriesRequest() && elapsed > timeouts.idle) {
			this.end();
		}
	}

	destroy(): void {
		this.socket.destroy();
	}

	private carriesRequest(): boolean {
		return this.current !== undefined || this.reading !== undefined || this.queued.length > 0;
	}

	private receive(bytes: Buffer): void {
		if (this.ending) {
			// The bytes are read and discarded: unread bytes would reset the connection and lose the last response.
			return;
		}

		if (!isInsideHead(this.parser)) {
			this.timeoutStartedAt = this.options.clock.now();
		}

		try {
			this.parse(bytes);
		} catch (error) {
			this.reject(error instanceof UnacceptableMessage ? error.status : 400, (error as Error).message);
			return;
		}

		if (this.queued.length > 0) {
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

			// The parser stops early after a request for a protocol upgrade.
			rest = rest.subarray(unreadOffset(this.parser));
		}
	}

	private beginRequest(info: ParsedRequest): 0 {
		const {headers} = info;
		const method = HTTPParser.methods[info.method];
		if (method === undefined || method === 'CONNECT') {
			throw new UnacceptableMessage(405, 'method is not served');
		}

		if (info.versionMajor !== 1) {
			throw new UnacceptableMessage(505, 'version is not served');
		}

		const {hasBody, length} = checkFraming(info);
		this.reading = {
			method, path: info.url, headers, keepAlive: info.shouldKeepAlive, body: undefined, receivedAt: 0, release: doNothing,
		};
		if (length > this.options.maximumBodyBytes()) {
			throw new UnacceptableMessage(413, 'body too large');
		}

		if (hasBody) {
			this.reading.body = new BodyBuffer(length);
			this.reserveIfLarge(this.reading, length);
		}

		if (hasBody && this.current === undefined && headerValue(headers, 'expect')?.toLowerCase() === '100-continue') {
			this.socket.write(continueLine);
		}

		return 0;
	}

	private receiveBody(chunk: Buffer, offset: number, length: number): void {
		const {reading} = this;
		if (reading === undefined) {
			return;
		}

		reading.body!.append(chunk.subarray(offset, offset + length));
		if (reading.body!.length > this.options.maximumBodyBytes()) {
			throw new UnacceptableMessage(413, 'body too large');
		}

		if (reading.release === doNothing && reading.body!.length >= bodyBudgetOptions.largeBodyBytes) {
			// A body in chunks may become as large as the limit.
			this.reserveIfLarge(reading, this.options.maximumBodyBytes());
		}
	}

	/** Stops reading until the bytes of a large body are reserved; rejects the request if that takes too long. */
	private reserveIfLarge(request: ReceivedRequest, bytes: number): void {
		if (bytes < bodyBudgetOptions.largeBodyBytes) {
			return;
		}

		this.awaitsBudget = true;
		request.release = this.options.bodyBudget.reserve(bytes, isReserved => {
			this.awaitsBudget = false;
			if (!isReserved) {
				this.reject(503, 'no memory for the body', ['Retry-After', bodyRetryAfterSeconds]);
			} else if (this.queued.length === 0) {
				this.socket.resume();
			}
		});
		if (this.awaitsBudget) {
			this.socket.pause();
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
			this.queued.push(reading);
		}
	}

	private serve(request: ReceivedRequest): void {
		this.current = request;
		const {headers} = this.options;
		const remaining = Number(headerValue(request.headers, headers.remainingTime));
		const cancel = this.options.handle({
			method: request.method, host: headerValue(request.headers, 'host') ?? '', path: request.path, headers: request.headers,
			body: request.body?.toBuffer(), attempt: headerValue(request.headers, headers.attempt) ?? '',
			remainingMilliseconds: Number.isFinite(remaining) && remaining > 0 ? remaining : undefined, receivedAt: request.receivedAt,
		}, response => {
			this.respond(request, response);
		});
		if (this.current === request) {
			this.cancelCurrent = cancel;
		}
	}

	private respond(request: ReceivedRequest, response: EntryResponse): void {
		if (this.current !== request || this.closed) {
			return;
		}

		this.current = undefined;
		this.cancelCurrent = undefined;
		request.release();
		const closes = !request.keepAlive || this.options.isLeaving();
		this.write(request.method, response, closes);
		if (closes) {
			this.end();
			return;
		}

		this.timeoutStartedAt = this.options.clock.now();
		this.serveQueued();
	}

	/** Serves the requests that were read ahead, in a loop: each may be answered at once. */
	private serveQueued(): void {
		if (this.isServingQueued) {
			return;
		}

		this.isServingQueued = true;
		while (this.current === undefined && this.queued.length > 0) {
			this.serve(this.queued.shift()!);
		}

		this.isServingQueued = false;
		if (this.current === undefined && this.socket.isPaused() && !this.awaitsBudget) {
			this.socket.resume();
		}
	}

	private write(method: string, {status, headers, body}: EntryResponse, closes: boolean): void {
		let head = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\n${fieldLines(forwardedHeaders(headers, replacedHeaders))}`;
		if (closes) {
			head += 'Connection: close\r\n';
		}

		const hasBody = method !== 'HEAD' && !statusesWithoutBody.has(status);
		if (hasBody) {
			head += `Content-Length: ${body?.length ?? 0}\r\n`;
		} else if (method === 'HEAD' && !statusesWithoutBody.has(status)) {
			head += `Content-Length: ${headerValue(headers, 'content-length') ?? '0'}\r\n`;
		}

		writeMessage(this.socket, `${head}\r\n`, hasBody ? body : undefined);
	}

	/**
	 * Rejects a malformed request and ends the connection, because the start of the next request is unknown. A request that is in
	 * progress still gets its response, after which the connection ends.
	 */
	private reject(status: number, reason: string, headers: HeaderList = []): void {
		this.options.onRejected(status, reason, this.reading === undefined ? undefined : headerValue(this.reading.headers, this.options.headers.attempt));
		this.dropReading();
		if (this.current !== undefined) {
			this.current.keepAlive = false;
			this.ending = true;
			return;
		}

		this.write('GET', {status, headers: ['Content-Type', 'application/json', ...headers], body: Buffer.from(JSON.stringify({reason}))}, true);
		this.end();
	}

	private cancelAll(): void {
		const {cancelCurrent, current} = this;
		this.current = undefined;
		this.cancelCurrent = undefined;
		this.dropReading();
		current?.release();
		cancelCurrent?.();
	}

	/** Drops the requests that are not being handled. */
	private dropReading(): void {
		for (const request of [this.reading, ...this.queued]) {
			request?.release();
		}

		this.reading = undefined;
		this.queued.length = 0;
	}

	private end(): void {
		this.ending = true;
		this.timeoutStartedAt = this.options.clock.now();
		this.dropReading();
		this.socket.resume();
		this.socket.end();
	}
}

type Framing = {length: string | undefined; isChunked: boolean; hosts: number};
type FramingReader = (framing: Framing, value: string, versionMinor: number) => void;

/** Readers of the host and framing headers; a map, because callers choose the header names and an object would expose its prototype. */
const framingReaders = new Map<string, FramingReader>([
	['host', framing => {
		framing.hosts += 1;
	}],
	['content-length', (framing, value) => {
		if (framing.length !== undefined || !contentLengthPattern.test(value)) {
			throw new UnacceptableMessage(400, 'malformed content-length');
		}

		framing.length = value;
	}],
	['transfer-encoding', (framing, value, versionMinor) => {
		if (framing.isChunked || value.toLowerCase() !== 'chunked' || versionMinor === 0) {
			throw new UnacceptableMessage(400, 'transfer-encoding is not served');
		}

		framing.isChunked = true;
	}],
]);

/**
 * Returns whether a body follows, and its length if that is stated.
 *
 * @throws UnacceptableMessage if two parsers could disagree about the end of the request.
 */
function checkFraming({headers, versionMinor, upgrade}: ParsedRequest): {hasBody: boolean; length: number} {
	const framing: Framing = {length: undefined, isChunked: false, hosts: 0};
	for (let index = 0; index < headers.length; index += 2) {
		framingReaders.get(headers[index]!.toLowerCase())?.(framing, headers[index + 1]!, versionMinor);
	}

	const {length, isChunked, hosts} = framing;
	if (isChunked && (length !== undefined || upgrade)) {
		throw new UnacceptableMessage(400, 'two lengths');
	}

	if (hosts > 1 || (hosts === 0 && versionMinor > 0)) {
		throw new UnacceptableMessage(400, 'one host header is needed');
	}

	return {hasBody: isChunked || length !== undefined, length: Number(length ?? 0)};
}
