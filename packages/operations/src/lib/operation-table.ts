/**
 * The operation table of one executor. It decides for each irreversible call whether it runs, joins the run in progress,
 * gets the stored response or is refused, so that an operation runs at most once.
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
	/** Total size of the responses that are stored for callers that retry. */
	maximumResponseBytes: number;
	/** Largest expected difference between the clocks of two instances. */
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
	 * Total retries of the kind, for an operation started by a caller: the table entry then counts the retries. Undefined
	 * for a downstream call, whose attempts are counted by the node that sends them.
	 */
	retries: number | undefined;
};

/**
 * What to do with a call: `attempt` it (admission, then `Operation.start`), `join` the run in progress, `replay` the
 * stored response, or refuse it. If a refusal contains `operation`, its earlier generations are closed and
 * `operation.generation` is the one for the next identity.
 *
 * @public
 */
export type BeginResult
	= | {action: 'attempt' | 'join' | 'replay'; operation: Operation}
		| {action: 'refuse'; verdict: VerdictName; reason: RefusalReasonName; operation?: Operation};

const millisecondsPerSecond = 1000;

/**
 * Holds the operations of one executor incarnation until they expire. Entries are never evicted before that.
 *
 * @public
 */
export class OperationTable {
	private readonly operations = new Map<string, Operation>();
	/**
	 * Entries by the second of the process clock from which they may be removed. Entries don't expire in order of insertion,
	 * because identity lifetimes differ between policies.
	 */
	private readonly removals = new Map<number, Operation[]>();
	private lastSweepSecond: number;
	private responseBytes = 0;
	/**
	 * Identities issued up to this time plus the clock skew that are not in the table are refused, and never ran in this
	 * incarnation.
	 */
	private watermark = Number.NEGATIVE_INFINITY;
	private readonly startedAt: number;

	constructor(
		private readonly self: {instance: string; incarnation: string},
		private readonly clock: ProcessClock,
		private readonly options: OperationTableOptions = operationTableOptions,
	) {
		this.startedAt = clock.now();
		this.lastSweepSecond = Math.floor(this.startedAt / millisecondsPerSecond);
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

		const existing = this.operations.get(identity.operation);
		if (existing !== undefined) {
			return this.beginExisting(existing, request);
		}

		return this.beginNew(request);
	}

	/**
	 * Stores the response of a run; marks the outcome unknown if the entry has expired or the response doesn't fit in the size
	 * limit.
	 */
	finish(operation: Operation, response: OperationResponse): void {
		const bytes = sizeOf(response);
		// An entry that expired while its call waited for admission is no longer in the table, so its response can't be replayed.
		const isCurrent = this.operations.get(operation.identity.operation) === operation;
		if (!isCurrent || this.responseBytes + bytes > this.options.maximumResponseBytes) {
			operation.markOutcomeUnknown();
			return;
		}

		this.responseBytes += bytes;
		operation.finish(response);
	}

	dump(): unknown {
		return {entries: this.operations.size, answerBytes: this.responseBytes};
	}

	private beginExisting(operation: Operation, request: OperationRequest): BeginResult {
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

		return this.beginAttempt(operation);
	}

	private beginNew(request: OperationRequest): BeginResult {
		const {identity} = request;
		const now = this.clock.now();
		if (identity.expiresAt <= now) {
			return {action: 'refuse', verdict: Verdict.mayHaveRun, reason: RefusalReason.identityExpired};
		}

		// The incarnation already detects restarts. An identity of this incarnation is issued after its start, so an earlier time
		// means that the issuer's clock lags behind the local one. Such an identity is refused beyond the largest expected skew.
		if (identity.issuedAt < this.startedAt - this.options.maximumClockSkewMilliseconds) {
			return {action: 'refuse', verdict: Verdict.mayHaveRun, reason: RefusalReason.executorRestarted};
		}

		if (this.isBelowWatermark(identity)) {
			return {action: 'refuse', verdict: Verdict.didNotRun, reason: RefusalReason.operationTableFull};
		}

		if (this.operations.size >= this.options.maximumEntries) {
			this.watermark = now;
			// An identity from a clock that is ahead by more than the skew is above the watermark, so it may still run later.
			const verdict = this.isBelowWatermark(identity) ? Verdict.didNotRun : Verdict.mayHaveRun;
			return {action: 'refuse', verdict, reason: RefusalReason.operationTableFull};
		}

		const operation = new Operation(
			identity,
			request.fingerprint,
			identity.expiresAt + this.options.maximumClockSkewMilliseconds,
			request.retries,
		);
		this.add(operation);
		return this.beginAttempt(operation);
	}

	private isBelowWatermark(identity: OperationIdentity): boolean {
		return identity.issuedAt <= this.watermark + this.options.maximumClockSkewMilliseconds;
	}

	private beginAttempt(operation: Operation): BeginResult {
		if (operation.attempt()) {
			return {action: 'attempt', operation};
		}

		operation.closeGeneration();
		return {
			action: 'refuse', verdict: Verdict.didNotRun, reason: RefusalReason.retriesExhausted, operation,
		};
	}

	private add(operation: Operation): void {
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
		if (second <= this.lastSweepSecond) {
			return;
		}

		this.lastSweepSecond = second;
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

		this.responseBytes -= operation.response === undefined ? 0 : sizeOf(operation.response);
		this.operations.delete(operation.identity.operation);
	}
}

/**
 * Refuses a different request under the identity of an operation in the table. `did-not-run` promises that no request with
 * this identity ran or will run. It is therefore returned only for an open operation, after its generation is closed, so
 * that frames in transit can't cause a run.
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

function sizeOf(response: OperationResponse): number {
	let bytes = response.body.byteLength;
	for (const [name, value] of Object.entries(response.headers)) {
		bytes += name.length + value.length;
	}

	return bytes;
}
