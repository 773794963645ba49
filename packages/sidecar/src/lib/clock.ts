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

/** @public */
export const processClock: Clock = {
	now: () => performance.now(),
	after(milliseconds, task) {
		const timer = setTimeout(task, Math.max(0, milliseconds));
		return () => {
			clearTimeout(timer);
		};
	},
};
