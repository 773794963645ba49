/**
 * The HTTP listener for callers on this machine and for the target's own calls. `node:http` carries it: hapi adds about a
 * third more processor time for each request, which the heaviest load leaves no room for; see docs/platform.md.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Clock} from './clock.js';
import type {Address, CallerLimits} from './fleet-model.js';
import {headerValue, passedHeaders} from './message-headers.js';
import type {EntryAnswer, EntryRequest} from './request-flow.js';

/** @public */
export type EntryListenerOptions = {
	address: Address;
	headers: {attempt: string; remainingTime: string};
	clock: Clock;
	limits(): CallerLimits | undefined;
	handle(request: EntryRequest, respond: (answer: EntryAnswer) => void): () => void;
};

/** @public */
export const entryListenerOptions = {
	/** Margin by which idle connections are kept longer than callers reuse them. */
	idleMarginMilliseconds: 5000,
	/** Idle time before a policy states one. */
	firstIdleMilliseconds: 60_000,
	/** Connections waiting to be accepted. */
	backlog: 1024,
	/** Largest request head; policies state at most this. */
	maximumHeaderBytes: 64 * 1024,
	/** Largest body before a policy states a limit. */
	firstMaximumBodyBytes: 1024 * 1024,
} as const;

const noneReplaced: ReadonlySet<string> = new Set(['content-length']);

/**
 * Accepts requests and answers each one once.
 *
 * @public
 */
export class EntryListener {
	private readonly server: Server;
	private leaving = false;

	constructor(private readonly options: EntryListenerOptions) {
		this.server = createServer({
			noDelay: true, maxHeaderSize: entryListenerOptions.maximumHeaderBytes, requestTimeout: 0,
			keepAliveTimeout: entryListenerOptions.firstIdleMilliseconds,
		}, (request, response) => {
			this.receive(request, response);
		});
	}

	async listen(): Promise<void> {
		const {host, port} = this.options.address;
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen({host, port, backlog: entryListenerOptions.backlog}, resolve);
		});
	}

	/** Applies the limits of a new policy. */
	applyLimits(limits: CallerLimits): void {
		this.server.keepAliveTimeout = limits.idleTimeoutMilliseconds + entryListenerOptions.idleMarginMilliseconds;
		this.server.headersTimeout = limits.headerTimeoutMilliseconds;
	}

	/** Asks callers to use another connection next; requests are still answered. */
	leave(): void {
		this.leaving = true;
	}

	closeIdle(): void {
		this.server.closeIdleConnections();
	}

	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private receive(request: IncomingMessage, response: ServerResponse): void {
		const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined;
		if (!hasBody) {
			this.pass(request, response, undefined);
			return;
		}

		const maximum = this.options.limits()?.maximumBodyBytes ?? entryListenerOptions.firstMaximumBodyBytes;
		const chunks: Buffer[] = [];
		let size = 0;
		request.on('data', (chunk: Buffer) => {
			size += chunk.length;
			if (size <= maximum) {
				chunks.push(chunk);
			}
		});
		request.on('end', () => {
			if (size > maximum) {
				this.respond(response, {status: 413, headers: [], body: undefined});
				return;
			}

			this.pass(request, response, chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
		});
		request.on('error', () => {
			// The caller left before it had sent the whole request: nothing was passed on and nobody waits for an answer.
			response.destroy();
		});
	}

	private pass(request: IncomingMessage, response: ServerResponse, body: Buffer | undefined): void {
		const {rawHeaders} = request;
		const stated = Number(headerValue(rawHeaders, this.options.headers.remainingTime));
		let answered = false;
		const leave = this.options.handle({
			method: request.method ?? 'GET',
			host: request.headers.host ?? '',
			path: request.url ?? '/',
			headers: rawHeaders,
			body,
			attempt: headerValue(rawHeaders, this.options.headers.attempt) ?? '',
			limitMilliseconds: Number.isFinite(stated) && stated > 0 ? stated : undefined,
			receivedAt: this.options.clock.now(),
		}, answer => {
			answered = true;
			this.respond(response, answer);
		});
		if (!answered) {
			response.on('close', () => {
				if (!answered) {
					leave();
				}
			});
		}
	}

	private respond(response: ServerResponse, answer: EntryAnswer): void {
		const headers = passedHeaders(answer.headers, noneReplaced);
		const isUnframed = answer.unframed === true;
		if (this.leaving || isUnframed) {
			headers.push('Connection', 'close');
		}

		const length = answer.body?.length ?? 0;
		if (isUnframed) {
			response.useChunkedEncodingByDefault = false;
		} else if (answer.status !== 204 && answer.status !== 304) {
			headers.push('Content-Length', response.req.method === 'HEAD' ? headerValue(answer.headers, 'content-length') ?? '0' : String(length));
		}

		response.sendDate = false;
		response.writeHead(answer.status, headers);
		response.end(length === 0 ? undefined : answer.body);
	}
}
