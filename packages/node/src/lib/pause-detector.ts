/**
 * Detects pauses of this process, for example by a freeze of its instance. Requests that waited in a socket during a
 * pause would otherwise be treated as new, although their deadlines may have passed.
 */
import {performance} from 'node:perf_hooks';

/** @public */
export const pauseOptions = {
	tickMilliseconds: 50,
	/** Delay of a tick from which it counts as a pause. */
	thresholdMilliseconds: 250,
	/** Time after a pause in which a request that is read may have waited during the pause. */
	settleMilliseconds: 250,
} as const;

/**
 * Measures pauses of the event loop.
 *
 * @public
 */
export class PauseDetector {
	private lastTickAt = performance.now();
	private pauseMilliseconds = 0;
	private pauseEndedAt = Number.NEGATIVE_INFINITY;
	private readonly timer = setInterval(() => {
		this.tick();
	}, pauseOptions.tickMilliseconds);

	constructor(private readonly onPause: (milliseconds: number) => void) {
		this.timer.unref();
	}

	/** Returns the maximum time that a request read now can have waited because of a pause. */
	maximumPauseWaitMilliseconds(): number {
		// After a pause the event loop may read sockets before it runs timers, so an overdue tick already counts as a pause.
		this.tick(false);
		return performance.now() - this.pauseEndedAt < pauseOptions.settleMilliseconds ? this.pauseMilliseconds : 0;
	}

	stop(): void {
		clearInterval(this.timer);
	}

	private tick(fromTimer = true): void {
		const now = performance.now();
		const delayMilliseconds = now - this.lastTickAt - pauseOptions.tickMilliseconds;
		if (delayMilliseconds > pauseOptions.thresholdMilliseconds) {
			this.pauseMilliseconds = delayMilliseconds;
			this.pauseEndedAt = now;
			this.lastTickAt = now;
			this.onPause(delayMilliseconds);
		} else if (fromTimer) {
			this.lastTickAt = now;
		}
	}
}
