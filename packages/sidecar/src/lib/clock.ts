/**
 * Monotonic time and timers behind an interface, so that tests can replace them.
 */
import {performance} from 'node:perf_hooks';

/** @public */
export type Clock = {
	/** Monotonic time in milliseconds. */
	now(): number;
	/** Runs a task after a delay of at most 24 days; returns a function that cancels it. */
	after(milliseconds: number, task: () => void): () => void;
};

/** Long delays are rounded up to a multiple of this, because Node.js keeps a timer list and a heap entry for each distinct delay. */
const coarseGranularityMilliseconds = 16;
/** Shortest delay that is rounded; one rounding step is negligible for it. */
const coarseThresholdMilliseconds = 100;
/** Node.js runs a timer of a longer delay at once. */
const maximumDelayMilliseconds = (2 ** 31) - 1;

/** @public */
export const processClock: Clock = {
	now: () => performance.now(),
	after(milliseconds, task) {
		const wait = milliseconds < coarseThresholdMilliseconds
			? Math.max(0, milliseconds)
			: Math.ceil(milliseconds / coarseGranularityMilliseconds) * coarseGranularityMilliseconds;
		const timer = setTimeout(task, Math.min(wait, maximumDelayMilliseconds));
		return () => {
			clearTimeout(timer);
		};
	},
};
