/**
 * The state machine of one irreversible operation at its executor. It allows a run only under the current generation and
 * never after a run with a known or lost outcome, so that the operation runs at most once.
 */
import {RetryAllowance, type OperationIdentity} from '@hemlockthread/identity';
import type {ResponseHeaders} from './operation-table.js';

/** The target's complete response, kept for callers that retry. @public */
export type OperationResponse = {status: number; headers: ResponseHeaders; body: Uint8Array};

/** @public */
export const OperationState = {
	/** Not running; may still run under the current generation. */
	open: 'open',
	running: 'running',
	/** The target's complete response is stored. */
	done: 'done',
	/** Sent to the target; the outcome is not known and can't be recovered. */
	unknown: 'unknown',
} as const;

/** @public */
export type OperationStateName = (typeof OperationState)[keyof typeof OperationState];

/**
 * An entry of the operation table.
 *
 * @public
 */
export class Operation {
	response: OperationResponse | undefined;
	/** Retries that the operation may still use at this node and downstream of it, over all attempts of the caller. */
	readonly allowance: RetryAllowance | undefined;

	private currentState: OperationStateName = OperationState.open;
	private currentGeneration: number;
	private attempts = 0;
	private runs = 0;
	private run = beginRun();

	constructor(
		readonly identity: OperationIdentity,
		readonly fingerprint: string,
		readonly removeAt: number,
		retries: number | undefined,
	) {
		this.currentGeneration = identity.generation;
		this.allowance = retries === undefined ? undefined : new RetryAllowance(retries);
	}

	get state(): OperationStateName {
		return this.currentState;
	}

	get generation(): number {
		return this.currentGeneration;
	}

	/** Settles when the run in progress ends, whatever its outcome. */
	get settled(): Promise<void> {
		return this.run.promise;
	}

	/** True once the operation was sent to the target, so that its downstream calls may have been attempted. */
	get reachedTarget(): boolean {
		return this.runs > 0;
	}

	/** Counts an attempt before admission. Each attempt after the first consumes one retry; returns false when none is left. */
	attempt(): boolean {
		this.attempts += 1;
		return this.attempts === 1 || this.allowance === undefined || this.allowance.tryConsume();
	}

	/** Marks the operation as sent to the target; returns false when the generation was closed or the operation already ran. */
	start(generation: number): boolean {
		if (this.currentState !== OperationState.open || generation !== this.currentGeneration) {
			return false;
		}

		this.currentState = OperationState.running;
		this.runs += 1;
		return true;
	}

	finish(response: OperationResponse): void {
		this.endRun(OperationState.done);
		this.response = response;
	}

	/** Ends a run whose outcome at the target can no longer be determined. */
	markOutcomeUnknown(): void {
		this.endRun(OperationState.unknown);
	}

	/** Ends a run after the target stated that it did not run the operation, which may then run under a new generation. */
	reopen(): void {
		this.endRun(OperationState.open);
		this.currentGeneration += 1;
	}

	/** Closes all generations issued so far, so that frames in transit can't cause a run after a refusal. */
	closeGeneration(): number {
		if (this.currentState !== OperationState.open) {
			throw new RangeError(`generation of an operation in state ${this.currentState} can't be closed`);
		}

		this.currentGeneration += 1;
		return this.currentGeneration;
	}

	private endRun(state: OperationStateName): void {
		if (this.currentState !== OperationState.running) {
			throw new RangeError(`operation in state ${this.currentState} has no run to end`);
		}

		this.currentState = state;
		this.run.settle();
		this.run = beginRun();
	}
}

type Run = {promise: Promise<void>; settle(): void};

function beginRun(): Run {
	let settle!: () => void;
	const promise = new Promise<void>(resolve => {
		settle = resolve;
	});
	return {promise, settle};
}
