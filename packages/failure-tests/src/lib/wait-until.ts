/**
 * Waiting for a condition in tests, with a generous limit that only ends a test that hangs.
 */
import {setTimeout as delay} from 'node:timers/promises';

const limitMilliseconds = 30_000;
const pollMilliseconds = 10;

/** Waits until a condition holds. @public */
export async function waitUntil(what: string, condition: () => boolean | Promise<boolean>): Promise<void> {
	const endAt = Date.now() + limitMilliseconds;
	while (!await condition()) {
		if (Date.now() > endAt) {
			throw new Error(`${what} did not happen within ${limitMilliseconds} ms`);
		}

		await delay(pollMilliseconds);
	}
}
