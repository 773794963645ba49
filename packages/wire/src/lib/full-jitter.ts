/**
 * Waits with full jitter: uniform between zero and a ceiling that doubles with each failure.
 */
import {setTimeout as delay} from 'node:timers/promises';

/** @public */
export type JitterRange = {firstMilliseconds: number; maximumMilliseconds: number};

/** @public */
export function fullJitter(failures: number, range: JitterRange, random: () => number = Math.random): number {
	return random() * Math.min(range.maximumMilliseconds, range.firstMilliseconds * (2 ** Math.min(failures, 30)));
}

/** Waits; returns early and without error when the signal aborts. @public */
export async function abortableDelay(milliseconds: number, signal: AbortSignal): Promise<void> {
	await delay(milliseconds, undefined, {signal, ref: false}).catch(() => undefined);
}

/** Waits until one of the signals aborts. @public */
export async function waitForAbort(...signals: AbortSignal[]): Promise<void> {
	if (signals.some(signal => signal.aborted)) {
		return;
	}

	// Listeners are removed again, because some of the signals live as long as the process.
	const listening = new AbortController();
	await new Promise<void>(resolve => {
		for (const signal of signals) {
			signal.addEventListener('abort', () => {
				resolve();
			}, {signal: listening.signal});
		}
	});
	listening.abort();
}
