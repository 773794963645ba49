/**
 * Forwards calls to a target instance of another service: choice, retries, re-routing and identities.
 */
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import type {IdentityAuthority, ProcessClock} from '@hemlockthread/identity';
import type {FleetInstance, FleetView} from '@hemlockthread/membership';
import type {Candidate, TargetSelector} from '@hemlockthread/routing';
import type {Metrics} from '@hemlockthread/telemetry';
import {
	CallError, RefusalReason, Verdict, refusalRules, type RefusalReasonName,
} from '@hemlockthread/verdict';
import type {AnswerFrame, PeerConnection} from '@hemlockthread/wire';
import type {CallExecutor} from './call-executor.js';
import {refusal, type Call, type CallResult} from './call.js';
import type {NodeIdentity} from './node-identity.js';
import type {PeerPool} from './peer-pool.js';
import type {PolicyInForce} from './policy-in-force.js';

/** @public */
export const forwarderOptions = {
	/** Instances tried after a refusal that came before any target was involved. */
	maximumReroutes: 3,
	/** Repeated questions to an executor whose connection broke; they can't cause another run. */
	maximumExecutorRepeats: 2,
	/** Backoff of the first retry; doubles with each, with full jitter. */
	backoffMilliseconds: 10,
	maximumBackoffMilliseconds: 250,
	/** Time past the deadline in which the peer's own truthful refusal may still arrive. */
	answerGraceMilliseconds: 25,
} as const;

/** @public */
export type MintResult = {token: string; identity: NonNullable<Call['identity']>} | {refused: RefusalReasonName};

/** @public */
export type MintPlan = {
	service: string;
	kind: string;
	rootKind: string;
	priority: number;
	operation?: string;
};

type Attempt = {candidate: Candidate; call: Call};

/** Failures after which another attempt of a reversible call is sensible. */
const retryableReasons = new Set<RefusalReasonName | undefined>([
	RefusalReason.connectionLost,
	RefusalReason.targetFailed,
	RefusalReason.leaving,
	RefusalReason.operationTableFull,
	RefusalReason.tooManyCalls,
	RefusalReason.notReady,
]);

/**
 * Forwards calls.
 *
 * @public
 */
export class CallForwarder {
	constructor(
		private readonly self: NodeIdentity,
		private readonly policy: PolicyInForce,
		private readonly fleet: FleetView,
		private readonly selector: TargetSelector,
		private readonly pool: PeerPool,
		private readonly executor: CallExecutor,
		private readonly authority: IdentityAuthority,
		private readonly clock: ProcessClock,
		private readonly metrics: Metrics,
	) {}

	/** Forwards a call that may run more than once, with retries out of the call's allowance. */
	async forward(call: Call): Promise<CallResult> {
		const tried = new Set<string>();
		let reroutes = 0;
		let mayHaveRun = false;
		let attempted = call;
		for (let retries = 0; ;) {
			const candidate = this.selector.choose({
				service: call.service, rootKind: call.rootKind, priority: call.priority, exclude: tried,
			});
			if (typeof candidate === 'string') {
				return this.unchosen(call.service, candidate, mayHaveRun);
			}

			const result = await this.attempt({candidate, call: attempted});
			mayHaveRun ||= result.verdict === Verdict.mayHaveRun;
			if (!isRetryable(result) || this.isOver(call)) {
				return mayHaveRun && result.verdict === Verdict.didNotRun ? {...result, verdict: Verdict.mayHaveRun} : result;
			}

			tried.add(candidate.instance.name);
			if (isReroutable(result) && reroutes < forwarderOptions.maximumReroutes) {
				reroutes += 1;
				this.metrics.count('call.rerouted');
				continue;
			}

			if (!call.allowance.take()) {
				this.metrics.count('call.retries-exhausted');
				return result;
			}

			retries += 1;
			attempted = {...call, repeated: true};
			this.metrics.count('call.retried');
			await backOff(retries, call);
		}
	}

	/** Forwards an irreversible call to the executor that its identity names, and to no other. */
	async forwardToExecutor(call: Call): Promise<CallResult> {
		const {claims} = call.identity!;
		const instance = this.fleet.instance(claims.executor) ?? executorOf(call);
		for (let repeats = 0; ; repeats += 1) {
			const result = await this.attempt({candidate: this.selector.begin(instance, call.rootKind), call});
			if (result.reason !== RefusalReason.connectionLost) {
				return result;
			}

			if (repeats >= forwarderOptions.maximumExecutorRepeats || this.isOver(call)) {
				// Earlier attempts through other nodes may have reached the executor.
				return {...result, verdict: Verdict.mayHaveRun, reason: RefusalReason.executorUnreachable};
			}

			await backOff(repeats + 1, call);
		}
	}

	/** Mints an identity that names a reachable executor. The priority of a root call follows from its operation id. */
	async mint({service, kind, rootKind, priority, operation}: MintPlan): Promise<MintResult> {
		const lifetimeMilliseconds = this.policy.current?.content.identityLifetimeMilliseconds;
		if (lifetimeMilliseconds === undefined) {
			return {refused: RefusalReason.notReady};
		}

		const tried = new Set<string>();
		for (;;) {
			const candidate = this.selector.choose({
				service, rootKind, priority, exclude: tried,
			});
			if (typeof candidate === 'string') {
				const result = this.unchosen(service, candidate, false);
				return {refused: result.reason ?? RefusalReason.noTarget};
			}

			candidate.finish('refused', 0);
			const {instance} = candidate;
			tried.add(instance.name);
			const incarnation = await this.incarnationOf(instance);
			if (incarnation === undefined) {
				continue;
			}

			const token = this.authority.mint({
				operation, service, kind, executor: instance.name, executorAddress: instance.peerAddress, incarnation,
				failureDomain: instance.failureDomain, lifetimeMilliseconds,
			}, this.clock.now());
			const check = this.authority.verify(token);
			if (check.valid) {
				return {token, identity: {token, claims: check.identity}};
			}
		}
	}

	private async incarnationOf(instance: FleetInstance): Promise<string | undefined> {
		if (instance.name === this.self.instance) {
			return this.self.leaving.aborted ? undefined : this.self.incarnation;
		}

		try {
			const peer = await this.pool.connect(instance.peerAddress);
			return peer.remoteLeaving ? undefined : peer.remote?.incarnation;
		} catch {
			return undefined;
		}
	}

	private async attempt({candidate, call}: Attempt): Promise<CallResult> {
		const startedAt = performance.now();
		const result = candidate.instance.name === this.self.instance
			? await this.executor.execute(call)
			: await this.sendToPeer(candidate.instance, call);
		const outcome = result.verdict === Verdict.ran ? 'answered' : (result.verdict === Verdict.didNotRun ? 'refused' : 'failed');
		candidate.finish(outcome, performance.now() - startedAt, result.level);
		return result;
	}

	private async sendToPeer(instance: FleetInstance, call: Call): Promise<CallResult> {
		let peer: PeerConnection;
		try {
			peer = await this.pool.connect(instance.peerAddress);
		} catch {
			return refusal(Verdict.didNotRun, RefusalReason.connectionLost);
		}

		const remainingMilliseconds = call.deadlineAt - performance.now();
		if (remainingMilliseconds <= 0) {
			return refusal(Verdict.didNotRun, RefusalReason.deadlineExceeded);
		}

		const share = call.allowance.split();
		const deadline = new AbortController();
		const timer = setTimeout(() => {
			deadline.abort();
		}, remainingMilliseconds + forwarderOptions.answerGraceMilliseconds);
		try {
			const answer = await peer.call({
				service: call.service, kind: call.kind, rootKind: call.rootKind, rootIdentifier: call.rootIdentifier,
				priority: call.priority, remainingMilliseconds, retryShare: share, repeated: call.repeated, depth: call.depth,
				identity: call.identity?.token, method: call.message.method, path: call.message.path,
				headers: call.message.headers, body: call.message.body,
			}, AbortSignal.any([call.signal, deadline.signal]));
			call.allowance.giveBack(share, answer.retriesReturned);
			return toResult(answer);
		} catch (error) {
			return toFailure(error, deadline.signal);
		} finally {
			clearTimeout(timer);
		}
	}

	private unchosen(service: string, why: 'overloaded' | 'no-target', mayHaveRun: boolean): CallResult {
		const reason = why === 'no-target' && !this.fleet.hasService(service) ? RefusalReason.unknownService : why;
		return refusal(mayHaveRun ? Verdict.mayHaveRun : Verdict.didNotRun, reason, {retryAfterMilliseconds: 1000});
	}

	private isOver(call: Call): boolean {
		return call.signal.aborted || performance.now() >= call.deadlineAt;
	}
}

function isRetryable(result: CallResult): boolean {
	return result.verdict !== Verdict.ran && retryableReasons.has(result.reason);
}

function isReroutable(result: CallResult): boolean {
	return result.verdict === Verdict.didNotRun && result.reason !== undefined && refusalRules[result.reason].reroutable;
}

async function backOff(retry: number, call: Call): Promise<void> {
	const ceiling = Math.min(forwarderOptions.maximumBackoffMilliseconds, forwarderOptions.backoffMilliseconds * (2 ** (retry - 1)));
	const wait = Math.min(Math.random() * ceiling, Math.max(0, call.deadlineAt - performance.now()));
	try {
		await delay(wait, undefined, {signal: call.signal});
	} catch {
		// Cancelled while waiting; the loop's own check ends the call.
	}
}

/** The executor as its identity describes it, for an instance that the fleet list does not show. */
function executorOf(call: Call): FleetInstance {
	const {claims} = call.identity!;
	return {
		name: claims.executor, service: claims.service, failureDomain: claims.failureDomain, region: '',
		peerAddress: claims.executorAddress, callerAddress: '', operatorAddress: '', slots: 1, state: 'live',
	};
}

function toResult(answer: AnswerFrame): CallResult {
	const {verdict, reason, status, headers, body, level, identity, retryAfterMilliseconds} = answer;
	return {
		verdict, reason, status, headers, body, level, nextIdentity: identity, retryAfterMilliseconds,
	};
}

function toFailure(error: unknown, deadline: AbortSignal): CallResult {
	if (!(error instanceof CallError)) {
		return refusal(Verdict.mayHaveRun, RefusalReason.connectionLost);
	}

	return refusal(error.verdict, deadline.aborted ? RefusalReason.deadlineExceeded : error.reason);
}
