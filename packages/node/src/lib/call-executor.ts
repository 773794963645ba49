/**
 * Runs calls at the target beside this node: operation table, admission, target, verdict.
 */
import {createHash} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import type {AdmissionController} from '@hemlockthread/admission';
import type {IdentityAuthority} from '@hemlockthread/identity';
import {OperationState, type Operation, type OperationTable} from '@hemlockthread/operations';
import type {Metrics} from '@hemlockthread/telemetry';
import {RefusalReason, Verdict, composeVerdicts} from '@hemlockthread/verdict';
import type {CallInProgress, CallRegistry} from './call-registry.js';
import {refusal, type Call, type CallResult} from './call.js';
import type {NodeIdentity} from './node-identity.js';
import type {PolicyInForce} from './policy-in-force.js';
import type {TargetAnswer, TargetClient} from './target-client.js';

/** Returns false when the call may no longer start. */
type StartGate = () => boolean;

const alwaysStart: StartGate = () => true;
const firstDepth = 1;

/**
 * Executes calls at the own target.
 *
 * @public
 */
export class CallExecutor {
	constructor(
		private readonly self: NodeIdentity,
		private readonly policy: PolicyInForce,
		private readonly admission: AdmissionController,
		private readonly operations: OperationTable,
		private readonly registry: CallRegistry,
		private readonly authority: IdentityAuthority,
		private readonly target: TargetClient,
		private readonly metrics: Metrics,
	) {}

	/** Executes a call; never throws. */
	async execute(call: Call): Promise<CallResult> {
		const kind = this.policy.current?.kind(call.kind);
		if (kind === undefined) {
			return refusal(Verdict.didNotRun, this.policy.current === undefined ? RefusalReason.notReady : RefusalReason.unknownKind);
		}

		if (call.service !== this.self.service) {
			return refusal(Verdict.didNotRun, RefusalReason.unknownService);
		}

		const result = kind.irreversible
			? await this.executeIrreversible(call, call.depth === firstDepth ? kind.retries : undefined)
			: await this.attempt(call, alwaysStart);
		this.metrics.count('call.executed', {verdict: result.verdict, reason: result.reason ?? 'none'});
		return result;
	}

	private async executeIrreversible(call: Call, retries: number | undefined): Promise<CallResult> {
		const claims = call.identity?.claims;
		if (claims?.kind !== call.kind || claims.service !== call.service) {
			return refusal(Verdict.didNotRun, RefusalReason.identityInvalid);
		}

		const begun = this.operations.begin({identity: claims, fingerprint: fingerprint(call), retries});
		if (begun.action === 'refuse') {
			return refusal(begun.verdict, begun.reason, begun.operation === undefined ? {} : {nextIdentity: this.renew(begun.operation)});
		}

		const {operation} = begun;
		if (begun.action !== 'attempt') {
			return this.join(operation, call);
		}

		return this.attemptOperation(operation, call, claims.generation);
	}

	private async attemptOperation(operation: Operation, call: Call, generation: number): Promise<CallResult> {
		let started = false;
		const result = await this.attempt({...call, allowance: operation.allowance ?? call.allowance}, () => {
			started = operation.start(generation);
			return started;
		});
		if (!started) {
			if (operation.state !== OperationState.open) {
				// The same operation was sent twice and the other one started first.
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
			operation.lose();
			return result;
		}

		operation.reopen();
		return {...result, nextIdentity: this.renew(operation)};
	}

	/** Waits for the run in progress and gives its answer. */
	private async join(operation: Operation, call: Call): Promise<CallResult> {
		await settledWithin(operation.settled, call);
		if (operation.answer !== undefined) {
			const {status, headers, body} = operation.answer;
			return {
				verdict: Verdict.ran, status, headers, body, level: this.admission.level,
			};
		}

		const reason = operation.state === OperationState.unknown ? RefusalReason.outcomeUnknown : RefusalReason.deadlineExceeded;
		return refusal(Verdict.mayHaveRun, reason);
	}

	/** Passes the call through admission to the target. */
	private async attempt(call: Call, startGate: StartGate): Promise<CallResult> {
		if (this.self.leaving.aborted) {
			return refusal(Verdict.didNotRun, RefusalReason.leaving);
		}

		if (performance.now() >= call.deadlineAt) {
			return refusal(Verdict.didNotRun, RefusalReason.deadlineExceeded);
		}

		const admission = await this.admission.admit({
			kind: call.kind, rootKind: call.rootKind, priority: call.priority, deadlineAt: call.deadlineAt, signal: call.signal,
		});
		if (!admission.admitted) {
			return refusal(Verdict.didNotRun, admission.reason, {
				level: this.admission.level, retryAfterMilliseconds: admission.retryAfterMilliseconds,
			});
		}

		const result = await this.runAtTarget(call, startGate);
		admission.release(result.verdict === Verdict.ran ? 'ok' : (call.signal.aborted ? 'abandoned' : 'failed'));
		return {...result, level: Math.max(result.level, this.admission.level)};
	}

	private async runAtTarget(call: Call, startGate: StartGate): Promise<CallResult> {
		if (performance.now() >= call.deadlineAt) {
			return refusal(Verdict.didNotRun, RefusalReason.deadlineExceeded);
		}

		const inProgress = this.registry.begin(call, call.allowance);
		if (inProgress === undefined) {
			return refusal(Verdict.didNotRun, RefusalReason.tooManyCalls);
		}

		try {
			if (!startGate()) {
				return refusal(Verdict.didNotRun, RefusalReason.identitySuperseded);
			}

			const answer = await this.target.send(call, inProgress);
			if (answer.leaving) {
				this.self.leave();
			}

			return judge(answer, inProgress);
		} finally {
			this.registry.end(inProgress);
		}
	}

	private renew(operation: Operation): string {
		return this.authority.renew(operation.identity, operation.generation);
	}
}

/** Combines the target's answer with what ran below it. */
function judge(answer: TargetAnswer, inProgress: CallInProgress): CallResult {
	const {declared, leaving: _leaving, ...result} = answer;
	result.level = Math.max(result.level, inProgress.subtreeLevel);
	const own = result.verdict === Verdict.ran ? (declared ?? Verdict.ran) : result.verdict;
	const verdict = composeVerdicts(own, inProgress.irreversibleVerdicts());
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

/** Waits for the run to end, the deadline or the cancellation, whichever comes first. */
async function settledWithin(settled: Promise<void>, call: Call): Promise<void> {
	await new Promise<void>(resolve => {
		const timer = setTimeout(resolve, Math.max(0, call.deadlineAt - performance.now()));
		const finish = () => {
			clearTimeout(timer);
			resolve();
		};

		call.signal.addEventListener('abort', finish, {once: true});
		void (async () => {
			await settled;
			finish();
		})();
	});
}
