/**
 * Admission level of a target: the lowest priority whose estimated queueing time is acceptable. The level is a single
 * threshold on the full priority, so calls of a higher worth rank are never shed before calls of a lower one.
 */

/** @public */
export const levelOptions = {
	/** Interval at which the level adapts. */
	windowMilliseconds: 50,
	/** Lower bound of the acceptable queueing time, above which the level rises. */
	queueingMilliseconds: 20,
	/**
	 * Acceptable queueing time in mean service times. A refusal wastes the work that upstream services have done for the
	 * call, so the queue absorbs random bursts, which a target with few slots can't absorb otherwise.
	 */
	queueingServiceTimes: 2,
	/** Minimum time between two decreases, in mean service times; the effect of one shows after calls have passed the call chain. */
	stepIntervalServiceTimes: 2,
	/** Decrease in priorities while some slots are idle; doubles in each further window while most slots are idle. */
	initialStep: 4,
	/** Share of idle slots from which the overload is considered over. */
	mostlyIdleShare: 0.5,
} as const;

/** Bound on the windows that one update applies after a period without calls. */
const maximumCatchUpWindows = 20;

/** State of the queue from which the level is derived. @internal */
export type QueueObservation = {
	/** Priority of the first queued call whose estimated wait exceeds the acceptable queueing time, if any. */
	firstDelayedPriority: number | undefined;
	/** Share of the slots that are free; 0 while calls are queued. */
	idleShare: number;
	/** Minimum time between two decreases of the level. */
	stepIntervalMilliseconds: number;
};

/**
 * Computes the admission level once per window: it rises at once to the first delayed priority and decreases in steps.
 *
 * @internal
 */
export class AdmissionLevel {
	private level = 0;
	private step: number = levelOptions.initialStep;
	/** Windows since the last decrease or the last window with a delayed call. */
	private windowsSinceChange = 0;
	private windowEndsAt: number;

	constructor(now: number) {
		this.windowEndsAt = now + levelOptions.windowMilliseconds;
	}

	get current(): number {
		return this.level;
	}

	/** Adapts the level once for each window that has ended. */
	update(now: number, observe: () => QueueObservation): void {
		if (now < this.windowEndsAt) {
			return;
		}

		const endedWindows = 1 + Math.floor((now - this.windowEndsAt) / levelOptions.windowMilliseconds);
		this.windowEndsAt += endedWindows * levelOptions.windowMilliseconds;
		const observation = observe();
		for (let window = 0; window < Math.min(endedWindows, maximumCatchUpWindows); window += 1) {
			this.adapt(observation);
		}
	}

	private lower(step: number): void {
		this.level = Math.max(0, this.level - step);
		this.windowsSinceChange = 0;
	}

	private adapt(observation: QueueObservation): void {
		if (observation.firstDelayedPriority !== undefined) {
			this.level = Math.max(this.level, observation.firstDelayedPriority);
			this.step = levelOptions.initialStep;
			this.windowsSinceChange = 0;
			return;
		}

		this.windowsSinceChange += 1;
		if (observation.idleShare >= levelOptions.mostlyIdleShare) {
			this.lower(this.step);
			this.step *= 2;
			return;
		}

		this.step = levelOptions.initialStep;
		// With all slots busy and a short queue the level is right, so it only decreases while some slots are idle.
		if (observation.idleShare > 0 && this.windowsSinceChange * levelOptions.windowMilliseconds >= observation.stepIntervalMilliseconds) {
			this.lower(this.step);
		}
	}
}
