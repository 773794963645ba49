/**
 * A caller of the system: sends operations, exchanges identities and retries according to the retry mode of its traffic.
 */
import {Agent, type IncomingMessage} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {refusalRules, type RefusalReasonName} from '@hemlockthread/verdict';
import wreck from '@hapi/wreck';
import type {Traffic} from './experiment-file.js';
import type {Outcome} from './recorder.js';

/** @public */
export type OperationResult = {outcome: Outcome; reason?: string};

type AttemptResult = {
	outcome: Outcome;
	reason?: string;
	/** Identity for the next request of the same operation. */
	identity?: string;
	retryAfterMilliseconds?: number;
	/** The node refused the connection, so another one can be tried immediately. */
	connectionRefused?: boolean;
};

/** @public */
export type CallerOptions = {
	/** Aborted at the end of the run. */
	signal: AbortSignal;
	/** Returns the base URL of a node's listener for callers. */
	chooseEntryUrl(): string;
	/** Returns a random number in [0, 1). */
	random(): number;
	/** Called before each request is sent. */
	onRequest?(kind: string): void;
};

/** Nodes tried per request when connections are refused, like a client with a list of addresses. */
const maximumEntryAttempts = 4;
const identityNeeded = 'identity-needed';

/** @public */
export class Caller {
	private readonly agent = new Agent({
		keepAlive: true, noDelay: true, maxSockets: Number.POSITIVE_INFINITY, maxFreeSockets: 1024,
	});

	private readonly client = wreck.defaults({agent: this.agent});

	constructor(private readonly options: CallerOptions) {}

	close(): void {
		this.agent.destroy();
	}

	/** Sends one operation until it has a complete response, its attempts are exhausted or a retry is not allowed. */
	async run(traffic: Traffic, root: string): Promise<OperationResult> {
		let identity: string | undefined;
		let mayHaveRun = false;
		for (let attempt = 1; ; attempt += 1) {
			const result = await this.runAttempt(traffic, root, identity);
			identity = result.identity ?? identity;
			// A request without an identity whose response was lost may have run, whatever the response to a later request says.
			mayHaveRun ||= identity === undefined && (result.outcome === 'unknown' || result.outcome === 'may-have-run');
			if (result.outcome === 'whole' || attempt >= traffic.retries.attempts || this.options.signal.aborted || !mayRetry(traffic, result)) {
				return {outcome: mayHaveRun && result.outcome === 'did-not-run' ? 'may-have-run' : result.outcome, reason: result.reason};
			}

			if (traffic.retries.mode === 'retry-after') {
				await this.waitBeforeRetry(result.retryAfterMilliseconds ?? 0);
			}
		}
	}

	private async runAttempt(traffic: Traffic, root: string, identity: string | undefined): Promise<AttemptResult> {
		const result = await this.send(traffic, root, identity);
		// The identity exchange belongs to the same attempt.
		if (result.reason !== identityNeeded || result.identity === undefined) {
			return result;
		}

		// The operation keeps its identity even if there is no response; with a new one it could run again.
		return {identity: result.identity, ...omitUndefinedIdentity(await this.send(traffic, root, result.identity))};
	}

	private async send(traffic: Traffic, root: string, identity: string | undefined): Promise<AttemptResult> {
		let result: AttemptResult = {outcome: 'unknown', reason: 'no-entry'};
		for (let entryAttempt = 0; entryAttempt < maximumEntryAttempts; entryAttempt += 1) {
			result = await this.sendTo(this.options.chooseEntryUrl(), traffic, root, identity);
			if (result.connectionRefused !== true) {
				break;
			}
		}

		return result;
	}

	private async sendTo(url: string, traffic: Traffic, root: string, identity: string | undefined): Promise<AttemptResult> {
		this.options.onRequest?.(traffic.kind);
		const startedAt = performance.now();
		const request = this.client.request('POST', `${url}/calls/${traffic.service}/${traffic.kind}`, {
			payload: root,
			headers: {
				'content-type': 'text/plain', 'hemlockthread-remaining-milliseconds': String(traffic.callerTimeoutMilliseconds),
				...(identity === undefined ? {} : {'idempotency-key': identity}),
			},
			timeout: traffic.callerTimeoutMilliseconds,
		});
		try {
			const response = await request;
			const body = await wreck.read(response, {timeout: Math.max(1, traffic.callerTimeoutMilliseconds - (performance.now() - startedAt))});
			return parseResponse(response, String(body), root);
		} catch (error) {
			const message = String((error as Error).message);
			return message.includes('ECONNREFUSED')
				? {outcome: 'did-not-run', reason: 'entry-refused', connectionRefused: true}
				: {outcome: 'unknown', reason: /timeout|timed out/iv.test(message) ? 'caller-timeout' : 'connection-lost'};
		}
	}

	private async waitBeforeRetry(milliseconds: number): Promise<void> {
		// Jitter, so that callers refused at the same time do not retry at the same time.
		await delay(milliseconds * (1 + (this.options.random() / 2)), undefined, {signal: this.options.signal}).catch(() => undefined);
	}
}

/** Removes an undefined identity, so that a spread does not overwrite the current one. */
function omitUndefinedIdentity({identity, ...result}: AttemptResult): AttemptResult {
	return identity === undefined ? result : {identity, ...result};
}

function parseResponse(response: IncomingMessage, body: string, root: string): AttemptResult {
	const verdict = response.headers['hemlockthread-verdict'] as string | undefined;
	const reason = response.headers['hemlockthread-reason'] as string | undefined;
	const retryAfter = Number(response.headers['retry-after']);
	const retryFields = {
		identity: response.headers['idempotency-key'] as string | undefined,
		retryAfterMilliseconds: Number.isNaN(retryAfter) ? undefined : retryAfter * 1000,
	};
	if (verdict === 'ran') {
		const whole = response.statusCode === 200 && body === root;
		return {outcome: whole ? 'whole' : 'failed', reason: whole ? undefined : `http-${response.statusCode ?? 0}`, ...retryFields};
	}

	if (verdict === 'did-not-run' || verdict === 'may-have-run') {
		return {outcome: verdict, reason: reason ?? 'none', ...retryFields};
	}

	return {outcome: 'unknown', reason: `http-${response.statusCode ?? 0}`, ...retryFields};
}

/** In mode `hard` every failure is retried, in `retry-after` only transient refusals with a Retry-After header. */
function mayRetry(traffic: Traffic, result: AttemptResult): boolean {
	if (traffic.retries.mode === 'retry-after') {
		return result.retryAfterMilliseconds !== undefined && refusalRules[result.reason as RefusalReasonName]?.transient;
	}

	return traffic.retries.mode === 'hard';
}
