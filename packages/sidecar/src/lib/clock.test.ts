/**
 * Guards against timers of long delays that run at once: a request with a far deadline was answered 504 after a millisecond.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {expect, it} from 'vitest';
import {processClock} from './clock.js';

it.each([2 ** 31, 1e15, Number.POSITIVE_INFINITY])('a task after %d ms does not run at once', async milliseconds => {
	let hasRun = false;
	const cancel = processClock.after(milliseconds, () => {
		hasRun = true;
	});
	await delay(50);
	cancel();
	expect(hasRun).toBe(false);
});
