/**
 * The rules for downstream calls of the own target: which call in progress they belong to, what a repeated leg is, and
 * what they may cost.
 */
import {createHash, randomUUID} from 'node:crypto';
import {RetryAllowance} from '@hemlockthread/identity';
import type {PolicyKind} from '@hemlockthread/policy';
import {RefusalReason, Verdict, type RefusalReasonName} from '@hemlockthread/verdict';
import type {CallForwarder} from './call-forwarder.js';
import {
	callRegistryOptions, type CallInProgress, type CallRegistry, type DownstreamCallState,
} from './call-registry.js';
import {
	refusal, type Call, type CallMessage, type CallResult,
} from './call.js';
import {
	processTiming, type Counter, type NodeTiming, type PolicySource,
} from './dependencies.js';

/** A downstream call as the target sent it. @public */
export type DownstreamCall = {
	service: string;
	kind: string;
	message: CallMessage;
	/** Reference to the call in progress, as the target copied it. */
	context: string | undefined;
	traceParent: string | undefined;
	/** Tells apart legs that are alike. */
	step: string | undefined;
	/** Aborted when the target closes its connection. */
	signal: AbortSignal;
};

const refusedNow = (reason: RefusalReasonName) => refusal(Verdict.didNotRun, reason);
const traceReference = /^[\da-f]{2}-(?<reference>[\da-f]{32})-/v;
const lowestPriority = 0;

/**
 * Runs the downstream calls of the own target.
 *
 * @public
 */
export class DownstreamCalls {
	constructor(
		private readonly policy: PolicySource,
		private readonly forwarder: Pick<CallForwarder, 'forward' | 'forwardToExecutor' | 'mint'>,
		private readonly registry: CallRegistry,
		private readonly metrics: Counter,
		private readonly timing: NodeTiming = processTiming,
	) {}

	async call(request: DownstreamCall): Promise<CallResult> {
		const {service, message} = request;
		const kind = this.policy.current?.kind(request.kind);
		if (kind === undefined) {
			// The kind may have left the policy after an earlier attempt of the leg.
			const verdict = request.context === undefined ? Verdict.didNotRun : Verdict.mayHaveRun;
			return refusal(verdict, this.policy.current === undefined ? RefusalReason.notReady : RefusalReason.unknownKind);
		}

		const parent = this.parentOf(request, kind);
		if (parent === undefined && request.context !== undefined) {
			// The call that the reference names has ended, so nobody waits for this leg and no account can pay for it. What its
			// earlier attempts did is forgotten.
			this.metrics.count('call.parent-ended');
			return refusal(Verdict.mayHaveRun, RefusalReason.contextMissing);
		}

		if (parent === undefined) {
			return this.callDetached(service, kind, message, request.signal);
		}

		if (parent.call.depth >= callRegistryOptions.maximumDepth) {
			return refusedNow(RefusalReason.tooDeep);
		}

		if (kind.irreversible && parent.call.identity === undefined) {
			// A parent that may run twice would run the leg twice, each time under an identity of its own.
			return refusedNow(RefusalReason.parentReversible);
		}

		const downstreamCall = parent.downstreamCall(downstreamCallKey(request), kind.irreversible);
		if (downstreamCall === undefined) {
			return refusedNow(RefusalReason.tooManyCalls);
		}

		const call: Call = {
			...parent.call, service, kind: kind.name, depth: parent.call.depth + 1, message, allowance: parent.allowance,
			identity: undefined, signal: AbortSignal.any([parent.signal, request.signal]),
		};
		const result = kind.irreversible ? await this.callIrreversible(downstreamCall, call) : await this.callReversible(downstreamCall, call);
		parent.subtreeLevel = Math.max(parent.subtreeLevel, result.level);
		return result;
	}

	/** Finds the call in progress that a downstream call belongs to. */
	private parentOf({context, traceParent}: DownstreamCall, kind: PolicyKind): CallInProgress | undefined {
		const traced = traceReference.exec(traceParent ?? '')?.groups?.reference;
		const parent = this.registry.lookUp(context) ?? this.registry.lookUp(traced);
		if (parent !== undefined) {
			return parent;
		}

		if (context !== undefined) {
			return undefined;
		}

		// An irreversible leg is never attached on a guess: the target may still work on a call that it was given earlier.
		const onlyCall = kind.irreversible ? undefined : this.registry.onlyCall();
		this.metrics.count(onlyCall === undefined ? 'call.detached' : 'call.attached');
		return onlyCall;
	}

	/** A call without a known parent gets no retries, the lowest priority and the shortest lifetime. */
	private async callDetached(service: string, kind: PolicyKind, message: CallMessage, signal: AbortSignal): Promise<CallResult> {
		if (kind.irreversible) {
			return refusedNow(RefusalReason.contextMissing);
		}

		return this.forwarder.forward({
			service, kind: kind.name, rootKind: kind.name, rootIdentifier: randomUUID(), priority: lowestPriority,
			deadlineAt: this.timing.now() + this.policy.current!.shortestLifetimeMilliseconds,
			depth: callRegistryOptions.maximumDepth, message, allowance: new RetryAllowance(0), isRetry: false, signal,
		});
	}

	private async callReversible(downstreamCall: DownstreamCallState, call: Call): Promise<CallResult> {
		const isRetry = consumesRetry(downstreamCall, call);
		if (isRetry && !call.allowance.take()) {
			this.metrics.count('call.retries-exhausted');
			return refusal(downstreamCall.verdict, RefusalReason.retriesExhausted);
		}

		downstreamCall.attempts += 1;
		downstreamCall.activeAttempts += 1;
		downstreamCall.verdict = Verdict.mayHaveRun;
		const result = await this.forwarder.forward({...call, isRetry});
		downstreamCall.activeAttempts -= 1;
		downstreamCall.mayHaveRun ||= result.verdict !== Verdict.didNotRun;
		downstreamCall.verdict = downstreamCall.mayHaveRun || downstreamCall.activeAttempts > 0 ? Verdict.mayHaveRun : Verdict.didNotRun;
		return result.verdict === Verdict.didNotRun ? {...result, verdict: downstreamCall.verdict} : result;
	}

	/** The same leg of the same parent is the same operation: it joins, replays or repeats under one identity. */
	private async callIrreversible(downstreamCall: DownstreamCallState, call: Call): Promise<CallResult> {
		if (downstreamCall.activeRun !== undefined) {
			return downstreamCall.activeRun;
		}

		if (downstreamCall.result?.verdict === Verdict.ran) {
			return downstreamCall.result;
		}

		const isRetry = consumesRetry(downstreamCall, call);
		if (isRetry && !call.allowance.take()) {
			this.metrics.count('call.retries-exhausted');
			return refusal(downstreamCall.verdict, RefusalReason.retriesExhausted);
		}

		downstreamCall.attempts += 1;
		downstreamCall.activeRun = this.runIrreversible(downstreamCall, {...call, isRetry});
		try {
			downstreamCall.result = await downstreamCall.activeRun;
			return downstreamCall.result;
		} finally {
			downstreamCall.activeRun = undefined;
		}
	}

	private async runIrreversible(downstreamCall: DownstreamCallState, call: Call): Promise<CallResult> {
		const freshIdentity = downstreamCall.verdict === Verdict.didNotRun || downstreamCall.identity === undefined;
		// From here on the parent can't be declared as not run until the outcome is known.
		downstreamCall.verdict = Verdict.mayHaveRun;
		if (freshIdentity) {
			// Nothing ran and the old generation is closed, so any executor may be named.
			const minted = await this.forwarder.mint(call);
			if ('refused' in minted) {
				downstreamCall.verdict = Verdict.didNotRun;
				return refusedNow(minted.refused);
			}

			downstreamCall.identity = minted.identity;
		}

		const result = await this.forwarder.forwardToExecutor({...call, identity: downstreamCall.identity}, freshIdentity);
		downstreamCall.verdict = result.verdict;
		return result;
	}
}

/** A leg takes a retry when it was attempted before, under this attempt of its parent or under an earlier one. */
function consumesRetry(downstreamCall: DownstreamCallState, call: Call): boolean {
	return downstreamCall.attempts > 0 || call.isRetry;
}

function downstreamCallKey({service, kind, message, step}: DownstreamCall): string {
	const last = step === undefined ? createHash('sha256').update(message.body).digest('base64url') : `step ${step}`;
	return [service, kind, message.method, message.path, last].join('\n');
}
