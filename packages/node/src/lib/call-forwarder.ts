/**
 * Forwards calls to an instance of the called service: target selection, retries, reroutes, and identities that bind an
 * irreversible call to one executor.
 */
import type {IdentityAuthority, ProcessClock} from '@hemlockthread/identity';
import type {FleetInstance} from '@hemlockthread/membership';
import type {CallOutcome, Selection} from '@hemlockthread/routing';
import {
	CallError, RefusalReason, Verdict, refusalRules, type RefusalReasonName,
} from '@hemlockthread/verdict';
import {fullJitter, type ResponseFrame} from '@hemlockthread/wire';
import type {CallExecutor} from './call-executor.js';
import {refusal, type Call, type CallResult} from './call.js';
import {
	processTiming, type MetricsApi, type FleetLookup, type NodeTiming, type PeerPoolApi, type PeerConnectionApi, type PolicySource, type LocalNode,
	type TargetSelectorApi,
} from './dependencies.js';

/** @public */
export const forwarderOptions = {
	/** Maximum number of other instances to try after refusals that were made before a target was involved. */
	maximumReroutes: 3,
	/** Maximum number of retries to the same executor after a lost connection; its operation table prevents a second run. */
	maximumExecutorRetries: 2,
	/** Backoff of the first retry; doubles with each further retry, with full jitter. */
	backoffMilliseconds: 10,
	maximumBackoffMilliseconds: 250,
	/** Time after the deadline to wait for the refusal of the peer, whose verdict is more exact than that of a timeout. */
	responseGraceMilliseconds: 25,
	/** Maximum number of attempts per hop while the controls are off, regardless of the retry allowance. */
	maximumAttemptsWithoutControls: 3,
	/** Mean `retry-after` of a refusal by this node, with a jitter of half of it in both directions. */
	retryAfterMilliseconds: 1000,
} as const;

/** @public */
export type MintResult = {token: string; identity: NonNullable<Call['identity']>} | {refused: RefusalReasonName};

/** @public */
export type IdentityRequest = {
	service: string;
	kind: string;
	rootKind: string;
	priority: number;
	operation?: string;
};

/** Shared abort reasons, because the default reason of `abort()` is a new error with a stack trace for each call. */
const callCompleted = new Error('call completed');
const callCancelled = new Error('call cancelled');
const callExpired = new Error('deadline of the call has passed');

type Attempt = {selection: Selection; call: Call};

/** Reasons after which another attempt of a reversible call may succeed. */
const retryableReasons = new Set<RefusalReasonName | undefined>([
	RefusalReason.connectionLost,
	RefusalReason.targetFailed,
	RefusalReason.leaving,
	RefusalReason.operationTableFull,
	RefusalReason.tooManyCalls,
	RefusalReason.notReady,
]);

/**
 * Forwards calls to target instances.
 *
 * @public
 */
export class CallForwarder {
	constructor(
		private readonly self: LocalNode,
		private readonly policy: PolicySource,
		private readonly fleet: FleetLookup,
		private readonly selector: TargetSelectorApi,
		private readonly pool: PeerPoolApi,
		private readonly executor: Pick<CallExecutor, 'execute'>,
		private readonly authority: IdentityAuthority,
		private readonly clock: ProcessClock,
		private readonly metrics: MetricsApi,
		private readonly timing: NodeTiming = processTiming,
		private readonly controls: 'on' | 'off' = 'on',
	) {}

	/** Forwards a call that may run more than once. Retries are taken from the retry allowance of the call. */
	async forward(call: Call): Promise<CallResult> {
		const tried = new Set<string>();
		let reroutes = 0;
		let mayHaveRun = false;
		let callToAttempt = call;
		for (let retries = 0; ;) {
			const selection = this.selector.choose({
				service: call.service, rootKind: call.rootKind, priority: call.priority, exclude: tried,
			});
			if (typeof selection === 'string') {
				return this.refusalWithoutCandidate(call, selection, mayHaveRun);
			}

			const result = await this.attempt({selection, call: callToAttempt});
			mayHaveRun ||= result.verdict === Verdict.mayHaveRun;
			if (!this.isRetryable(result) || this.hasEnded(call)) {
				return withEarlierAttempts(mayHaveRun, result);
			}

			if (this.controls === 'on') {
				tried.add(selection.instance.name);
				if (isReroutable(result) && reroutes < forwarderOptions.maximumReroutes) {
					reroutes += 1;
					this.metrics.count('call.rerouted');
					continue;
				}
			}

			if (!this.mayRetry(retries, call)) {
				this.metrics.count('call.retries-exhausted');
				return withEarlierAttempts(mayHaveRun, result);
			}

			retries += 1;
			callToAttempt = {...call, isRetry: true};
			this.metrics.count('call.retried');
			await this.backOff(retries, call);
		}
	}

	/**
	 * Forwards an irreversible call to the executor that its identity names. Only the executor knows the outcome of earlier
	 * attempts, so a failure to reach it is `may-have-run`, unless the identity is fresh and nothing was sent with it.
	 */
	async forwardToExecutor(call: Call, freshIdentity = false): Promise<CallResult> {
		const {claims} = call.identity!;
		const instance = this.fleet.instance(claims.executor) ?? executorInstance(call);
		let sent = !freshIdentity;
		for (let retries = 0; ; retries += 1) {
			const result = await this.attempt({selection: this.selector.begin(instance, call.rootKind), call});
			if (result.unsent !== true) {
				sent = true;
			}

			if (result.reason !== RefusalReason.connectionLost) {
				return sent && result.unsent === true ? {...result, verdict: Verdict.mayHaveRun} : result;
			}

			if (retries >= forwarderOptions.maximumExecutorRetries || this.hasEnded(call)) {
				return {...result, verdict: sent ? Verdict.mayHaveRun : Verdict.didNotRun, reason: RefusalReason.executorUnreachable};
			}

			await this.backOff(retries + 1, call);
		}
	}

	/** Mints an identity that names a reachable executor. The priority of a root call is derived from its operation. */
	async mint({service, kind, rootKind, priority, operation}: IdentityRequest): Promise<MintResult> {
		const lifetimeMilliseconds = this.policy.current?.content.identityLifetimeMilliseconds;
		if (lifetimeMilliseconds === undefined) {
			return {refused: RefusalReason.notReady};
		}

		const tried = new Set<string>();
		for (;;) {
			const selection = this.selector.choose({
				service, rootKind, priority, exclude: tried, allowTrial: false,
			});
			if (typeof selection === 'string') {
				const result = this.refusalWithoutCandidate({service, rootKind}, selection, false);
				return {refused: result.reason ?? RefusalReason.noTarget};
			}

			const {instance} = selection;
			tried.add(instance.name);
			const incarnation = await this.reachableIncarnation(instance);
			selection.finish(incarnation === undefined ? 'connection-lost' : 'abandoned', 0);
			if (incarnation === undefined) {
				continue;
			}

			const token = this.authority.mint({
				operation, service, kind, executor: instance.name, executorAddress: instance.peerAddress, incarnation,
				failureDomain: instance.failureDomain, lifetimeMilliseconds,
			}, this.clock.now());
			// Reads the claims of the token, some of which `mint` sets: the times, the generation and, if not given, the operation.
			const check = this.authority.verify(token);
			if (check.valid) {
				return {token, identity: {token, claims: check.identity}};
			}
		}
	}

	private async reachableIncarnation(instance: FleetInstance): Promise<string | undefined> {
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

	private async attempt({selection, call}: Attempt): Promise<CallResult> {
		const startedAt = this.timing.now();
		const result = selection.instance.name === this.self.instance
			? await this.executor.execute(call)
			: await this.sendToPeer(selection.instance, call);
		selection.finish(outcomeOf(result, call), this.timing.now() - startedAt, result.level);
		return result;
	}

	private async sendToPeer(instance: FleetInstance, call: Call): Promise<CallResult> {
		let peer: PeerConnectionApi;
		try {
			peer = await this.pool.connect(instance.peerAddress);
		} catch {
			return unsentResult(RefusalReason.connectionLost);
		}

		const remainingMilliseconds = call.deadlineAt - this.timing.now();
		if (remainingMilliseconds <= 0) {
			return unsentResult(RefusalReason.deadlineExceeded);
		}

		if (call.signal.aborted) {
			return unsentResult(RefusalReason.cancelled);
		}

		const share = call.allowance.split();
		const peerCallController = new AbortController();
		const completed = new AbortController();
		const cancel = () => {
			peerCallController.abort(callCancelled);
		};

		// Plain listeners, because AbortSignal.any costs about as much as the rest of this function.
		call.signal.addEventListener('abort', cancel, {once: true});
		void this.abortAfter(remainingMilliseconds + forwarderOptions.responseGraceMilliseconds, peerCallController, completed.signal);
		try {
			const response = await peer.call({
				service: call.service, kind: call.kind, rootKind: call.rootKind, rootIdentifier: call.rootIdentifier,
				priority: call.priority, remainingMilliseconds, retryShare: share, repeated: call.isRetry, depth: call.depth,
				identity: call.identity?.token, method: call.message.method, path: call.message.path,
				headers: call.message.headers, body: call.message.body,
			}, peerCallController.signal);
			call.allowance.returnUnused(share, response.retriesReturned);
			return toResult(response);
		} catch (error) {
			const failure = toFailure(error, peerCallController.signal.reason === callExpired);
			if (failure.unsent === true) {
				call.allowance.returnUnused(share, share);
			}

			return failure;
		} finally {
			call.signal.removeEventListener('abort', cancel);
			completed.abort(callCompleted);
		}
	}

	private async abortAfter(milliseconds: number, controller: AbortController, completed: AbortSignal): Promise<void> {
		await this.timing.wait(milliseconds, completed);
		if (!completed.aborted) {
			controller.abort(callExpired);
		}
	}

	private async backOff(retry: number, call: Call): Promise<void> {
		const backoff = fullJitter(retry - 1, {
			firstMilliseconds: forwarderOptions.backoffMilliseconds, maximumMilliseconds: forwarderOptions.maximumBackoffMilliseconds,
		}, () => this.timing.random());
		const wait = Math.min(backoff, Math.max(0, call.deadlineAt - this.timing.now()));
		await this.timing.wait(wait, call.signal);
	}

	private refusalWithoutCandidate({service, rootKind}: Pick<Call, 'service' | 'rootKind'>, choice: 'overloaded' | 'no-target', mayHaveRun: boolean): CallResult {
		const reason = choice === 'no-target' && !this.fleet.hasService(service) ? RefusalReason.unknownService : choice;
		return refusal(mayHaveRun ? Verdict.mayHaveRun : Verdict.didNotRun, reason, {
			level: this.selector.levelOf?.(service, rootKind) ?? 0,
			retryAfterMilliseconds: Math.round(forwarderOptions.retryAfterMilliseconds * (0.5 + this.timing.random())),
		});
	}

	private isRetryable(result: CallResult): boolean {
		return result.verdict !== Verdict.ran && (this.controls === 'off' || retryableReasons.has(result.reason));
	}

	private mayRetry(retries: number, call: Call): boolean {
		return this.controls === 'off' ? retries + 1 < forwarderOptions.maximumAttemptsWithoutControls : call.allowance.tryConsume();
	}

	private hasEnded(call: Call): boolean {
		return call.signal.aborted || this.timing.now() >= call.deadlineAt;
	}
}

/** Maps the result of an attempt to the outcome that counts for the health of its instance. */
function outcomeOf(result: CallResult, call: Call): CallOutcome {
	if (result.verdict === Verdict.ran) {
		return 'answered';
	}

	if (call.signal.aborted) {
		return 'abandoned';
	}

	if (result.reason === RefusalReason.connectionLost) {
		return 'connection-lost';
	}

	if (result.verdict === Verdict.didNotRun) {
		// An unsent call expired or was cancelled at this node and never reached the instance.
		return result.unsent === true ? 'abandoned' : 'refused';
	}

	return result.reason === RefusalReason.deadlineExceeded ? 'timed-out' : 'failed';
}

function isReroutable(result: CallResult): boolean {
	return result.verdict === Verdict.didNotRun && result.reason !== undefined && refusalRules[result.reason].reroutable;
}

/** Combines a result with the earlier attempts: the call is `did-not-run` only if no earlier attempt may have run. */
function withEarlierAttempts(mayHaveRun: boolean, result: CallResult): CallResult {
	return mayHaveRun && result.verdict === Verdict.didNotRun ? {...result, verdict: Verdict.mayHaveRun} : result;
}

/** Result of a failure at this node before anything was sent to the peer. */
function unsentResult(reason: RefusalReasonName): CallResult {
	return {...refusal(Verdict.didNotRun, reason), unsent: true};
}

/** Builds the executor from the claims of the identity, for an instance that is not in the fleet list. */
function executorInstance(call: Call): FleetInstance {
	const {claims} = call.identity!;
	return {
		name: claims.executor, service: claims.service, failureDomain: claims.failureDomain, region: '',
		peerAddress: claims.executorAddress, callerAddress: '', operatorAddress: '', slots: 1, state: 'live',
	};
}

function toResult(frame: ResponseFrame): CallResult {
	const {verdict, reason, status, headers, body, level, identity, retryAfterMilliseconds} = frame;
	return {
		verdict, reason, status, headers, body, level, nextIdentity: identity, retryAfterMilliseconds,
	};
}

function toFailure(error: unknown, expired: boolean): CallResult {
	if (!(error instanceof CallError)) {
		return refusal(Verdict.mayHaveRun, RefusalReason.connectionLost);
	}

	const reason = expired ? RefusalReason.deadlineExceeded : error.reason;
	return error.verdict === Verdict.didNotRun ? unsentResult(reason) : refusal(error.verdict, reason);
}
