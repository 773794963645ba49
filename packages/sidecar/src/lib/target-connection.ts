/**
 * HTTP/1.1 connections to the local target. A connection carries one request at a time and is reused only if its state is certain:
 * after a complete response with a known end, no bytes beyond it, and the request fully written. A response is accepted only if it
 * echoes the attempt of the request once, because a faulty target may send a response twice, late or inside the head of another. A
 * parser library is used because `node:http` hides which bytes follow a response, and costs more processor time per request.
 */
import {type Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {HTTPParser} from 'http-parser-js';
import {checkConnectionEnd} from '@hemlockthread/wire';
import {BodyBuffer} from './body-buffer.js';
import type {Clock} from './clock.js';
import type {Address} from './fleet-model.js';
import {contentLengthPattern, fieldLines, writeMessage} from './http-messages.js';
import {hasUnreadBytes, ResponseParser, type ParsedResponse} from './http-parsers.js';
import {headerCount, headerValue, type HeaderList} from './message-headers.js';

/** @public */
export const targetConnectionOptions = {
	/** Timeout for connecting to the target on the same machine. */
	connectTimeoutMilliseconds: 1000,
	/** Idle time after which a connection is not reused if the target sends no `Keep-Alive` timeout; below the common server default of 5 s. */
	idleMilliseconds: 4000,
	/** Subtracted from the target's `Keep-Alive` timeout, for differences of its clock and the transfer time of the request. */
	idleMarginMilliseconds: 1000,
	/** Maximum number of bytes received for one request, including heads, framing and skipped responses. */
	maximumResponseBytes: 32 * 1024 * 1024,
	/** Maximum number of bytes buffered for all requests together: a quarter of the memory of a small machine. */
	maximumBufferedBytes: 80 * 1024 * 1024,
	/** Counted in addition for each body chunk: reading endless tiny chunks up to the maximum number of bytes takes seconds. */
	chunkOverheadBytes: 128,
} as const;

/** @public */
export type TargetRequest = {
	method: string;
	path: string;
	headers: HeaderList;
	body: Buffer | undefined;
	/** Value that the response must echo. */
	attempt: string;
};

/** @public */
export type TargetResponse = {
	status: number;
	headers: HeaderList;
	body: Buffer;
};

/**
 * How a request ended at the target.
 *
 * - `answered`: a complete response to this request was received.
 * - `unsent`: nothing was written.
 * - `lost`: the request was written and no complete response was received.
 *
 * @public
 */
export type TargetOutcome
	= | {type: 'answered'; response: TargetResponse}
		| {type: 'unsent'; cause: string}
		| {type: 'lost'; cause: string};

/** Cancels a request by closing its connection. @public */
export type CancelRequest = () => void;

const {kOnHeadersComplete, kOnBody, kOnMessageComplete} = HTTPParser;

type Exchange = {request: TargetRequest; settle(outcome: TargetOutcome): void};

/** @public */
export type TargetConnectionsOptions = {address: Address; clock: Clock; attemptHeader: string};

/**
 * A pool of connections to one target.
 *
 * @public
 */
export class TargetConnections {
	private idle: TargetConnection[] = [];
	private readonly open = new Set<TargetConnection>();
	private buffered = 0;

	constructor(private readonly options: TargetConnectionsOptions) {}

	get openCount(): number {
		return this.open.size;
	}

	/** Bytes buffered for requests without a complete response. */
	get bufferedBytes(): number {
		return this.buffered;
	}

	/** Sends a request; calls `settle` once unless the request is cancelled. */
	send(request: TargetRequest, settle: (outcome: TargetOutcome) => void): CancelRequest {
		const connection = this.takeIdle() ?? this.connect();
		connection.send({request, settle});
		return () => {
			connection.cancel();
		};
	}

	/** Fails the requests of which nothing has been written. */
	failUnsent(cause: string): void {
		for (const connection of this.open) {
			connection.failUnsent(cause);
		}
	}

	/** Closes the idle connections. */
	close(): void {
		for (const connection of this.idle) {
			connection.destroy();
		}

		this.idle = [];
	}

	private takeIdle(): TargetConnection | undefined {
		for (let connection = this.idle.pop(); connection !== undefined; connection = this.idle.pop()) {
			if (connection.isReusable()) {
				return connection;
			}

			connection.destroy();
		}

		return undefined;
	}

	private connect(): TargetConnection {
		const connection: TargetConnection = new TargetConnection(this.options, {
			onIdle: () => {
				this.idle.push(connection);
			},
			onBufferedChange: bytes => {
				this.buffered += bytes;
				if (this.buffered > targetConnectionOptions.maximumBufferedBytes) {
					this.failLargest();
				}
			},
			onClosed: () => {
				this.open.delete(connection);
				const index = this.idle.indexOf(connection);
				if (index !== -1) {
					this.idle.splice(index, 1);
				}
			},
		});
		this.open.add(connection);
		return connection;
	}

	/** Fails the request whose response takes the most memory, so that the others can complete. */
	private failLargest(): void {
		let largest: TargetConnection | undefined;
		for (const connection of this.open) {
			if (connection.bufferedBytes > (largest?.bufferedBytes ?? 0)) {
				largest = connection;
			}
		}

		largest?.failTooLarge('answers too large together');
	}
}

type ConnectionEvents = {onIdle(): void; onClosed(): void; onBufferedChange(bytes: number): void};

class TargetConnection {
	private readonly socket: Socket;
	private readonly parser = new ResponseParser(HTTPParser.RESPONSE);
	private readonly attemptHeader: string;
	private exchange: Exchange | undefined;
	private connected = false;
	private closed = false;
	private written = false;
	/** True once the connection must not carry another request. */
	private mustClose = false;
	private info: ParsedResponse | undefined;
	private body = new BodyBuffer();
	/** Bytes received since the request was sent, and the overhead of body chunks. */
	private buffered = 0;
	private idleUntil = Number.POSITIVE_INFINITY;
	private readonly cancelConnectTimeout: () => void;

	constructor(private readonly options: TargetConnectionsOptions, private readonly events: ConnectionEvents) {
		this.attemptHeader = options.attemptHeader;
		const {host, port} = options.address;
		this.socket = connect({
			host, port, noDelay: true, allowHalfOpen: true,
		});
		this.cancelConnectTimeout = options.clock.after(targetConnectionOptions.connectTimeoutMilliseconds, () => {
			this.fail('connecting took too long');
		});
		this.socket.once('connect', () => {
			this.connected = true;
			this.cancelConnectTimeout();
			this.write();
		});
		this.socket.on('data', (bytes: Buffer) => {
			this.receive(bytes);
		});
		this.socket.on('end', () => {
			this.receiveEnd();
		});
		this.socket.on('error', (error: NodeJS.ErrnoException) => {
			this.fail(error.code ?? error.message);
		});
		this.socket.on('close', () => {
			this.fail('connection closed');
		});
		this.parser[kOnHeadersComplete] = info => {
			this.info = info;
			if (headerCount(info.headers, this.attemptHeader) > 1) {
				throw new Error('two answers in one head');
			}

			const length = headerValue(this.info.headers, 'content-length');
			if (length !== undefined && !contentLengthPattern.test(length)) {
				throw new Error('malformed content-length');
			}

			return this.exchange?.request.method === 'HEAD' ? 1 : 0;
		};

		this.parser[kOnBody] = (chunk: Buffer, offset: number, length: number) => {
			this.addBuffered(targetConnectionOptions.chunkOverheadBytes);
			this.body.append(chunk.subarray(offset, offset + length));
		};

		this.parser[kOnMessageComplete] = () => {
			this.completeMessage();
		};
	}

	get bufferedBytes(): number {
		return this.buffered;
	}

	isReusable(): boolean {
		return !this.closed && !this.mustClose && this.options.clock.now() < this.idleUntil;
	}

	send(exchange: Exchange): void {
		this.exchange = exchange;
		this.written = false;
		if (this.connected) {
			this.write();
		}
	}

	/** Cancels the request: closing the connection makes the target stop its work. */
	cancel(): void {
		if (this.exchange !== undefined) {
			this.exchange = undefined;
			this.destroy();
		}
	}

	failUnsent(cause: string): void {
		if (this.exchange !== undefined && !this.written) {
			this.fail(cause);
		}
	}

	failTooLarge(cause: string): void {
		if (this.exchange !== undefined) {
			this.fail(cause);
		}
	}

	destroy(): void {
		this.closed = true;
		this.dropBuffered();
		this.cancelConnectTimeout();
		this.socket.destroy();
	}

	private write(): void {
		if (this.exchange === undefined || this.written) {
			return;
		}

		this.written = true;
		const {method, path, headers, body} = this.exchange.request;
		const length = body === undefined ? '' : `Content-Length: ${body.length}\r\n`;
		writeMessage(this.socket, `${method} ${path} HTTP/1.1\r\n${fieldLines(headers)}${length}\r\n`, body);
	}

	private receive(bytes: Buffer): void {
		if (this.exchange === undefined) {
			// The bytes belong to no request.
			this.destroy();
			return;
		}

		this.addBuffered(bytes.length);
		if (this.closed) {
			return;
		}

		let result: number | Error;
		try {
			result = this.parser.execute(bytes);
		} catch (error) {
			result = error as Error;
		}

		if (result instanceof Error) {
			this.fail(`unreadable answer: ${result.message}`);
		} else if (this.buffered > targetConnectionOptions.maximumResponseBytes) {
			this.failTooLarge('answer too large');
		}
	}

	private addBuffered(bytes: number): void {
		this.buffered += bytes;
		this.events.onBufferedChange(bytes);
	}

	private dropBuffered(): void {
		const bytes = this.buffered;
		this.buffered = 0;
		this.body = new BodyBuffer();
		if (bytes > 0) {
			this.events.onBufferedChange(-bytes);
		}
	}

	private receiveEnd(): void {
		if (this.exchange === undefined || this.info === undefined) {
			this.fail('connection ended');
			return;
		}

		// A response without a length ends with its connection, if that was not reset.
		checkConnectionEnd(this.socket, error => {
			if (error === undefined && !this.closed) {
				this.mustClose = true;
				this.parser.finish();
			}

			this.fail(error === undefined ? 'connection ended' : 'connection reset');
		});
	}

	private completeMessage(): void {
		const info = this.info!;
		const {body} = this;
		this.info = undefined;
		this.body = new BodyBuffer();
		const {exchange} = this;
		if (hasUnreadBytes(this.parser) || !info.shouldKeepAlive) {
			this.mustClose = true;
		}

		if (exchange === undefined || info.statusCode < 200) {
			return;
		}

		if (headerValue(info.headers, this.attemptHeader) !== exchange.request.attempt) {
			// A duplicate or late response to an earlier request; the response to this request may still follow.
			this.mustClose = true;
			return;
		}

		this.exchange = undefined;
		this.dropBuffered();
		this.keepOrClose(info);
		exchange.settle({
			type: 'answered', response: {
				status: info.statusCode, headers: info.headers, body: body.toBuffer(),
			},
		});
	}

	/** Returns the connection to the pool or closes it. */
	private keepOrClose(info: ParsedResponse): void {
		if (this.mustClose || this.socket.writableLength > 0) {
			this.destroy();
			return;
		}

		this.idleUntil = this.options.clock.now() + idleMilliseconds(info.headers);
		this.events.onIdle();
	}

	private fail(cause: string): void {
		if (this.closed && this.exchange === undefined) {
			this.events.onClosed();
			return;
		}

		const {exchange} = this;
		this.exchange = undefined;
		this.destroy();
		this.events.onClosed();
		exchange?.settle({type: this.written ? 'lost' : 'unsent', cause});
	}
}

/** Returns the time for which an idle connection may be reused, from the `Keep-Alive` header if there is one. */
function idleMilliseconds(headers: HeaderList): number {
	const match = /timeout=(?<seconds>\d+)/iv.exec(headerValue(headers, 'keep-alive') ?? '');
	if (match === null) {
		return targetConnectionOptions.idleMilliseconds;
	}

	return (Number(match.groups!.seconds) * 1000) - targetConnectionOptions.idleMarginMilliseconds;
}
