/**
 * Clock and timers of the admission controller. Tests and simulations replace them with a virtual clock.
 */
import {performance} from 'node:perf_hooks';

/** @public */
export type AdmissionClock = {
	/** Monotonic time in milliseconds. */
	now(): number;
	/** Runs a function after a delay; returns a function that cancels it. */
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
