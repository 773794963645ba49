/**
 * Detects that this process was paused, for example by a freeze of its instance, so that requests which waited in a
 * socket meanwhile are not taken for fresh ones.
 */
import {performance} from 'node:perf_hooks';

/** @public */
export const pauseOptions = {
	tickMilliseconds: 50,
	/** A tick that is later than this counts as a pause. */
	thresholdMilliseconds: 250,
	/** Requests read this long after a pause may have waited through it. */
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

	/** Longest time in milliseconds that a request read now can have waited because of a pause. */
	possibleWaitMilliseconds(): number {
		// Sockets are read before timers after a pause, so a late tick counts as a pause before it fires.
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
