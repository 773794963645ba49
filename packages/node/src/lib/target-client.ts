/**
 * HTTP client for the local target: sends calls and reads complete responses.
 */
import {Buffer} from 'node:buffer';
import {Agent, type ClientRequest, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {checkConnectionEnd, frameLimits, readResponse} from '@hemlockthread/wire';
import {
	RefusalReason, ResponseTooLargeError, Verdict, isVerdict, type VerdictName,
} from '@hemlockthread/verdict';
import wreck from '@hapi/wreck';
import {
	Header, refusal, type Call, type CallResult,
} from './call.js';
import type {CallInProgress} from './call-registry.js';

const forwardedResponseHeaders = ['content-type', 'content-encoding', 'etag', 'location', 'cache-control'] as const;

/** Lowest status with which a target can state that a call did not run. */
const firstRefusalStatus = 400;

/** @public */
export type TargetResponse = CallResult & {
	/** Verdict that the target declared in a response header. */
	declaredVerdict?: VerdictName;
	leaving: boolean;
};

/**
 * HTTP client for one target, with keep-alive connections.
 *
 * @public
 */
export class TargetClient {
	private readonly agent: Agent;
	private readonly client: typeof wreck;

	constructor(private readonly baseUrl: string, maximumSockets: number) {
		this.agent = new Agent({keepAlive: true, maxSockets: maximumSockets, noDelay: true});
		this.client = wreck.defaults({agent: this.agent});
	}

	/** Sends a call. A failure before the connection is established is `did-not-run`, a later one `may-have-run`. */
	async send(call: Call, inProgress: CallInProgress): Promise<TargetResponse> {
		const remaining = Math.max(1, Math.ceil(call.deadlineAt - performance.now()));
		const {message} = call;
		const request = this.client.request(message.method, `${this.baseUrl}/${call.kind}${message.path}`, {
			payload: message.body.byteLength === 0 ? undefined : Buffer.from(message.body.buffer, message.body.byteOffset, message.body.byteLength),
			headers: {
				...message.headers,
				[Header.context]: inProgress.reference,
				[Header.traceParent]: `00-${inProgress.reference}-${inProgress.reference.slice(0, 16)}-01`,
				[Header.remaining]: String(remaining),
				...(call.identity === undefined ? {} : {[Header.operation]: call.identity.claims.operation}),
			},
			timeout: remaining,
		});
		const abort = () => {
			request.req.destroy();
		};

		inProgress.signal.addEventListener('abort', abort, {once: true});
		const connection = new ObservedConnection(request.req);
		try {
			const response = await request;
			const body = await readResponse(response, {maximumBytes: frameLimits.maximumBodyBytes, timeoutMilliseconds: remaining});
			if (isCloseDelimited(response)) {
				await connection.check();
			}

			if (isOfAnotherCall(response, inProgress.reference)) {
				connection.destroy();
				return {...refusal(Verdict.mayHaveRun, RefusalReason.targetFailed), leaving: false};
			}

			return toResult(response, body);
		} catch (error) {
			return {...toFailure(error, call), leaving: false};
		} finally {
			connection.dispose();
			inProgress.signal.removeEventListener('abort', abort);
		}
	}

	close(): void {
		this.agent.destroy();
	}
}

/**
 * Observes the connection of a request and how it ends: a response without a length is complete only if its connection was not reset. Listens
 * before the HTTP client does, which closes its side on `end`.
 */
class ObservedConnection {
	private socket: Socket | undefined;
	private checked: Promise<void> | undefined;

	constructor(request: ClientRequest) {
		request.once('socket', socket => {
			this.socket = socket;
			socket.prependListener('end', this.receiveEnd);
		});
	}

	/** Rejects if the connection has ended with a reset. */
	async check(): Promise<void> {
		await this.checked;
	}

	/** Closes the connection, so that it carries no further call. */
	destroy(): void {
		this.socket?.destroy();
	}

	dispose(): void {
		this.socket?.off('end', this.receiveEnd);
	}

	private readonly receiveEnd = () => {
		const {socket} = this;
		if (socket === undefined) {
			return;
		}

		this.checked = new Promise((resolve, reject) => {
			checkConnectionEnd(socket, error => {
				if (error === undefined) {
					resolve();
				} else {
					reject(error);
				}
			});
		});
		// A response with a length is complete however its connection ends, so its result is not awaited.
		this.checked.catch(() => undefined);
	};
}

/**
 * Whether a faulty target wrote the answer of an earlier call, alone or into the head of this call's answer: the context is another one
 * or occurs twice, or a success states that the call did not run.
 */
function isOfAnotherCall({headers, statusCode}: IncomingMessage, reference: string): boolean {
	const context = headers[Header.context];
	const contradicts = headers[Header.verdict] === Verdict.didNotRun && (statusCode ?? 0) < firstRefusalStatus;
	return contradicts || (context !== undefined && context !== reference);
}

/** Whether only the end of the connection marks the end of the body (RFC 9112, section 6.3). */
function isCloseDelimited({headers}: IncomingMessage): boolean {
	return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

function toResult(response: IncomingMessage, body: Uint8Array): TargetResponse {
	const headers: Record<string, string> = {};
	for (const name of forwardedResponseHeaders) {
		const value = response.headers[name];
		if (typeof value === 'string') {
			headers[name] = value;
		}
	}

	const declaredVerdict = response.headers[Header.verdict];
	return {
		verdict: Verdict.ran,
		status: response.statusCode ?? 0,
		headers,
		body,
		level: 0,
		leaving: response.headers[Header.leaving] === 'true',
		...(isVerdict(declaredVerdict) ? {declaredVerdict} : {}),
	};
}

function toFailure(error: unknown, call: Call): CallResult {
	if (isConnectFailure(error)) {
		return refusal(Verdict.didNotRun, RefusalReason.targetFailed);
	}

	if (error instanceof ResponseTooLargeError) {
		return refusal(Verdict.mayHaveRun, RefusalReason.answerTooLarge);
	}

	if (performance.now() >= call.deadlineAt) {
		return refusal(Verdict.mayHaveRun, RefusalReason.deadlineExceeded);
	}

	return refusal(Verdict.mayHaveRun, call.signal.aborted ? RefusalReason.cancelled : RefusalReason.targetFailed);
}

/** Whether no connection was established, so that no byte of the request was sent. */
function isConnectFailure(error: unknown): boolean {
	const text = String((error as Error).message) + String((error as {code?: string}).code);
	return text.includes('ECONNREFUSED') || text.includes('EHOSTUNREACH') || text.includes('ENETUNREACH');
}
