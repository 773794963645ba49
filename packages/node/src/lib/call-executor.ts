/**
 * Executes calls at the local target. Irreversible calls go through the operation table, which lets each run at most once,
 * and every call goes through admission. The verdict of a call also covers the downstream calls that were made for it.
 */
import {createHash} from 'node:crypto';
import type {IdentityAuthority, OperationIdentity} from '@hemlockthread/identity';
import {OperationState, type Operation, type OperationTable} from '@hemlockthread/operations';
import {
	RefusalReason, Verdict, composeVerdicts, type RefusalReasonName,
} from '@hemlockthread/verdict';
import type {CallInProgress, CallRegistry} from './call-registry.js';
import {refusal, type Call, type CallResult} from './call.js';
import {
	processTiming, type AdmissionApi, type MetricsApi, type NodeTiming, type PolicySource, type LocalNode, type TargetClientApi,
} from './dependencies.js';
import type {TargetResponse} from './target-client.js';

/** Checked right before the target is called; returns false if the call may no longer start. */
type StartCheck = () => boolean;

const alwaysStart: StartCheck = () => true;
const rootDepth = 1;

/**
 * Executes calls at the local target.
 *
 * @public
 */
export class CallExecutor {
	constructor(
		private readonly self: LocalNode,
		private readonly policy: PolicySource,
		private readonly admission: AdmissionApi,
		private readonly operations: OperationTable,
		private readonly registry: CallRegistry,
		private readonly authority: IdentityAuthority,
		private readonly target: TargetClientApi,
		private readonly metrics: MetricsApi,
		private readonly timing: NodeTiming = processTiming,
		private readonly controls: 'on' | 'off' = 'on',
	) {}

	/** Executes a call; never throws. */
	async execute(call: Call): Promise<CallResult> {
		const result = await this.dispatch(call);
		this.metrics.count('call.executed', {verdict: result.verdict, reason: result.reason ?? 'none'});
		return result;
	}

	private async dispatch(call: Call): Promise<CallResult> {
		const kind = this.policy.current?.kind(call.kind);
		if (call.identity !== undefined) {
			// The policy of this node may differ from that of the entry node, so the identity alone makes the call irreversible.
			return this.executeIrreversible(call, call.identity.claims, kind?.retries);
		}

		const refused = this.refusalIndependentOfLoad(call);
		if (refused !== undefined) {
			return refusal(Verdict.didNotRun, refused);
		}

		return kind?.irreversible === true
			? refusal(Verdict.didNotRun, RefusalReason.identityInvalid)
			: this.attempt(call, alwaysStart);
	}

	/** Returns why this node can't execute the call regardless of its load, or undefined if it can. */
	private refusalIndependentOfLoad(call: Call): RefusalReasonName | undefined {
		const {current} = this.policy;
		if (current === undefined) {
			return RefusalReason.notReady;
		}

		if (current.kind(call.kind) === undefined) {
			return RefusalReason.unknownKind;
		}

		return call.service === this.self.service ? undefined : RefusalReason.unknownService;
	}

	private async executeIrreversible(call: Call, claims: OperationIdentity, kindRetries: number | undefined): Promise<CallResult> {
		if (claims.kind !== call.kind || claims.service !== call.service) {
			// The operation may have run for the kind and service that the identity was minted for.
			return refusal(Verdict.mayHaveRun, RefusalReason.identityInvalid);
		}

		const retries = call.depth === rootDepth ? kindRetries ?? 0 : undefined;
		const decision = this.operations.begin({identity: claims, fingerprint: fingerprint(call), retries});
		if (decision.action === 'refuse') {
			return refusal(decision.verdict, decision.reason, decision.operation === undefined ? {} : {nextIdentity: this.renew(decision.operation)});
		}

		const {operation} = decision;
		if (decision.action !== 'attempt') {
			return this.join(operation, call);
		}

		return this.attemptOperation(operation, call, claims.generation);
	}

	private async attemptOperation(operation: Operation, call: Call, generation: number): Promise<CallResult> {
		let started = false;
		const refused = this.refusalIndependentOfLoad(call);
		const callToAttempt = {...call, allowance: operation.allowance ?? call.allowance, isRetry: call.isRetry || operation.reachedTarget};
		const result = refused === undefined
			? await this.attempt(callToAttempt, () => {
				started = operation.start(generation);
				return started;
			})
			: refusal(Verdict.didNotRun, refused);
		if (!started) {
			if (operation.state !== OperationState.open) {
				// The operation was sent twice and the other attempt started first.
				return this.join(operation, call);
			}

			operation.closeGeneration();
			return {...result, nextIdentity: this.renew(operation)};
		}

		if (result.verdict === Verdict.ran) {
			this.operations.finish(operation, {status: result.status, headers: result.headers, body: result.body});
			return result;
		}

		if (result.verdict === Verdict.mayHaveRun) {
			operation.markOutcomeUnknown();
			return result;
		}

		operation.reopen();
		return {...result, nextIdentity: this.renew(operation)};
	}

	/** Waits for the run of the operation that is in progress and returns its outcome. */
	private async join(operation: Operation, call: Call): Promise<CallResult> {
		while (operation.state === OperationState.running && !this.hasEnded(call)) {
			await this.waitUntilSettled(operation, call);
		}

		if (operation.response !== undefined) {
			const {status, headers, body} = operation.response;
			return {
				verdict: Verdict.ran, status, headers, body, level: this.admission.level,
			};
		}

		if (operation.state === OperationState.open) {
			operation.closeGeneration();
			return refusal(Verdict.didNotRun, RefusalReason.identitySuperseded, {nextIdentity: this.renew(operation)});
		}

		if (operation.state === OperationState.unknown) {
			return refusal(Verdict.mayHaveRun, RefusalReason.outcomeUnknown);
		}

		return refusal(Verdict.mayHaveRun, call.signal.aborted ? RefusalReason.cancelled : RefusalReason.deadlineExceeded);
	}

	/** Waits until the run settles, the deadline passes or the call is cancelled. */
	private async waitUntilSettled(operation: Operation, call: Call): Promise<void> {
		const waitCancellation = new AbortController();
		try {
			await Promise.race([
				operation.settled,
				this.timing.wait(call.deadlineAt - this.timing.now(), AbortSignal.any([call.signal, waitCancellation.signal])),
			]);
		} finally {
			waitCancellation.abort();
		}
	}

	private hasEnded(call: Call): boolean {
		return call.signal.aborted || this.timing.now() >= call.deadlineAt;
	}

	/** Waits for admission and sends the call to the target. */
	private async attempt(call: Call, startCheck: StartCheck): Promise<CallResult> {
		const refused = this.refusalBeforeStart(call);
		if (refused !== undefined) {
			return refused;
		}

		const admission = await this.admission.admit({
			kind: call.kind, rootKind: call.rootKind, priority: call.priority, deadlineAt: call.deadlineAt, signal: call.signal,
		});
		if (!admission.admitted) {
			return refusal(Verdict.didNotRun, admission.reason, {
				level: this.admission.level, retryAfterMilliseconds: admission.retryAfterMilliseconds,
			});
		}

		let result: CallResult | undefined;
		try {
			result = await this.runAtTarget(call, startCheck);
			return {...result, level: Math.max(result.level, this.admission.level)};
		} finally {
			admission.release(result?.verdict === Verdict.ran ? 'ok' : (call.signal.aborted ? 'abandoned' : 'failed'));
		}
	}

	/** Checked again after each wait, because the target may have started to leave or the call may have ended meanwhile. */
	private refusalBeforeStart(call: Call): CallResult | undefined {
		if (this.self.leaving.aborted || this.self.isListedAsLeaving) {
			return refusal(Verdict.didNotRun, RefusalReason.leaving);
		}

		if (call.signal.aborted) {
			return refusal(Verdict.didNotRun, RefusalReason.cancelled);
		}

		return this.controls === 'on' && this.hasEnded(call) ? refusal(Verdict.didNotRun, RefusalReason.deadlineExceeded) : undefined;
	}

	private async runAtTarget(call: Call, startCheck: StartCheck): Promise<CallResult> {
		const refused = this.refusalBeforeStart(call);
		if (refused !== undefined) {
			return refused;
		}

		const inProgress = this.registry.begin(call, call.allowance);
		if (inProgress === undefined) {
			return refusal(Verdict.didNotRun, RefusalReason.tooManyCalls);
		}

		let completed = true;
		try {
			if (!startCheck()) {
				return refusal(Verdict.didNotRun, RefusalReason.identitySuperseded);
			}

			const response = await this.sendToTarget(call, inProgress);
			completed = response.verdict !== Verdict.mayHaveRun;
			if (response.leaving) {
				this.self.leave();
			}

			return applyDownstreamVerdicts(response, inProgress);
		} finally {
			this.registry.end(inProgress, completed);
		}
	}

	private async sendToTarget(call: Call, inProgress: CallInProgress): Promise<TargetResponse> {
		try {
			return await this.target.send(call, inProgress);
		} catch {
			// The HTTP client can throw on a malformed path or header; it is unknown what it sent before.
			return {...refusal(Verdict.mayHaveRun, RefusalReason.targetFailed), leaving: false};
		}
	}

	private renew(operation: Operation): string {
		return this.authority.renew(operation.identity, operation.generation);
	}
}

/** Combines the response of the target with the levels and verdicts of its downstream calls. */
function applyDownstreamVerdicts(response: TargetResponse, inProgress: CallInProgress): CallResult {
	const {declaredVerdict, leaving: _leaving, ...result} = response;
	result.level = Math.max(result.level, inProgress.subtreeLevel);
	const targetVerdict = result.verdict === Verdict.ran ? (declaredVerdict ?? Verdict.ran) : result.verdict;
	const verdict = composeVerdicts(targetVerdict, inProgress.irreversibleVerdicts());
	if (verdict === Verdict.ran) {
		return result;
	}

	return {...result, verdict, reason: result.reason ?? (verdict === Verdict.didNotRun ? RefusalReason.overloaded : RefusalReason.targetFailed)};
}

function fingerprint(call: Call): string {
	return createHash('sha256')
		.update(`${call.message.method}\n${call.message.path}\n${call.message.headers['content-type'] ?? ''}\n`)
		.update(call.message.body)
		.digest('base64url');
}
