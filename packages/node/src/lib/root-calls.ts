/**
 * Starts the calls of callers: sets the deadline, the priority and the retry allowance, and checks or mints the identity of
 * an irreversible call.
 */
import {randomUUID} from 'node:crypto';
import {RetryAllowance, type IdentityAuthority} from '@hemlockthread/identity';
import type {PolicyKind, PolicyRecord} from '@hemlockthread/policy';
import {RefusalReason, Verdict} from '@hemlockthread/verdict';
import type {CallForwarder} from './call-forwarder.js';
import {
	refusal, type Call, type CallMessage, type CallResult,
} from './call.js';
import {processTiming, type NodeTiming, type PolicySource} from './dependencies.js';

/** A call as received from a caller. @public */
export type RootCall = {
	service: string;
	kind: string;
	message: CallMessage;
	/** Identity of an irreversible call, not yet verified. */
	idempotencyKey: string | undefined;
	/** Time that the caller is willing to wait; `NaN` if the caller did not specify it. */
	remainingMilliseconds: number;
	/** Maximum time that the request may have waited because this process was paused. */
	maximumPauseWaitMilliseconds: number;
	signal: AbortSignal;
};

const rootDepth = 1;

/**
 * Starts root calls.
 *
 * @public
 */
export class RootCalls {
	constructor(
		private readonly policy: PolicySource,
		private readonly forwarder: Pick<CallForwarder, 'forward' | 'forwardToExecutor' | 'mint'>,
		private readonly authority: IdentityAuthority,
		private readonly timing: NodeTiming = processTiming,
	) {}

	async call(request: RootCall): Promise<CallResult> {
		const {current} = this.policy;
		const kind = current?.kind(request.kind);
		if (current === undefined || kind === undefined) {
			// Earlier attempts with the same key may have run, even if the kind is no longer in the policy.
			const verdict = request.idempotencyKey === undefined ? Verdict.didNotRun : Verdict.mayHaveRun;
			return refusal(verdict, current === undefined ? RefusalReason.notReady : RefusalReason.unknownKind);
		}

		const call = this.begin(request, kind, current);
		if (request.idempotencyKey !== undefined) {
			const check = this.authority.verify(request.idempotencyKey);
			if (check.valid) {
				return this.callIdentified({...call, identity: {token: request.idempotencyKey, claims: check.identity}}, current);
			}

			if (kind.irreversible) {
				// A node with other keys may have accepted the same token before.
				return refusal(Verdict.mayHaveRun, RefusalReason.identityInvalid);
			}
		}

		if (kind.irreversible) {
			return this.offerIdentity(call);
		}

		// A request that waited during a pause of this process may have passed its deadline.
		return this.hasExpired(call) ? refusal(Verdict.didNotRun, RefusalReason.deadlineExceeded) : this.forwarder.forward(call);
	}

	private async callIdentified(call: Call, policy: PolicyRecord): Promise<CallResult> {
		const {claims} = call.identity!;
		if (claims.kind !== call.kind || claims.service !== call.service) {
			return refusal(Verdict.mayHaveRun, RefusalReason.identityInvalid);
		}

		if (this.hasExpired(call)) {
			// Other attempts with this identity may have run.
			return refusal(Verdict.mayHaveRun, RefusalReason.deadlineExceeded);
		}

		return this.forwarder.forwardToExecutor({
			...call, rootIdentifier: claims.operation, priority: policy.priorityOf(call.kind, claims.operation),
			allowance: new RetryAllowance(0),
		});
	}

	private begin(request: RootCall, kind: PolicyKind, policy: PolicyRecord): Call {
		const rootIdentifier = randomUUID();
		const requestedMilliseconds = request.remainingMilliseconds;
		const lifetime = requestedMilliseconds > 0 ? Math.min(requestedMilliseconds, kind.lifetimeMilliseconds) : kind.lifetimeMilliseconds;
		return {
			service: request.service, kind: kind.name, rootKind: kind.name, rootIdentifier,
			priority: policy.priorityOf(kind.name, rootIdentifier),
			deadlineAt: this.timing.now() + lifetime - request.maximumPauseWaitMilliseconds,
			depth: rootDepth, message: request.message, allowance: new RetryAllowance(kind.retries), isRetry: false, signal: request.signal,
		};
	}

	private async offerIdentity(call: Call): Promise<CallResult> {
		const minted = await this.forwarder.mint({...call, operation: call.rootIdentifier});
		return 'refused' in minted
			? refusal(Verdict.didNotRun, minted.refused, {retryAfterMilliseconds: 1000})
			: refusal(Verdict.didNotRun, RefusalReason.identityNeeded, {nextIdentity: minted.token});
	}

	private hasExpired(call: Call): boolean {
		return this.timing.now() >= call.deadlineAt;
	}
}
