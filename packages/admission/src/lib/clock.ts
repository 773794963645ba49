/**
 * Time as the controller sees it, so that tests and measurements can replace it.
 */
import {performance} from 'node:perf_hooks';

/** @public */
export type AdmissionClock = {
	/** Monotonic time in milliseconds. */
	now(): number;
	/** Runs a function after a wait; returns a function that cancels it. */
	schedule(milliseconds: number, run: () => void): () => void;
};

/** @public */
export const systemClock: AdmissionClock = {
	now: () => performance.now(),
	schedule(milliseconds, run) {
		const timer = setTimeout(run, milliseconds);
		return () => {
			clearTimeout(timer);
		};
	},
};
