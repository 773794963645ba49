/**
 * The admission controller of the node beside a target: a concurrency limit, a priority queue and the admission level.
 */
import {randomInt} from 'node:crypto';
import type {Metrics} from '@hemlockthread/telemetry';
import {prioritiesPerRank} from '@hemlockthread/policy';
import {RefusalReason, type RefusalReasonName} from '@hemlockthread/verdict';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {AdmissionLevel, levelOptions, type QueueObservation} from './admission-level.js';
import {systemClock, type AdmissionClock} from './clock.js';
import {limitPolicies, type LimitPolicy, type LimitPolicyName} from './limit-policies.js';
import {ServiceTimes, type ServiceTime} from './service-times.js';
import {WaitingQueue} from './waiting-queue.js';

/** @public */
export type AdmissionOptions = {
	/** Upper bound of the concurrency limit: the target's published slots. */
	slots: number;
	/** Calls that may wait at once. */
	maximumQueued: number;
	/** How the limit adapts. */
	limitPolicy?: LimitPolicyName;
	/** `off` gives a FIFO queue in front of the published slots, without levels, deadlines or eviction. */
	controls?: 'on' | 'off';
	clock?: AdmissionClock;
	metrics?: Metrics;
	/** Seed of the jitter. */
	seed?: number;
	/** Time over which a cold target's limit rises to its slots; asked on each use because the policy may change. */
	coldStartRampMilliseconds?(): number;
};

/** @public */
export const admissionOptions = {
	maximumQueued: 512,
	limitPolicy: 'throughput-probing',
	/** Share of the slots that a cold target may use at first. */
	coldStartShare: 0.1,
	/** Shortest `retry-after` of a refusal, before jitter: several times the level's reaction time. */
	minimumRetryAfterMilliseconds: 250,
	maximumRetryAfterMilliseconds: 5000,
} as const;

/** Queue bound with the controls off; it only protects the process's memory. */
const uncontrolledQueued = 100_000;

/** @public */
export type AdmissionRequest = {
	kind: string;
	rootKind: string;
	priority: number;
	/** Monotonic time at which the call's deadline ends, in milliseconds. */
	deadlineAt: number;
	/** Aborted when the call is cancelled. */
	signal: AbortSignal;
};

/** How an admitted call ended: answered by the target, failed by it, or given up by the caller. @public */
export type ReleaseOutcome = 'ok' | 'failed' | 'abandoned';

/** @public */
export type Admission
	= | {admitted: true; release(outcome: ReleaseOutcome): void}
		| {admitted: false; reason: RefusalReasonName; retryAfterMilliseconds: number};

type Waiting = {
	priority: number;
	service: ServiceTime;
	/** Time after which the call can't finish before its deadline. */
	latestStartAt: number;
	settle(admission: Admission): void;
	refuse(reason: RefusalReasonName): void;
};

/**
 * Decides which calls reach the target, and when.
 *
 * @public
 */
export class AdmissionController {
	private inProgress = 0;
	private readonly slots: number;
	private readonly controlled: boolean;
	private readonly clock: AdmissionClock;
	private readonly random: ReturnType<typeof xoroshiro128plus>;
	private readonly queue: WaitingQueue<Waiting>;
	private readonly maximumQueued: number;
	private readonly policyName: LimitPolicyName;
	private readonly limitPolicy: LimitPolicy;
	private readonly services = new ServiceTimes();
	private readonly admissionLevel: AdmissionLevel;
	/** Share of the slots that is left after failures. */
	private healthyShare = 1;
	/** Start of the cold-start ramp; undefined until the target is first used, or used again after it failed. */
	private rampStartedAt: number | undefined;

	constructor(private readonly options: AdmissionOptions) {
		this.slots = options.slots;
		this.controlled = options.controls !== 'off';
		this.clock = options.clock ?? systemClock;
		this.random = xoroshiro128plus(options.seed ?? randomInt(2 ** 31));
		this.queue = new WaitingQueue(this.controlled ? 'priority' : 'arrival');
		this.maximumQueued = this.controlled ? options.maximumQueued : uncontrolledQueued;
		this.policyName = this.controlled ? (options.limitPolicy ?? admissionOptions.limitPolicy) : 'fixed';
		this.limitPolicy = limitPolicies[this.policyName](options.slots);
		this.admissionLevel = new AdmissionLevel(this.clock.now());
	}

	/** Lowest priority that is admitted now; 0 admits everything. */
	get level(): number {
		if (!this.controlled) {
			return 0;
		}

		this.admissionLevel.update(this.clock.now(), () => this.observeQueue());
		const level = this.admissionLevel.current;
		// A waiting call of a lower worth rank would be served before a higher one that the level refuses now. One of the same
		// rank stays: the chain above has done its work for it already.
		const lowestKept = level - (level % prioritiesPerRank);
		for (let last = this.queue.last(); last !== undefined && last.priority < lowestKept; last = this.queue.last()) {
			this.options.metrics?.count('admission.evicted');
			last.refuse(RefusalReason.overloaded);
		}

		return level;
	}

	/** Calls at the target. */
	get active(): number {
		return this.inProgress;
	}

	/** Calls that may be at the target at once. */
	get limit(): number {
		if (!this.controlled) {
			return this.slots;
		}

		return Math.max(1, Math.min(this.limitPolicy.limit, Math.floor(this.slots * this.healthyShare), this.rampCeiling()));
	}

	/** Waits for a slot. Settles at the latest when the deadline ends or the call is cancelled. */
	async admit(request: AdmissionRequest): Promise<Admission> {
		const service = this.services.of(request.kind);
		const reason = this.reasonToRefuse(request, service);
		if (reason !== undefined) {
			return this.refused(reason);
		}

		if (this.queue.length === 0 && this.inProgress < this.limit) {
			service.pending += 1;
			return this.start(service);
		}

		return this.wait(request, service);
	}

	dump(): unknown {
		return {
			inProgress: this.inProgress, queued: this.queue.length, limit: this.limit, slots: this.slots, level: this.level,
			limitPolicy: this.policyName, controls: this.controlled ? 'on' : 'off', healthyShare: this.healthyShare,
			queueingMilliseconds: Math.round(this.drainMilliseconds(this.queue.length)),
			serviceMilliseconds: this.services.dump(),
		};
	}

	private reasonToRefuse(request: AdmissionRequest, service: ServiceTime): RefusalReasonName | undefined {
		if (request.signal.aborted) {
			return RefusalReason.cancelled;
		}

		if (!this.controlled) {
			return undefined;
		}

		const remaining = request.deadlineAt - this.clock.now();
		if (remaining <= 0) {
			return RefusalReason.deadlineExceeded;
		}

		if (request.priority < this.level) {
			return RefusalReason.overloaded;
		}

		const queueing = this.inProgress < this.limit ? 0 : this.drainMilliseconds(this.queue.positionOf(request.priority) + 1);
		// With no call of the kind under way nothing would ever correct the estimate, so one goes through as a trial.
		const needed = service.pending === 0 ? queueing : queueing + service.estimate;
		return needed > remaining ? RefusalReason.cannotFinishInTime : undefined;
	}

	private async wait(request: AdmissionRequest, service: ServiceTime): Promise<Admission> {
		return new Promise(resolve => {
			const isTrial = service.pending === 0;
			const latestStartAt = request.deadlineAt - (isTrial ? 0 : service.estimate);
			const expire = () => {
				waiting.refuse(this.expiryReason(request.deadlineAt));
			};

			const cancelTimer = this.controlled
				? this.clock.schedule(Math.max(0, latestStartAt - this.clock.now()), expire)
				: undefined;
			const cancel = () => {
				waiting.refuse(RefusalReason.cancelled);
			};

			const waiting: Waiting = {
				priority: request.priority,
				service,
				latestStartAt,
				settle(admission) {
					cancelTimer?.();
					request.signal.removeEventListener('abort', cancel);
					resolve(admission);
				},
				refuse: reason => {
					this.queue.remove(waiting);
					service.pending -= 1;
					waiting.settle(this.refused(reason));
				},
			};
			request.signal.addEventListener('abort', cancel, {once: true});
			service.pending += 1;
			this.queue.insert(waiting);
			if (this.queue.length > this.maximumQueued) {
				this.options.metrics?.count('admission.evicted');
				this.queue.last()!.refuse(RefusalReason.overloaded);
			}
		});
	}

	private expiryReason(deadlineAt: number): RefusalReasonName {
		this.options.metrics?.count('admission.expired');
		return this.clock.now() >= deadlineAt ? RefusalReason.deadlineExceeded : RefusalReason.cannotFinishInTime;
	}

	private start(service: ServiceTime): Admission {
		this.inProgress += 1;
		const startedAt = this.clock.now();
		this.rampStartedAt ??= startedAt;
		let released = false;
		return {
			admitted: true,
			release: outcome => {
				if (released) {
					return;
				}

				released = true;
				this.observe(service, outcome, startedAt);
				service.pending -= 1;
				this.inProgress -= 1;
				this.startWaiting();
			},
		};
	}

	private observe(service: ServiceTime, outcome: ReleaseOutcome, startedAt: number): void {
		const now = this.clock.now();
		const latencyMilliseconds = now - startedAt;
		const succeeded = outcome === 'ok';
		for (const time of [service, this.services.overall]) {
			if (succeeded) {
				time.observe(latencyMilliseconds);
			} else {
				time.observeAtLeast(latencyMilliseconds);
			}
		}

		if (outcome === 'abandoned') {
			return;
		}

		this.observeHealth(succeeded, now);
		this.limitPolicy.observe({
			now, latencyMilliseconds, inProgress: this.inProgress, succeeded,
		});
	}

	/** Moves one slot per call, so that the limit falls only while more than half of the calls fail. */
	private observeHealth(succeeded: boolean, now: number): void {
		const step = 1 / this.slots;
		const wasDown = this.healthyShare <= step;
		this.healthyShare = Math.min(1, Math.max(step, this.healthyShare + (succeeded ? step : -step)));
		if (wasDown && succeeded && this.slots > 1) {
			// A target that failed every call and answers again has most likely been restarted.
			this.rampStartedAt = now;
		}
	}

	private startWaiting(): void {
		while (this.queue.length > 0 && this.inProgress < this.limit) {
			const next = this.queue.takeFirst()!;
			if (this.controlled && this.clock.now() > next.latestStartAt) {
				// Timers run late on a busy event loop.
				next.refuse(RefusalReason.cannotFinishInTime);
				this.options.metrics?.count('admission.expired');
			} else {
				next.settle(this.start(next.service));
			}
		}
	}

	private observeQueue(): QueueObservation {
		const {average} = this.services.overall;
		const bearableMilliseconds = Math.max(levelOptions.queueingMilliseconds, average * levelOptions.queueingServiceTimes);
		const bearable = average === 0 ? this.maximumQueued : Math.floor(bearableMilliseconds * this.limit / average);
		return {
			firstUnbearable: this.queue.at(bearable)?.priority,
			idleShare: this.queue.length === 0 ? Math.max(0, 1 - (this.inProgress / this.limit)) : 0, paceMilliseconds: average * levelOptions.paceServiceTimes,
		};
	}

	/** Time until the target has taken up a number of waiting calls. */
	private drainMilliseconds(queued: number): number {
		return queued * this.services.overall.average / this.limit;
	}

	private rampCeiling(): number {
		const ramp = this.options.coldStartRampMilliseconds?.() ?? 0;
		const elapsed = this.rampStartedAt === undefined ? 0 : this.clock.now() - this.rampStartedAt;
		if (elapsed >= ramp) {
			return this.slots;
		}

		const share = admissionOptions.coldStartShare + ((1 - admissionOptions.coldStartShare) * elapsed / ramp);
		return Math.floor(this.slots * share);
	}

	private refused(reason: RefusalReasonName): Admission {
		this.options.metrics?.count('admission.refused', {reason});
		const base = Math.min(
			admissionOptions.maximumRetryAfterMilliseconds,
			Math.max(admissionOptions.minimumRetryAfterMilliseconds, this.drainMilliseconds(this.queue.length)),
		);
		return {admitted: false, reason, retryAfterMilliseconds: Math.round(base * (1 + uniformFloat64(this.random)))};
	}
}
