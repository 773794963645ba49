/**
 * Downstream calls of the local target. Each is assigned to the call in progress that it belongs to, recognised as a retry
 * if the target made it before, and paid for from the retry allowance of that call.
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
	processTiming, type MetricsApi, type NodeTiming, type PolicySource,
} from './dependencies.js';

/** A downstream call as the target sent it. @public */
export type DownstreamCall = {
	service: string;
	kind: string;
	message: CallMessage;
	/** Reference to the call in progress, copied by the target from its request. */
	context: string | undefined;
	traceParent: string | undefined;
	/** Distinguishes downstream calls with the same service, kind, method and path; without it, their bodies do. */
	step: string | undefined;
	/** Aborted when the target closes its connection. */
	signal: AbortSignal;
};

const refusedBeforeRunning = (reason: RefusalReasonName) => refusal(Verdict.didNotRun, reason);
const traceReference = /^[\da-f]{2}-(?<reference>[\da-f]{32})-/v;
const lowestPriority = 0;

/**
 * Handles the downstream calls of the local target.
 *
 * @public
 */
export class DownstreamCalls {
	constructor(
		private readonly policy: PolicySource,
		private readonly forwarder: Pick<CallForwarder, 'forward' | 'forwardToExecutor' | 'mint'>,
		private readonly registry: CallRegistry,
		private readonly metrics: MetricsApi,
		private readonly timing: NodeTiming = processTiming,
	) {}

	async call(request: DownstreamCall): Promise<CallResult> {
		const {service, message} = request;
		const kind = this.policy.current?.kind(request.kind);
		if (kind === undefined) {
			// The kind may have been removed from the policy after an earlier attempt of this downstream call.
			const verdict = request.context === undefined ? Verdict.didNotRun : Verdict.mayHaveRun;
			return refusal(verdict, this.policy.current === undefined ? RefusalReason.notReady : RefusalReason.unknownKind);
		}

		const parent = this.parentOf(request, kind);
		if (parent === undefined && request.context !== undefined) {
			// The referenced call has ended, so no caller waits for this downstream call and no retry allowance can pay for it.
			// The outcome of its earlier attempts is no longer known.
			this.metrics.count('call.parent-ended');
			return refusal(Verdict.mayHaveRun, RefusalReason.contextMissing);
		}

		if (parent === undefined) {
			return this.callDetached(service, kind, message, request.signal);
		}

		if (parent.call.depth >= callRegistryOptions.maximumDepth) {
			return refusedBeforeRunning(RefusalReason.tooDeep);
		}

		if (kind.irreversible && parent.call.identity === undefined) {
			// A reversible parent may run twice, and each run would make the downstream call with a different identity.
			return refusedBeforeRunning(RefusalReason.parentReversible);
		}

		const downstreamCall = parent.downstreamCall(downstreamCallKey(request), kind.irreversible);
		if (downstreamCall === undefined) {
			return refusedBeforeRunning(RefusalReason.tooManyCalls);
		}

		const call: Call = {
			...parent.call, service, kind: kind.name, depth: parent.call.depth + 1, message, allowance: parent.allowance,
			identity: undefined, signal: AbortSignal.any([parent.signal, request.signal]),
		};
		const result = kind.irreversible ? await this.callIrreversible(downstreamCall, call) : await this.callReversible(downstreamCall, call);
		parent.subtreeLevel = Math.max(parent.subtreeLevel, result.level);
		return result;
	}

	/** Finds the call in progress that a downstream call belongs to, if it is known. */
	private parentOf({context, traceParent}: DownstreamCall, kind: PolicyKind): CallInProgress | undefined {
		const traced = traceReference.exec(traceParent ?? '')?.groups?.reference;
		const parent = this.registry.lookUp(context) ?? this.registry.lookUp(traced);
		if (parent !== undefined) {
			return parent;
		}

		if (context !== undefined) {
			return undefined;
		}

		// An irreversible call is never attached without a reference: the target may still be working on an abandoned call.
		const onlyCall = kind.irreversible ? undefined : this.registry.onlyCall();
		this.metrics.count(onlyCall === undefined ? 'call.detached' : 'call.attached');
		return onlyCall;
	}

	/** Forwards a call without a known parent, with no retries, the lowest priority and the shortest lifetime of all kinds. */
	private async callDetached(service: string, kind: PolicyKind, message: CallMessage, signal: AbortSignal): Promise<CallResult> {
		if (kind.irreversible) {
			return refusedBeforeRunning(RefusalReason.contextMissing);
		}

		return this.forwarder.forward({
			service, kind: kind.name, rootKind: kind.name, rootIdentifier: randomUUID(), priority: lowestPriority,
			deadlineAt: this.timing.now() + this.policy.current!.shortestLifetimeMilliseconds,
			depth: callRegistryOptions.maximumDepth, message, allowance: new RetryAllowance(0), isRetry: false, signal,
		});
	}

	private async callReversible(downstreamCall: DownstreamCallState, call: Call): Promise<CallResult> {
		const isRetry = consumesRetry(downstreamCall, call);
		if (isRetry && !call.allowance.tryConsume()) {
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

	/** Equal downstream calls of one parent are one operation: they join its run, get its stored result, or retry with its identity. */
	private async callIrreversible(downstreamCall: DownstreamCallState, call: Call): Promise<CallResult> {
		if (downstreamCall.activeRun !== undefined) {
			return downstreamCall.activeRun;
		}

		if (downstreamCall.result?.verdict === Verdict.ran) {
			return downstreamCall.result;
		}

		const isRetry = consumesRetry(downstreamCall, call);
		if (isRetry && !call.allowance.tryConsume()) {
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
		// Until the outcome is known, the parent can't be reported as `did-not-run`.
		downstreamCall.verdict = Verdict.mayHaveRun;
		if (freshIdentity) {
			// Nothing ran and the old generation is closed, so the new identity may name any executor.
			const minted = await this.forwarder.mint(call);
			if ('refused' in minted) {
				downstreamCall.verdict = Verdict.didNotRun;
				return refusedBeforeRunning(minted.refused);
			}

			downstreamCall.identity = minted.identity;
		}

		const result = await this.forwarder.forwardToExecutor({...call, identity: downstreamCall.identity}, freshIdentity);
		downstreamCall.verdict = result.verdict;
		return result;
	}
}

/** A downstream call consumes a retry if it was attempted before, by this attempt of its parent or by an earlier one. */
function consumesRetry(downstreamCall: DownstreamCallState, call: Call): boolean {
	return downstreamCall.attempts > 0 || call.isRetry;
}

function downstreamCallKey({service, kind, message, step}: DownstreamCall): string {
	const last = step === undefined ? createHash('sha256').update(message.body).digest('base64url') : `step ${step}`;
	return [service, kind, message.method, message.path, last].join('\n');
}
