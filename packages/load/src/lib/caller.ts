/**
 * A caller of the system: sends one operation, exchanges identities and repeats as its retry habit says.
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

type Answer = {
	outcome: Outcome;
	reason?: string;
	/** Identity for the next request of the same operation. */
	identity?: string;
	retryAfterMilliseconds?: number;
	/** The node could not be connected to, so another may be tried at once. */
	unconnected?: boolean;
};

/** What callers need from the run. @public */
export type CallerSurroundings = {
	/** Aborted at the end of the run. */
	signal: AbortSignal;
	/** Base URL of a node for callers. */
	chooseEntry(): string;
	/** Random number in [0, 1). */
	random(): number;
	/** Called for each request sent. */
	onRequest?(kind: string): void;
};

/** Nodes tried when the connection is refused, as any client with a list of addresses does. */
const maximumEntries = 4;
const identityNeeded = 'identity-needed';

/**
 * Sends operations.
 *
 * @public
 */
export class Caller {
	private readonly agent = new Agent({
		keepAlive: true, noDelay: true, maxSockets: Number.POSITIVE_INFINITY, maxFreeSockets: 1024,
	});

	private readonly client = wreck.defaults({agent: this.agent});

	constructor(private readonly surroundings: CallerSurroundings) {}

	close(): void {
		this.agent.destroy();
	}

	/** Sends one operation until it has a whole answer, its attempts are used up, or repeating it makes no sense. */
	async run(traffic: Traffic, root: string): Promise<OperationResult> {
		let identity: string | undefined;
		let uncertain = false;
		for (let attempt = 1; ; attempt += 1) {
			const answer = await this.attempt(traffic, root, identity);
			identity = answer.identity ?? identity;
			// A request whose answer got lost may have run, whatever a later answer to another request says.
			uncertain ||= identity === undefined && (answer.outcome === 'unknown' || answer.outcome === 'may-have-run');
			if (answer.outcome === 'whole' || attempt >= traffic.retries.attempts || this.surroundings.signal.aborted || !mayRepeat(traffic, answer)) {
				return {outcome: uncertain && answer.outcome === 'did-not-run' ? 'may-have-run' : answer.outcome, reason: answer.reason};
			}

			if (traffic.retries.mode === 'retry-after') {
				await this.wait(answer.retryAfterMilliseconds ?? 0);
			}
		}
	}

	private async attempt(traffic: Traffic, root: string, identity: string | undefined): Promise<Answer> {
		const answer = await this.send(traffic, root, identity);
		// The identity exchange is part of one attempt.
		if (answer.reason !== identityNeeded || answer.identity === undefined) {
			return answer;
		}

		// Also without an answer the operation keeps its identity; a new one would let it run again.
		return {identity: answer.identity, ...definedOnly(await this.send(traffic, root, answer.identity))};
	}

	private async send(traffic: Traffic, root: string, identity: string | undefined): Promise<Answer> {
		let answer: Answer = {outcome: 'unknown', reason: 'no-entry'};
		for (let entry = 0; entry < maximumEntries; entry += 1) {
			answer = await this.sendTo(this.surroundings.chooseEntry(), traffic, root, identity);
			if (answer.unconnected !== true) {
				break;
			}
		}

		return answer;
	}

	private async sendTo(url: string, traffic: Traffic, root: string, identity: string | undefined): Promise<Answer> {
		this.surroundings.onRequest?.(traffic.kind);
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
			return readAnswer(response, String(body), root);
		} catch (error) {
			const text = String((error as Error).message);
			return text.includes('ECONNREFUSED')
				? {outcome: 'did-not-run', reason: 'entry-refused', unconnected: true}
				: {outcome: 'unknown', reason: /timeout|timed out/iv.test(text) ? 'caller-timeout' : 'connection-lost'};
		}
	}

	private async wait(milliseconds: number): Promise<void> {
		// Callers that were refused together do not come back together.
		await delay(milliseconds * (1 + (this.surroundings.random() / 2)), undefined, {signal: this.surroundings.signal}).catch(() => undefined);
	}
}

/** Leaves out an identity that is not there, so that it does not replace the one held. */
function definedOnly({identity, ...answer}: Answer): Answer {
	return identity === undefined ? answer : {identity, ...answer};
}

function readAnswer(response: IncomingMessage, body: string, root: string): Answer {
	const verdict = response.headers['hemlockthread-verdict'] as string | undefined;
	const reason = response.headers['hemlockthread-reason'] as string | undefined;
	const retryAfter = Number(response.headers['retry-after']);
	const rest = {
		identity: response.headers['idempotency-key'] as string | undefined,
		retryAfterMilliseconds: Number.isNaN(retryAfter) ? undefined : retryAfter * 1000,
	};
	if (verdict === 'ran') {
		const whole = response.statusCode === 200 && body === root;
		return {outcome: whole ? 'whole' : 'failed', reason: whole ? undefined : `http-${response.statusCode ?? 0}`, ...rest};
	}

	if (verdict === 'did-not-run' || verdict === 'may-have-run') {
		return {outcome: verdict, reason: reason ?? 'none', ...rest};
	}

	return {outcome: 'unknown', reason: `http-${response.statusCode ?? 0}`, ...rest};
}

/** Callers that retry hard repeat after everything; the others only after refusals that say when to come back. */
function mayRepeat(traffic: Traffic, answer: Answer): boolean {
	if (traffic.retries.mode === 'retry-after') {
		return answer.retryAfterMilliseconds !== undefined && refusalRules[answer.reason as RefusalReasonName]?.transient;
	}

	return traffic.retries.mode === 'hard';
}
