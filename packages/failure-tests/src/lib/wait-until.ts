/**
 * Polls a condition in tests, with a timeout that is long enough to end only tests that hang.
 */
import {setTimeout as delay} from 'node:timers/promises';

const timeoutMilliseconds = 30_000;
const pollMilliseconds = 10;

/** Waits until a condition holds; the description goes into the error after the timeout. @public */
export async function waitUntil(description: string, condition: () => boolean | Promise<boolean>): Promise<void> {
	const endAt = Date.now() + timeoutMilliseconds;
	while (!await condition()) {
		if (Date.now() > endAt) {
			throw new Error(`${description} did not happen within ${timeoutMilliseconds} ms`);
		}

		await delay(pollMilliseconds);
	}
}
