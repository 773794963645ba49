/**
 * Runs requests at the local target: queues them for a free slot, sends each one with the name of the only instance that may run it,
 * and reports whether it ran, may have run or did not run.
 */
import {Buffer} from 'node:buffer';
import type {CallProfile} from './call-profile.js';
import type {Clock} from './clock.js';
import type {Departures} from './departures.js';
import {doNothing} from './do-nothing.js';
import type {Address, HeaderNames} from './fleet-model.js';
import {
	instanceLeavingReason, RunResult, unsentOutcome, type LoadReport, type RunOutcome,
} from './link-messages.js';
import {headerCount, headerValue} from './message-headers.js';
import {TargetConnections, type TargetOutcome} from './target-connection.js';
import {TargetQueue} from './target-queue.js';

/** A request for the target. @public */
export type TargetWork = {
	instance: string;
	route: string;
	attempt: string;
	callerService: string;
	/** Lower ranks start first; see `rankOfCall`. */
	rank: number;
	/** Monotonic time at which the sender stops waiting. */
	deadlineAt: number;
	/** Monotonic time after which starting the work is useless. */
	latestStartAt: number;
	method: string;
	path: string;
	headers: readonly string[];
	body: Uint8Array | undefined;
};

/** Misdirected Request: the request names an instance other than this target, which therefore did not run it. */
const misdirectedStatus = 421;
/**
 * Statuses with which a target can state that it did not run a request. The statement on any other status is a contradiction: two
 * answers may have been read as one.
 */
const refusalStatuses: ReadonlySet<number> = new Set([400, misdirectedStatus, 429, 503]);
/** Weight of a new outcome in the moving average of the success share that is reported to peers. */
const successWeight = 0.04;

/** @public */
export type TargetRunnerOptions = {
	address: Address;
	slots: number;
	headers: HeaderNames;
	profile: CallProfile;
	clock: Clock;
	departures: Departures;
};

/**
 * Sends all requests to the local target.
 *
 * @public
 */
export class TargetRunner {
	readonly queue: TargetQueue;
	readonly connections: TargetConnections;
	private readonly clock: Clock;
	private readonly headers: HeaderNames;
	private readonly profile: CallProfile;
	private readonly departures: Departures;
	private readonly running = new Map<string, TargetWork>();
	private successShare = 1;

	constructor(options: TargetRunnerOptions) {
		this.clock = options.clock;
		this.headers = options.headers;
		this.profile = options.profile;
		this.departures = options.departures;
		this.queue = new TargetQueue(options.slots, options.clock);
		this.connections = new TargetConnections({address: options.address, clock: options.clock, attemptHeader: options.headers.attempt});
		this.departures.onDeparture(instance => {
			this.refuseUnsent(instance);
		});
	}

	get load(): LoadReport {
		return {...this.queue.load, successShare: this.successShare};
	}

	/** Returns the work of an attempt that the target is running; undefined if there is none. */
	runningWork(attempt: string): Pick<TargetWork, 'route' | 'rank'> | undefined {
		return this.running.get(attempt);
	}

	/**
	 * Runs work and calls `settle` once unless cancelled. Returns a function that cancels the work. Work for a leaving instance is
	 * refused here, because its sender may have an older record of the instance.
	 */
	run(work: TargetWork, settle: (outcome: RunOutcome) => void): () => void {
		if (this.departures.get(work.instance) !== undefined) {
			settle(unsentOutcome(instanceLeavingReason));
			return doNothing;
		}

		let cancel: (() => void) | undefined;
		const cancelQueued = this.queue.submit({
			instance: work.instance,
			rank: work.rank,
			latestStartAt: Math.min(work.latestStartAt, work.deadlineAt),
			start: () => {
				cancel = this.start(work, settle);
			},
			refuse: estimatedWaitMilliseconds => {
				settle(unsentOutcome(this.departures.get(work.instance) === undefined ? 'overloaded' : instanceLeavingReason, estimatedWaitMilliseconds));
			},
		});
		return () => {
			(cancel ?? cancelQueued)();
		};
	}

	/** Refuses the requests that have not been sent to an instance when it starts leaving. */
	private refuseUnsent(instance: string): void {
		this.queue.refuseWaiting(instance);
		if ([...this.running.values()].some(work => work.instance === instance)) {
			this.connections.failUnsent(instanceLeavingReason);
		}
	}

	private start(work: TargetWork, settle: (outcome: RunOutcome) => void): () => void {
		const startedAt = this.clock.now();
		let settled = false;
		const finish = (outcome: RunOutcome, milliseconds?: number) => {
			settled = true;
			this.running.delete(work.attempt);
			cancelDeadline();
			this.queue.release(milliseconds);
			settle(outcome);
		};

		this.running.set(work.attempt, work);
		this.profile.recordRun(work.route);
		const cancelSend = this.connections.send(this.buildRequest(work, startedAt), outcome => {
			if (!settled) {
				const milliseconds = this.clock.now() - startedAt;
				finish(this.classifyOutcome(outcome), outcome.type === 'answered' ? milliseconds : undefined);
			}
		});
		const cancelDeadline = this.clock.after(work.deadlineAt - startedAt, () => {
			if (!settled) {
				cancelSend();
				finish({result: RunResult.mayHaveRun, reason: 'deadline-exceeded'}, this.clock.now() - startedAt);
			}
		});
		return () => {
			if (!settled) {
				settled = true;
				this.running.delete(work.attempt);
				cancelDeadline();
				cancelSend();
				this.queue.release();
			}
		};
	}

	private buildRequest(work: TargetWork, now: number) {
		const headers = [
			...work.headers,
			this.headers.remainingTime,
			String(Math.max(1, Math.floor(work.deadlineAt - now))),
			this.headers.expectedInstance,
			work.instance,
			this.headers.callerService,
			work.callerService,
		];
		return {
			method: work.method, path: work.path, headers, attempt: work.attempt,
			body: work.body === undefined ? undefined : Buffer.from(work.body.buffer, work.body.byteOffset, work.body.byteLength),
		};
	}

	private classifyOutcome(outcome: TargetOutcome): RunOutcome {
		if (outcome.type === 'unsent') {
			if (outcome.cause === instanceLeavingReason) {
				return unsentOutcome(instanceLeavingReason);
			}

			this.recordOutcome(0);
			return unsentOutcome(`target-unreachable: ${outcome.cause}`);
		}

		if (outcome.type === 'lost') {
			this.recordOutcome(0);
			return {result: RunResult.mayHaveRun, reason: `target-lost: ${outcome.cause}`};
		}

		const {status, headers, body} = outcome.response;
		const notRunCount = headerCount(headers, this.headers.notRun);
		if (status === misdirectedStatus || (notRunCount === 1 && refusalStatuses.has(status))) {
			this.recordOutcome(0);
			return {
				result: RunResult.notRun, reason: status === misdirectedStatus ? 'another-instance' : `target-refused-${status}`,
				reachedTarget: true, estimatedWaitMilliseconds: 0,
			};
		}

		const unusable = notRunCount > 0 ? `answer-contradictory-${status}` : this.responseFault(status, headers);
		if (unusable !== undefined) {
			this.recordOutcome(0);
			return {result: RunResult.mayHaveRun, reason: unusable};
		}

		this.recordOutcome(status < 500 ? 1 : 0);
		return {
			result: RunResult.answered, status, headers, body,
		};
	}

	/** Returns why a response is not accepted as the target's; undefined if it is accepted. */
	private responseFault(status: number, headers: readonly string[]): string | undefined {
		if (headerValue(headers, 'content-encoding') !== undefined) {
			return 'answer-encoded';
		}

		const signatureCount = headerCount(headers, this.headers.signature);
		if (signatureCount > 1) {
			return `answer-contradictory-${status}`;
		}

		return signatureCount === 0 ? `answer-unsigned-${status}` : undefined;
	}

	private recordOutcome(success: 0 | 1): void {
		this.successShare += (success - this.successShare) * successWeight;
	}
}
