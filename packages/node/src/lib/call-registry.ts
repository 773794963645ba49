/**
 * The calls that are in progress at the target beside this node. A target refers to them by an opaque reference, so the
 * values of a call's context never leave the node and can't be forged.
 */
import {randomBytes} from 'node:crypto';
import type {RetryAllowance} from '@hemlockthread/identity';
import {Verdict, type VerdictName} from '@hemlockthread/verdict';
import type {Call, CallResult} from './call.js';

/** @public */
export const callRegistryOptions = {
	maximumCalls: 4096,
	/** Distinct downstream legs of one call. */
	maximumDownstreamCalls: 256,
	/** Calls below one another. */
	maximumDepth: 16,
} as const;

const referenceBytes = 16;

/** One downstream leg of a call in progress. @public */
export type DownstreamCallState = {
	irreversible: boolean;
	attempts: number;
	/** What is certain about all attempts together; `may-have-run` while one is under way. */
	verdict: VerdictName;
	/** Attempts of a reversible leg that have no result yet. */
	activeAttempts: number;
	/** True once an attempt of a reversible leg ended other than with `did-not-run`. */
	mayHaveRun: boolean;
	/** Identity of an irreversible leg; replaced only after a certain `did-not-run`. */
	identity?: Call['identity'];
	/** The last finished result, replayed for an irreversible leg that ran. */
	result?: CallResult;
	activeRun?: Promise<CallResult>;
};

/** Made once: the default reason of `abort()` is a new error with a stack trace for each call. */
const callEnded = new Error('the call that this one was made for has ended');

/** A call that the target works on. @public */
export class CallInProgress {
	readonly reference = randomBytes(referenceBytes).toString('hex');
	readonly downstreamCalls = new Map<string, DownstreamCallState>();
	/** Most restrictive level heard from below. */
	subtreeLevel = 0;
	private readonly controller = new AbortController();

	constructor(readonly call: Call, readonly allowance: RetryAllowance) {
		call.signal.addEventListener('abort', this.abortDownstreamCalls, {once: true});
		if (call.signal.aborted) {
			this.abortDownstreamCalls();
		}
	}

	/** Aborted when the call is cancelled or has ended. */
	get signal(): AbortSignal {
		return this.controller.signal;
	}

	/** Returns the leg with the key, or a new one; undefined at the limit. */
	downstreamCall(key: string, irreversible: boolean): DownstreamCallState | undefined {
		const existing = this.downstreamCalls.get(key);
		if (existing !== undefined) {
			return existing;
		}

		if (this.downstreamCalls.size >= callRegistryOptions.maximumDownstreamCalls) {
			return undefined;
		}

		const created: DownstreamCallState = {
			irreversible, attempts: 0, verdict: Verdict.didNotRun, activeAttempts: 0, mayHaveRun: false,
		};
		this.downstreamCalls.set(key, created);
		return created;
	}

	irreversibleVerdicts(): VerdictName[] {
		return [...this.downstreamCalls.values()].filter(downstreamCall => downstreamCall.irreversible).map(leg => leg.verdict);
	}

	/** Cancels what still runs below this call. */
	end(): void {
		this.call.signal.removeEventListener('abort', this.abortDownstreamCalls);
		this.controller.abort(callEnded);
	}

	private readonly abortDownstreamCalls = (): void => {
		this.controller.abort(callEnded);
	};
}

/**
 * Holds the calls in progress.
 *
 * @public
 */
export class CallRegistry {
	private readonly calls = new Map<string, CallInProgress>();
	private hasAbandonedCalls = false;

	get size(): number {
		return this.calls.size;
	}

	/** Registers a call; undefined at the limit. */
	begin(call: Call, allowance: RetryAllowance): CallInProgress | undefined {
		if (this.calls.size >= callRegistryOptions.maximumCalls) {
			return undefined;
		}

		const inProgress = new CallInProgress(call, allowance);
		this.calls.set(inProgress.reference, inProgress);
		return inProgress;
	}

	/** Ends a call. A target that has not answered may go on working on it, and making downstream calls for it. */
	end(inProgress: CallInProgress, completed: boolean): void {
		this.hasAbandonedCalls ||= !completed;
		this.calls.delete(inProgress.reference);
		inProgress.end();
	}

	lookUp(reference: string | undefined): CallInProgress | undefined {
		return reference === undefined ? undefined : this.calls.get(reference);
	}

	/** The only call that the target can be working on, when there is exactly one and none was ever abandoned. */
	onlyCall(): CallInProgress | undefined {
		return this.calls.size === 1 && !this.hasAbandonedCalls ? this.calls.values().next().value : undefined;
	}

	dump(): unknown {
		let downstreamCalls = 0;
		for (const call of this.calls.values()) {
			downstreamCalls += call.downstreamCalls.size;
		}

		return {inProgress: this.calls.size, legs: downstreamCalls};
	}
}
