/**
 * One irreversible operation at its executor. The aggregate enforces that it runs at most once.
 */
import {RetryAllowance, type OperationIdentity} from '@hemlockthread/identity';
import type {FrameHeadersLike} from './operation-table.js';

/** The whole answer of the target, kept for callers that ask again. @public */
export type OperationAnswer = {status: number; headers: FrameHeadersLike; body: Uint8Array};

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
	state: OperationStateName = OperationState.open;
	generation: number;
	answer: OperationAnswer | undefined;
	/** Retries that the operation may still cause below this node, over all attempts of the caller. */
	readonly allowance: RetryAllowance | undefined;
	/** Settles when the run ends, for callers that ask again meanwhile. */
	readonly settled: Promise<void>;

	private admissions = 0;
	private settle!: () => void;

	constructor(
		readonly identity: OperationIdentity,
		readonly fingerprint: string,
		readonly removeAt: number,
		retries: number | undefined,
	) {
		this.generation = identity.generation;
		this.allowance = retries === undefined ? undefined : new RetryAllowance(retries);
		this.settled = new Promise(resolve => {
			this.settle = resolve;
		});
	}

	/** Counts an attempt that reaches admission; each after the first takes one retry. */
	attempt(): boolean {
		this.admissions += 1;
		return this.admissions === 1 || this.allowance === undefined || this.allowance.take();
	}

	/** Marks the operation as sent to the target; returns false when the generation was closed or it already ran. */
	start(generation: number): boolean {
		if (this.state !== OperationState.open || generation !== this.generation) {
			return false;
		}

		this.state = OperationState.running;
		return true;
	}

	finish(answer: OperationAnswer): void {
		this.state = OperationState.done;
		this.answer = answer;
		this.settle();
	}

	/** The outcome at the target can't be known any more. */
	lose(): void {
		this.state = OperationState.unknown;
		this.settle();
	}

	/** The target declared that it did not run the operation, so another attempt may. */
	reopen(): void {
		this.state = OperationState.open;
		this.generation += 1;
	}

	/** Closes all generations up to now, so that frames still under way can't run after a refusal. */
	closeGeneration(): number {
		this.generation += 1;
		return this.generation;
	}
}
