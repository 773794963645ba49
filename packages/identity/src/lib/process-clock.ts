/**
 * A clock that starts at wall time and then advances with the monotonic clock, so that it never steps.
 */
import {performance} from 'node:perf_hooks';

/**
 * Returns wall time at construction plus the monotonic time elapsed since then.
 *
 * A step of the system clock after the start therefore can't make an identity valid again whose table entry was already
 * removed.
 *
 * @public
 */
export class ProcessClock {
	private readonly offset: number;

	constructor(
		wallNow: () => number = Date.now,
		private readonly monotonicNow: () => number = () => performance.now(),
	) {
		this.offset = wallNow() - this.monotonicNow();
	}

	/** Milliseconds since the Unix epoch. */
	now(): number {
		return this.offset + this.monotonicNow();
	}

	/** Milliseconds of the monotonic clock; only differences are meaningful. */
	monotonic(): number {
		return this.monotonicNow();
	}
}
