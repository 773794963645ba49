/**
 * One irreversible operation at its executor. The aggregate enforces that it runs at most once.
 */
import {RetryAllowance, type OperationIdentity} from '@hemlockthread/identity';
import type {ResponseHeaders} from './operation-table.js';

/** The whole answer of the target, kept for callers that ask again. @public */
export type OperationResponse = {status: number; headers: ResponseHeaders; body: Uint8Array};

/** @public */
export const OperationState = {
	/** Known, not running; may still run under its current generation. */
	open: 'open',
	running: 'running',
	/** The target's whole answer is held. */
	done: 'done',
	/** Sent to the target, outcome lost. */
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
	/** Retries that the operation may still cause below this node, over all attempts of the caller. */
	readonly allowance: RetryAllowance | undefined;

	private currentState: OperationStateName = OperationState.open;
	private currentGeneration: number;
	private admissions = 0;
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

	/** True once the target was given the operation, so that its legs may have been attempted. */
	get reachedTarget(): boolean {
		return this.runs > 0;
	}

	/** Counts an attempt that reaches admission; each after the first takes one retry. */
	attempt(): boolean {
		this.admissions += 1;
		return this.admissions === 1 || this.allowance === undefined || this.allowance.tryConsume();
	}

	/** Marks the operation as sent to the target; returns false when the generation was closed or it already ran. */
	start(generation: number): boolean {
		if (this.currentState !== OperationState.open || generation !== this.currentGeneration) {
			return false;
		}

		this.currentState = OperationState.running;
		this.runs += 1;
		return true;
	}

	finish(answer: OperationResponse): void {
		this.endRun(OperationState.done);
		this.response = answer;
	}

	/** The outcome at the target can't be known any more. */
	markOutcomeUnknown(): void {
		this.endRun(OperationState.unknown);
	}

	/** The target declared that it did not run the operation, so another attempt may, under a new generation. */
	reopen(): void {
		this.endRun(OperationState.open);
		this.currentGeneration += 1;
	}

	/** Closes all generations up to now, so that frames still under way can't run after a refusal. */
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
