/**
 * Monotonic time and timers, replaced in tests.
 */
import {performance} from 'node:perf_hooks';

/** @public */
export type Clock = {
	/** Monotonic time in milliseconds. */
	now(): number;
	/** Runs a task after a time; returns a function that cancels it. */
	after(milliseconds: number, task: () => void): () => void;
};

/** Longer times are rounded up to multiples of this, because Node.js keeps a list and a heap entry for each distinct time. */
const coarseStepMilliseconds = 16;
/** Times from which on a late end by one step does not matter. */
const coarseFromMilliseconds = 100;

/** @public */
export const processClock: Clock = {
	now: () => performance.now(),
	after(milliseconds, task) {
		const wait = milliseconds < coarseFromMilliseconds
			? Math.max(0, milliseconds)
			: Math.ceil(milliseconds / coarseStepMilliseconds) * coarseStepMilliseconds;
		const timer = setTimeout(task, wait);
		return () => {
			clearTimeout(timer);
		};
	},
};
