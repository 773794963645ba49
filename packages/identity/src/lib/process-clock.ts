/**
 * A clock that follows wall time as it was at process start and never steps afterwards.
 */
import {performance} from 'node:perf_hooks';

/**
 * Tells the time as wall time at construction plus monotonic time since.
 *
 * A step of the system clock after the start can't revive an identity whose table entry was already removed.
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

	/** Milliseconds of the monotonic clock; only differences have a meaning. */
	monotonic(): number {
		return this.monotonicNow();
	}
}
