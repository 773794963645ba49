/**
 * The operation table of one executor.
 */
import {
	RefusalReason, Verdict, type RefusalReasonName, type VerdictName,
} from '@hemlockthread/verdict';
import type {OperationIdentity, ProcessClock} from '@hemlockthread/identity';
import {Operation, OperationState, type OperationResponse} from './operation.js';

export type ResponseHeaders = Record<string, string>;

/** @public */
export type OperationTableOptions = {
	maximumEntries: number;
	/** Bytes of answers held for callers that ask again. */
	maximumResponseBytes: number;
	/** Largest difference between the clocks of two instances. */
	maximumClockSkewMilliseconds: number;
};

/** @public */
export const operationTableOptions: OperationTableOptions = {
	maximumEntries: 20_000,
	maximumResponseBytes: 8 * 1024 * 1024,
	maximumClockSkewMilliseconds: 5000,
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

const millisecondsPerSecond = 1000;

/**
 * Holds the operations of one executor incarnation until they expire. Live entries are never evicted.
 *
 * @public
 */
export class OperationTable {
	private readonly operations = new Map<string, Operation>();
	/** Entries by the second of the process clock from which they may be removed; lifetimes differ between policies. */
	private readonly removals = new Map<number, Operation[]>();
	private sweptSecond: number;
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
		this.sweptSecond = Math.floor(this.startedAt / millisecondsPerSecond);
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
	finish(operation: Operation, answer: OperationResponse): void {
		const bytes = sizeOf(answer);
		// An entry that expired while its call waited for admission is no longer held, so nobody can ask for its answer.
		const held = this.operations.get(operation.identity.operation) === operation;
		if (!held || this.answerBytes + bytes > this.options.maximumResponseBytes) {
			operation.markOutcomeUnknown();
			return;
		}

		this.answerBytes += bytes;
		operation.finish(answer);
	}

	dump(): unknown {
		return {entries: this.operations.size, answerBytes: this.answerBytes};
	}

	private beginHeld(operation: Operation, request: OperationRequest): BeginResult {
		if (operation.fingerprint !== request.fingerprint) {
			return refuseReused(operation);
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

		// The incarnation already tells restarts apart. This is a second barrier, so it is lenient by the clock bound.
		if (identity.issuedAt < this.startedAt - this.options.maximumClockSkewMilliseconds) {
			return {action: 'refuse', verdict: Verdict.mayHaveRun, reason: RefusalReason.executorRestarted};
		}

		if (this.isBelowWatermark(identity)) {
			return {action: 'refuse', verdict: Verdict.didNotRun, reason: RefusalReason.operationTableFull};
		}

		if (this.operations.size >= this.options.maximumEntries) {
			this.refusedUpTo = now;
			// An identity from a clock further ahead than the bound is above the watermark and may still be taken later.
			const verdict = this.isBelowWatermark(identity) ? Verdict.didNotRun : Verdict.mayHaveRun;
			return {action: 'refuse', verdict, reason: RefusalReason.operationTableFull};
		}

		const operation = new Operation(
			identity,
			request.fingerprint,
			identity.expiresAt + this.options.maximumClockSkewMilliseconds,
			request.retries,
		);
		this.hold(operation);
		return this.admitAttempt(operation);
	}

	private isBelowWatermark(identity: OperationIdentity): boolean {
		return identity.issuedAt <= this.refusedUpTo + this.options.maximumClockSkewMilliseconds;
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

	private hold(operation: Operation): void {
		this.operations.set(operation.identity.operation, operation);
		this.scheduleRemoval(operation, Math.ceil(operation.removeAt / millisecondsPerSecond));
	}

	private scheduleRemoval(operation: Operation, second: number): void {
		const others = this.removals.get(second);
		if (others === undefined) {
			this.removals.set(second, [operation]);
		} else {
			others.push(operation);
		}
	}

	private removeExpired(): void {
		const second = Math.floor(this.clock.now() / millisecondsPerSecond);
		if (second <= this.sweptSecond) {
			return;
		}

		this.sweptSecond = second;
		for (const [dueSecond, due] of this.removals) {
			if (dueSecond > second) {
				continue;
			}

			this.removals.delete(dueSecond);
			for (const operation of due) {
				this.remove(operation, second);
			}
		}
	}

	private remove(operation: Operation, second: number): void {
		if (operation.state === OperationState.running) {
			this.scheduleRemoval(operation, second + 1);
			return;
		}

		this.answerBytes -= operation.response === undefined ? 0 : sizeOf(operation.response);
		this.operations.delete(operation.identity.operation);
	}
}

/**
 * Refuses another request under the identity of a held operation. Callers read `did-not-run` as a statement about the
 * identity, so it is given only where no request with this identity ran, and closes what may still be under way.
 */
function refuseReused(operation: Operation): BeginResult {
	const reason = RefusalReason.identityReused;
	if (operation.state !== OperationState.open) {
		return {action: 'refuse', verdict: Verdict.mayHaveRun, reason};
	}

	operation.closeGeneration();
	return {
		action: 'refuse', verdict: Verdict.didNotRun, reason, operation,
	};
}

function sizeOf(answer: OperationResponse): number {
	let bytes = answer.body.byteLength;
	for (const [name, value] of Object.entries(answer.headers)) {
		bytes += name.length + value.length;
	}

	return bytes;
}
