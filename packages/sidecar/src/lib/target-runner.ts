/**
 * Runs requests at the target beside this node: waits for a slot, sends the request with the name of the instance that must
 * run it, and says truthfully whether it ran.
 */
import {Buffer} from 'node:buffer';
import type {CallProfile} from './call-profile.js';
import type {Clock} from './clock.js';
import type {Departures} from './departures.js';
import {doNothing} from './do-nothing.js';
import type {Address, HeaderNames} from './fleet-model.js';
import {
	instanceLeavingReason, neverSent, RunResult, type LoadReport, type RunOutcome,
} from './link-messages.js';
import {headerValue} from './message-headers.js';
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
	/** Monotonic time after which a start is of no use. */
	latestStartAt: number;
	method: string;
	path: string;
	headers: readonly string[];
	body: Uint8Array | undefined;
};

/** Statuses with which a target may state that it did not run a request. */
const misdirectedStatus = 421;
/** Weight of a new outcome in the success share that is reported to peers. */
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
 * The only way to the own target.
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
			this.withdraw(instance);
		});
	}

	get load(): LoadReport {
		return {...this.queue.load, successShare: this.successShare};
	}

	/** The attempt as the target works on it; undefined where it does not. */
	runningWork(attempt: string): Pick<TargetWork, 'route' | 'rank'> | undefined {
		return this.running.get(attempt);
	}

	/**
	 * Runs work; calls `settle` once unless cancelled. Returns a function that ends the work. Work for an instance that leaves is
	 * refused here, whatever its sender believed.
	 */
	run(work: TargetWork, settle: (outcome: RunOutcome) => void): () => void {
		if (this.departures.get(work.instance) !== undefined) {
			settle(neverSent(instanceLeavingReason));
			return doNothing;
		}

		let cancel: (() => void) | undefined;
		const takeBack = this.queue.offer({
			instance: work.instance,
			rank: work.rank,
			latestStartAt: Math.min(work.latestStartAt, work.deadlineAt),
			start: () => {
				cancel = this.start(work, settle);
			},
			refuse: roomInMilliseconds => {
				settle(neverSent(this.departures.get(work.instance) === undefined ? 'overloaded' : instanceLeavingReason, roomInMilliseconds));
			},
		});
		return () => {
			(cancel ?? takeBack)();
		};
	}

	/** Refuses what has not been sent to an instance when it begins to leave. */
	private withdraw(instance: string): void {
		this.queue.withdraw(instance);
		if ([...this.running.values()].some(work => work.instance === instance)) {
			this.connections.endUnsent(instanceLeavingReason);
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
		this.profile.noteRun(work.route);
		const cancelSend = this.connections.send(this.requestOf(work, startedAt), outcome => {
			if (!settled) {
				const milliseconds = this.clock.now() - startedAt;
				finish(this.judge(outcome), outcome.type === 'answered' ? milliseconds : undefined);
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

	private requestOf(work: TargetWork, now: number) {
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

	private judge(outcome: TargetOutcome): RunOutcome {
		if (outcome.type === 'unsent') {
			if (outcome.cause === instanceLeavingReason) {
				return neverSent(instanceLeavingReason);
			}

			this.noteOutcome(0);
			return neverSent(`target-unreachable: ${outcome.cause}`);
		}

		if (outcome.type === 'lost') {
			this.noteOutcome(0);
			return {result: RunResult.mayHaveRun, reason: `target-lost: ${outcome.cause}`};
		}

		const {status, headers, body, unframed} = outcome.answer;
		if (status === misdirectedStatus || headerValue(headers, this.headers.notRun) !== undefined) {
			this.noteOutcome(0);
			return {
				result: RunResult.notRun, reason: status === misdirectedStatus ? 'another-instance' : `target-refused-${status}`,
				reachedTarget: true, roomInMilliseconds: 0,
			};
		}

		const unusable = this.faultOf(status, headers);
		if (unusable !== undefined) {
			this.noteOutcome(0);
			return {result: RunResult.mayHaveRun, reason: unusable};
		}

		this.noteOutcome(status < 500 ? 1 : 0);
		return {
			result: RunResult.answered, status, headers, body, unframed,
		};
	}

	/** Why an answer can't be the target's own. */
	private faultOf(status: number, headers: readonly string[]): string | undefined {
		if (headerValue(headers, 'content-encoding') !== undefined) {
			return 'answer-encoded';
		}

		return headerValue(headers, this.headers.signature) === undefined ? `answer-unsigned-${status}` : undefined;
	}

	private noteOutcome(success: 0 | 1): void {
		this.successShare += (success - this.successShare) * successWeight;
	}
}
