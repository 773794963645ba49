/**
 * The admission level: the lowest priority whose queueing time is bearable. It is one threshold on the whole priority,
 * so a higher worth rank is never shed before a lower one.
 */

/** @public */
export const levelOptions = {
	/** Interval at which the level is adapted. */
	windowMilliseconds: 50,
	/** Queueing time above which the level rises, unless the mean service time is longer. */
	queueingMilliseconds: 20,
	/** First step down in priorities once the queue is short; doubles with each further short window. */
	firstStep: 4,
	/** Share of the bearable queue below which the level falls. */
	shortQueue: 0.5,
} as const;

const maximumCaughtUpWindows = 20;

/** What the level is derived from. @internal */
export type QueueObservation = {
	queued: number;
	/** Waiting calls that start within the bearable queueing time. */
	bearable: number;
	/** Priority of the first call that waits longer than that, where there is one. */
	firstUnbearable: number | undefined;
};

/**
 * Derives the level once per window.
 *
 * @internal
 */
export class AdmissionLevel {
	private level = 0;
	private step: number = levelOptions.firstStep;
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

		const ended = 1 + Math.floor((now - this.windowEndsAt) / levelOptions.windowMilliseconds);
		this.windowEndsAt += ended * levelOptions.windowMilliseconds;
		const observation = observe();
		for (let window = 0; window < Math.min(ended, maximumCaughtUpWindows); window += 1) {
			this.adapt(observation);
		}
	}

	private adapt(observation: QueueObservation): void {
		if (observation.firstUnbearable !== undefined) {
			this.level = Math.max(this.level, observation.firstUnbearable);
			this.step = levelOptions.firstStep;
		} else if (observation.queued <= observation.bearable * levelOptions.shortQueue) {
			this.level = Math.max(0, this.level - this.step);
			this.step *= 2;
		} else {
			this.step = levelOptions.firstStep;
		}
	}
}
