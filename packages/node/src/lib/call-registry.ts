/**
 * Registry of the calls in progress at the local target. The target refers to a call by an opaque random reference, so the
 * context of a call never leaves the node and can't be forged.
 */
import {randomBytes} from 'node:crypto';
import type {RetryAllowance} from '@hemlockthread/identity';
import {Verdict, type VerdictName} from '@hemlockthread/verdict';
import type {Call, CallResult} from './call.js';

/** @public */
export const callRegistryOptions = {
	maximumCalls: 4096,
	/** Maximum number of distinct downstream calls of one call. */
	maximumDownstreamCalls: 256,
	/** Maximum depth of nested calls. */
	maximumDepth: 16,
} as const;

const referenceBytes = 16;

/** State of one downstream call over all of its attempts. @public */
export type DownstreamCallState = {
	irreversible: boolean;
	attempts: number;
	/** Verdict on all attempts together; `may-have-run` while an attempt is in progress. */
	verdict: VerdictName;
	/** Number of attempts of a reversible call that have no result yet. */
	activeAttempts: number;
	/** True once an attempt of a reversible call had another verdict than `did-not-run`. */
	mayHaveRun: boolean;
	/** Identity of an irreversible call; replaced only after a certain `did-not-run`. */
	identity?: Call['identity'];
	/** Last finished result; returned again for an irreversible call that ran. */
	result?: CallResult;
	activeRun?: Promise<CallResult>;
};

/** Shared abort reason, because the default reason of `abort()` is a new error with a stack trace for each call. */
const callEnded = new Error('parent call has ended');

/** A call that is in progress at the target. @public */
export class CallInProgress {
	readonly reference = randomBytes(referenceBytes).toString('hex');
	readonly downstreamCalls = new Map<string, DownstreamCallState>();
	/** Highest admission level received from downstream calls. */
	subtreeLevel = 0;
	private readonly controller = new AbortController();

	constructor(readonly call: Call, readonly allowance: RetryAllowance) {
		call.signal.addEventListener('abort', this.abortDownstreamCalls, {once: true});
		if (call.signal.aborted) {
			this.abortDownstreamCalls();
		}
	}

	/** Aborted when the call is cancelled or ends. */
	get signal(): AbortSignal {
		return this.controller.signal;
	}

	/** Returns the downstream call with the key, creating it if needed; undefined if the maximum is reached. */
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
		return [...this.downstreamCalls.values()].filter(downstreamCall => downstreamCall.irreversible).map(downstreamCall => downstreamCall.verdict);
	}

	/** Cancels the downstream calls that are still in progress. */
	end(): void {
		this.call.signal.removeEventListener('abort', this.abortDownstreamCalls);
		this.controller.abort(callEnded);
	}

	private readonly abortDownstreamCalls = (): void => {
		this.controller.abort(callEnded);
	};
}

/**
 * Registers the calls in progress and looks them up by reference.
 *
 * @public
 */
export class CallRegistry {
	private readonly calls = new Map<string, CallInProgress>();
	private hasAbandonedCalls = false;

	get size(): number {
		return this.calls.size;
	}

	/** Registers a call; returns undefined if the maximum is reached. */
	begin(call: Call, allowance: RetryAllowance): CallInProgress | undefined {
		if (this.calls.size >= callRegistryOptions.maximumCalls) {
			return undefined;
		}

		const inProgress = new CallInProgress(call, allowance);
		this.calls.set(inProgress.reference, inProgress);
		return inProgress;
	}

	/** Ends a call. A target that did not complete the call may keep working on it and make further downstream calls. */
	end(inProgress: CallInProgress, completed: boolean): void {
		this.hasAbandonedCalls ||= !completed;
		this.calls.delete(inProgress.reference);
		inProgress.end();
	}

	lookUp(reference: string | undefined): CallInProgress | undefined {
		return reference === undefined ? undefined : this.calls.get(reference);
	}

	/** Returns the only call that the target can be working on: there is exactly one and none was ever abandoned. */
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
