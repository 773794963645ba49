/**
 * Admission controller of one target. It bounds the calls in progress with an adaptive concurrency limit, queues the
 * excess by priority, and refuses calls below the admission level or with too little time left to finish, so that an
 * overloaded target spends its capacity on the most valuable calls.
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
	/** Upper bound of the concurrency limit: the published slots of the target. */
	slots: number;
	/** Maximum length of the queue. */
	maximumQueued: number;
	/** Algorithm that adapts the concurrency limit. */
	limitPolicy?: LimitPolicyName;
	/**
	 * `off` selects a FIFO queue with the published slots as fixed limit, without levels and deadlines. Calls are then evicted
	 * only if the queue exceeds 100,000 calls.
	 */
	controls?: 'on' | 'off';
	clock?: AdmissionClock;
	metrics?: Metrics;
	/** Seed of the random generator for jitter. */
	seed?: number;
	/** Time over which the limit of a cold target rises to its slots. A function because the policy can change at run time. */
	coldStartRampMilliseconds?(): number;
};

/** @public */
export const admissionOptions = {
	maximumQueued: 512,
	limitPolicy: 'throughput-probing',
	/** Initial concurrency limit of a cold target, as a share of its slots. */
	coldStartShare: 0.1,
	/** Minimum `retry-after` of a refusal before jitter: five of the 50 ms windows at which the admission level adapts. */
	minimumRetryAfterMilliseconds: 250,
	maximumRetryAfterMilliseconds: 5000,
} as const;

/** Maximum length of the queue while the controls are off; evicting newer calls only protects the memory of the process. */
const maximumQueuedWithoutControls = 100_000;

/** @public */
export type AdmissionRequest = {
	kind: string;
	rootKind: string;
	priority: number;
	/** Deadline of the call on the monotonic clock, in milliseconds. */
	deadlineAt: number;
	/** Aborted when the call is cancelled. */
	signal: AbortSignal;
};

/** Outcome of an admitted call: completed by the target, failed at the target, or abandoned by the caller. @public */
export type ReleaseOutcome = 'ok' | 'failed' | 'abandoned';

/** @public */
export type Admission
	= | {admitted: true; release(outcome: ReleaseOutcome): void}
		| {admitted: false; reason: RefusalReasonName; retryAfterMilliseconds: number};

type WaitingCall = {
	priority: number;
	serviceTime: ServiceTime;
	/** Latest start time at which the call is expected to finish before its deadline. */
	latestStartAt: number;
	settle(admission: Admission): void;
	refuse(reason: RefusalReasonName): void;
};

/**
 * Admits, queues or refuses the calls to one target.
 *
 * @public
 */
export class AdmissionController {
	private inProgress = 0;
	private readonly slots: number;
	private readonly controlsOn: boolean;
	private readonly clock: AdmissionClock;
	private readonly random: ReturnType<typeof xoroshiro128plus>;
	private readonly queue: WaitingQueue<WaitingCall>;
	private readonly maximumQueued: number;
	private readonly limitPolicyName: LimitPolicyName;
	private readonly limitPolicy: LimitPolicy;
	private readonly serviceTimes = new ServiceTimes();
	private readonly admissionLevel: AdmissionLevel;
	/** Share of the slots that may be used; falls with failed calls and rises with completed ones. */
	private healthyShare = 1;
	/** Start of the cold-start ramp; undefined until the first call starts, and set again when a failed target recovers. */
	private rampStartedAt: number | undefined;

	constructor(private readonly options: AdmissionOptions) {
		this.slots = options.slots;
		this.controlsOn = options.controls !== 'off';
		this.clock = options.clock ?? systemClock;
		this.random = xoroshiro128plus(options.seed ?? randomInt(2 ** 31));
		this.queue = new WaitingQueue(this.controlsOn ? 'priority' : 'arrival');
		this.maximumQueued = this.controlsOn ? options.maximumQueued : maximumQueuedWithoutControls;
		this.limitPolicyName = this.controlsOn ? (options.limitPolicy ?? admissionOptions.limitPolicy) : 'fixed';
		this.limitPolicy = limitPolicies[this.limitPolicyName](options.slots);
		this.admissionLevel = new AdmissionLevel(this.clock.now());
	}

	/**
	 * Lowest priority that is currently admitted; 0 admits every call. Reading this getter changes state: it updates the level
	 * for the time that has passed and evicts queued calls of lower worth ranks. No timer updates the level; while the
	 * controls are on, `admit` reads it for each call that is neither cancelled nor expired.
	 */
	get level(): number {
		if (!this.controlsOn) {
			return 0;
		}

		this.admissionLevel.update(this.clock.now(), () => this.observeQueue());
		const level = this.admissionLevel.current;
		// Evicts queued calls of ranks below the rank of the level: they would run although new calls of a higher rank are
		// refused. Queued calls of the same rank stay, because the upstream services have already done work for them.
		const lowestKept = level - (level % prioritiesPerRank);
		for (let last = this.queue.last(); last !== undefined && last.priority < lowestKept; last = this.queue.last()) {
			this.options.metrics?.count('admission.evicted');
			last.refuse(RefusalReason.overloaded);
		}

		return level;
	}

	/** Number of calls in progress at the target. */
	get active(): number {
		return this.inProgress;
	}

	/** Current concurrency limit: the lowest of the adaptive limit, the healthy share of the slots and the cold-start ramp. */
	get limit(): number {
		if (!this.controlsOn) {
			return this.slots;
		}

		return Math.max(1, Math.min(this.limitPolicy.limit, Math.floor(this.slots * this.healthyShare), this.rampCeiling()));
	}

	/**
	 * Waits for a free slot. Settles at the latest when the deadline passes or the call is cancelled. While the controls are
	 * off, the deadline is ignored, so a queued call waits until it starts, is cancelled or is evicted from a full queue.
	 */
	async admit(request: AdmissionRequest): Promise<Admission> {
		const serviceTime = this.serviceTimes.forKind(request.kind);
		const reason = this.reasonToRefuse(request, serviceTime);
		if (reason !== undefined) {
			return this.createRefusal(reason);
		}

		if (this.queue.length === 0 && this.inProgress < this.limit) {
			serviceTime.pending += 1;
			return this.start(serviceTime);
		}

		return this.wait(request, serviceTime);
	}

	dump(): unknown {
		return {
			inProgress: this.inProgress, queued: this.queue.length, limit: this.limit, slots: this.slots, level: this.level,
			limitPolicy: this.limitPolicyName, controls: this.controlsOn ? 'on' : 'off', healthyShare: this.healthyShare,
			queueingMilliseconds: Math.round(this.estimatedWaitMilliseconds(this.queue.length)),
			serviceMilliseconds: this.serviceTimes.dump(),
		};
	}

	private reasonToRefuse(request: AdmissionRequest, serviceTime: ServiceTime): RefusalReasonName | undefined {
		if (request.signal.aborted) {
			return RefusalReason.cancelled;
		}

		if (!this.controlsOn) {
			return undefined;
		}

		const remainingMilliseconds = request.deadlineAt - this.clock.now();
		if (remainingMilliseconds <= 0) {
			return RefusalReason.deadlineExceeded;
		}

		if (request.priority < this.level) {
			return RefusalReason.overloaded;
		}

		const waitMilliseconds = this.inProgress < this.limit ? 0 : this.estimatedWaitMilliseconds(this.queue.positionOf(request.priority) + 1);
		// The estimate of a kind only changes when a call of the kind ends. While none is queued or in progress, one call is
		// exempt from the check, because an estimate that is too high would otherwise refuse the kind forever.
		const neededMilliseconds = serviceTime.pending === 0 ? waitMilliseconds : waitMilliseconds + serviceTime.estimate;
		return neededMilliseconds > remainingMilliseconds ? RefusalReason.cannotFinishInTime : undefined;
	}

	private async wait(request: AdmissionRequest, serviceTime: ServiceTime): Promise<Admission> {
		return new Promise(resolve => {
			const isExempt = serviceTime.pending === 0;
			const latestStartAt = request.deadlineAt - (isExempt ? 0 : serviceTime.estimate);
			const expire = () => {
				waiting.refuse(this.expiryReason(request.deadlineAt));
			};

			const cancelTimer = this.controlsOn
				? this.clock.schedule(Math.max(0, latestStartAt - this.clock.now()), expire)
				: undefined;
			const cancel = () => {
				waiting.refuse(RefusalReason.cancelled);
			};

			const waiting: WaitingCall = {
				priority: request.priority,
				serviceTime,
				latestStartAt,
				settle(admission) {
					cancelTimer?.();
					request.signal.removeEventListener('abort', cancel);
					resolve(admission);
				},
				refuse: reason => {
					this.queue.remove(waiting);
					serviceTime.pending -= 1;
					waiting.settle(this.createRefusal(reason));
				},
			};
			request.signal.addEventListener('abort', cancel, {once: true});
			serviceTime.pending += 1;
			this.queue.insert(waiting);
			if (this.queue.length > this.maximumQueued) {
				this.options.metrics?.count('admission.evicted');
				this.queue.last()!.refuse(RefusalReason.overloaded);
			}
		});
	}

	/** Returns the reason to refuse a call whose expiry timer has fired, and counts the expiry in the metrics. */
	private expiryReason(deadlineAt: number): RefusalReasonName {
		this.options.metrics?.count('admission.expired');
		return this.clock.now() >= deadlineAt ? RefusalReason.deadlineExceeded : RefusalReason.cannotFinishInTime;
	}

	private start(serviceTime: ServiceTime): Admission {
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
				this.observe(serviceTime, outcome, startedAt);
				serviceTime.pending -= 1;
				this.inProgress -= 1;
				this.startWaitingCalls();
			},
		};
	}

	private observe(serviceTime: ServiceTime, outcome: ReleaseOutcome, startedAt: number): void {
		const now = this.clock.now();
		const latencyMilliseconds = now - startedAt;
		const succeeded = outcome === 'ok';
		for (const time of [serviceTime, this.serviceTimes.overall]) {
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

	/** Changes the healthy share by one slot per call, so that it only falls while more than half of the calls fail. */
	private observeHealth(succeeded: boolean, now: number): void {
		const step = 1 / this.slots;
		const wasDown = this.healthyShare <= step;
		this.healthyShare = Math.min(1, Math.max(step, this.healthyShare + (succeeded ? step : -step)));
		if (wasDown && succeeded && this.slots > 1) {
			// The target failed every call and now completes one, so it was most likely restarted and is cold.
			this.rampStartedAt = now;
		}
	}

	private startWaitingCalls(): void {
		while (this.queue.length > 0 && this.inProgress < this.limit) {
			const next = this.queue.takeFirst()!;
			if (this.controlsOn && this.clock.now() > next.latestStartAt) {
				// The expiry timer can be late when the event loop is busy.
				next.refuse(RefusalReason.cannotFinishInTime);
				this.options.metrics?.count('admission.expired');
			} else {
				next.settle(this.start(next.serviceTime));
			}
		}
	}

	private observeQueue(): QueueObservation {
		const {average} = this.serviceTimes.overall;
		const acceptableMilliseconds = Math.max(levelOptions.queueingMilliseconds, average * levelOptions.queueingServiceTimes);
		const acceptableLength = average === 0 ? this.maximumQueued : Math.floor(acceptableMilliseconds * this.limit / average);
		return {
			firstDelayedPriority: this.queue.at(acceptableLength)?.priority,
			idleShare: this.queue.length === 0 ? Math.max(0, 1 - (this.inProgress / this.limit)) : 0, stepIntervalMilliseconds: average * levelOptions.stepIntervalServiceTimes,
		};
	}

	/** Estimated time until the target has started a number of queued calls. */
	private estimatedWaitMilliseconds(queuedCalls: number): number {
		return queuedCalls * this.serviceTimes.overall.average / this.limit;
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

	private createRefusal(reason: RefusalReasonName): Admission {
		this.options.metrics?.count('admission.refused', {reason});
		const base = Math.min(
			admissionOptions.maximumRetryAfterMilliseconds,
			Math.max(admissionOptions.minimumRetryAfterMilliseconds, this.estimatedWaitMilliseconds(this.queue.length)),
		);
		return {admitted: false, reason, retryAfterMilliseconds: Math.round(base * (1 + uniformFloat64(this.random)))};
	}
}
