/**
 * The operation table of one executor.
 */
import {
	RefusalReason, Verdict, type RefusalReasonName, type VerdictName,
} from '@hemlockthread/verdict';
import type {OperationIdentity, ProcessClock} from '@hemlockthread/identity';
import {Operation, OperationState} from './operation.js';

export type FrameHeadersLike = Record<string, string>;

/** @public */
export type OperationTableOptions = {
	maximumEntries: number;
	/** Bytes of answers held for callers that ask again. */
	maximumAnswerBytes: number;
	/** Largest difference between the clocks of two instances. */
	clockBoundMilliseconds: number;
};

/** @public */
export const operationTableOptions: OperationTableOptions = {
	maximumEntries: 20_000,
	maximumAnswerBytes: 8 * 1024 * 1024,
	clockBoundMilliseconds: 5000,
};

/** @public */
export type OperationRequest = {
	identity: OperationIdentity;
	/** SHA-256 of method, path, content type and body. */
	fingerprint: string;
	/**
	 * Retry total of the kind, for an operation that a caller began: the entry then owns the retry account. Undefined for
	 * a leg, whose attempts are charged by the node that sends them.
	 */
	retries: number | undefined;
};

/**
 * What to do with a call:
 * `attempt` it (through admission, then `Operation.start`), `join` the run in progress, `replay` the answer held, or
 * refuse it. A refusal with `operation` was closed and carries a new generation.
 *
 * @public
 */
export type BeginResult
	= | {action: 'attempt' | 'join' | 'replay'; operation: Operation}
		| {action: 'refuse'; verdict: VerdictName; reason: RefusalReasonName; operation?: Operation};

/**
 * Holds the operations of one executor incarnation until they expire. Live entries are never evicted.
 *
 * @public
 */
export class OperationTable {
	private readonly operations = new Map<string, Operation>();
	private answerBytes = 0;
	/** Unknown identities issued up to this time are refused; this incarnation never ran them. */
	private refusedUpTo = Number.NEGATIVE_INFINITY;
	private readonly startedAt: number;

	constructor(
		private readonly self: {instance: string; incarnation: string},
		private readonly clock: ProcessClock,
		private readonly options: OperationTableOptions = operationTableOptions,
	) {
		this.startedAt = clock.now();
	}

	get size(): number {
		return this.operations.size;
	}

	begin(request: OperationRequest): BeginResult {
		this.removeExpired();
		const {identity} = request;
		if (identity.executor !== this.self.instance || identity.incarnation !== this.self.incarnation) {
			return {action: 'refuse', verdict: Verdict.mayHaveRun, reason: RefusalReason.executorRestarted};
		}

		const held = this.operations.get(identity.operation);
		if (held !== undefined) {
			return this.beginHeld(held, request);
		}

		return this.beginNew(request);
	}

	/** Records the answer of a run, or only its outcome where the answers held are at their limit. */
	finish(operation: Operation, answer: {status: number; headers: FrameHeadersLike; body: Uint8Array}): void {
		if (this.answerBytes + answer.body.byteLength > this.options.maximumAnswerBytes) {
			operation.lose();
			return;
		}

		this.answerBytes += answer.body.byteLength;
		operation.finish(answer);
	}

	dump(): unknown {
		return {entries: this.operations.size, answerBytes: this.answerBytes};
	}

	private beginHeld(operation: Operation, request: OperationRequest): BeginResult {
		if (operation.fingerprint !== request.fingerprint) {
			return {action: 'refuse', verdict: Verdict.didNotRun, reason: RefusalReason.identityReused};
		}

		if (operation.state === OperationState.running) {
			return {action: 'join', operation};
		}

		if (operation.state === OperationState.done) {
			return {action: 'replay', operation};
		}

		if (operation.state === OperationState.unknown) {
			return {action: 'refuse', verdict: Verdict.mayHaveRun, reason: RefusalReason.outcomeUnknown};
		}

		if (request.identity.generation !== operation.generation) {
			operation.closeGeneration();
			return {
				action: 'refuse', verdict: Verdict.didNotRun, reason: RefusalReason.identitySuperseded, operation,
			};
		}

		return this.admitAttempt(operation);
	}

	private beginNew(request: OperationRequest): BeginResult {
		const {identity} = request;
		const now = this.clock.now();
		if (identity.expiresAt <= now) {
			return {action: 'refuse', verdict: Verdict.mayHaveRun, reason: RefusalReason.identityExpired};
		}

		if (identity.issuedAt < this.startedAt - this.options.clockBoundMilliseconds) {
			return {action: 'refuse', verdict: Verdict.mayHaveRun, reason: RefusalReason.executorRestarted};
		}

		if (identity.issuedAt <= this.refusedUpTo + this.options.clockBoundMilliseconds) {
			return {action: 'refuse', verdict: Verdict.didNotRun, reason: RefusalReason.operationTableFull};
		}

		if (this.operations.size >= this.options.maximumEntries) {
			this.refusedUpTo = now;
			return {action: 'refuse', verdict: Verdict.didNotRun, reason: RefusalReason.operationTableFull};
		}

		const operation = new Operation(
			identity,
			request.fingerprint,
			identity.expiresAt + this.options.clockBoundMilliseconds,
			request.retries,
		);
		this.operations.set(identity.operation, operation);
		return this.admitAttempt(operation);
	}

	private admitAttempt(operation: Operation): BeginResult {
		if (operation.attempt()) {
			return {action: 'attempt', operation};
		}

		operation.closeGeneration();
		return {
			action: 'refuse', verdict: Verdict.didNotRun, reason: RefusalReason.retriesExhausted, operation,
		};
	}

	private removeExpired(): void {
		const now = this.clock.now();
		for (const [key, operation] of this.operations) {
			if (operation.removeAt > now) {
				// Entries are in order of arrival and lifetimes are alike, so the rest is younger.
				return;
			}

			if (operation.state === OperationState.running) {
				return;
			}

			this.answerBytes -= operation.answer?.body.byteLength ?? 0;
			this.operations.delete(key);
		}
	}
}
