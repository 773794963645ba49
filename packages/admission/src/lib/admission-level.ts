/**
 * The admission level: the lowest priority whose queueing time is bearable. It is one threshold on the whole priority,
 * so a higher worth rank is never shed before a lower one.
 */

/** @public */
export const levelOptions = {
	/** Interval at which the level is adapted. */
	windowMilliseconds: 50,
	/** Least queueing time above which the level rises. */
	queueingMilliseconds: 20,
	/**
	 * Queueing time above which the level rises, in mean service times. A refusal wastes what the chain above has done for
	 * the call, so the queue takes up the randomness of arrivals that few slots can't.
	 */
	queueingServiceTimes: 2,
	/** Shortest time between two steps down, in mean service times: a step shows its effect after the chain was passed. */
	stepIntervalServiceTimes: 2,
	/** Step down in priorities while some slots are idle; doubles with each further step while most are. */
	initialStep: 4,
	/** Share of idle slots from which the overload counts as over. */
	mostlyIdleShare: 0.5,
} as const;

const maximumCatchUpWindows = 20;

/** What the level is derived from. @internal */
export type QueueObservation = {
	/** Priority of the first call that waits longer than is bearable, where there is one. */
	firstDelayedPriority: number | undefined;
	/** Share of the slots that are free while nothing waits. */
	idleShare: number;
	/** Shortest time between two steps down: the effect of a step is not seen before a call has passed the chain. */
	stepIntervalMilliseconds: number;
};

/**
 * Derives the level once per window.
 *
 * @internal
 */
export class AdmissionLevel {
	private level = 0;
	private step: number = levelOptions.initialStep;
	/** Windows since the last step down. */
	private windowsSinceStepDown = 0;
	private windowEndsAt: number;

	constructor(now: number) {
		this.windowEndsAt = now + levelOptions.windowMilliseconds;
	}

	get current(): number {
		return this.level;
	}

	/** Adapts the level for each window that ended. */
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
		this.windowsSinceStepDown = 0;
	}

	private adapt(observation: QueueObservation): void {
		if (observation.firstDelayedPriority !== undefined) {
			this.level = Math.max(this.level, observation.firstDelayedPriority);
			this.step = levelOptions.initialStep;
			this.windowsSinceStepDown = 0;
			return;
		}

		this.windowsSinceStepDown += 1;
		if (observation.idleShare >= levelOptions.mostlyIdleShare) {
			this.lower(this.step);
			this.step *= 2;
			return;
		}

		this.step = levelOptions.initialStep;
		// Busy slots and a short queue are what the level is for.
		if (observation.idleShare > 0 && this.windowsSinceStepDown * levelOptions.windowMilliseconds >= observation.stepIntervalMilliseconds) {
			this.lower(this.step);
		}
	}
}
