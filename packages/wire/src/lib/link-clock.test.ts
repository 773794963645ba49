/**
 * Guards against a request that waited in a socket and is treated as new because its age was underestimated.
 */
import {describe, expect, it} from 'vitest';
import {LinkClock} from './link-clock.js';

/** The peer's clock is `offset` ms behind the local one; transit takes `transit` ms each way. */
const offset = 5000;
const transit = 2;

describe('LinkClock', () => {
	it.each([
		{name: 'a fresh frame', heldMilliseconds: 0},
		{name: 'a frame held for 20 s in the socket', heldMilliseconds: 20_000},
		{name: 'a frame held for 300 ms', heldMilliseconds: 300},
	])('$name has an age between its delay and its delay plus one round trip', ({heldMilliseconds}) => {
		const clock = new LinkClock();
		const localHelloSentAt = 10_000;
		const peerHelloSentAt = localHelloSentAt + transit - offset;
		clock.recordFrame(peerHelloSentAt, localHelloSentAt, localHelloSentAt + (2 * transit));
		const sentAt = 11_000 - offset;
		const age = clock.recordFrame(sentAt, localHelloSentAt, 11_000 + transit + heldMilliseconds);
		expect(age).toBeGreaterThanOrEqual(heldMilliseconds + transit);
		const driftMilliseconds = 200e-6 * (heldMilliseconds + 1000);
		expect(age).toBeLessThanOrEqual(heldMilliseconds + (2 * transit) + driftMilliseconds);
	});

	it('never underestimates when the first frames were already delayed', () => {
		const clock = new LinkClock();
		const localHelloSentAt = 10_000;
		const peerHelloSentAt = localHelloSentAt + transit - offset;
		const wokenAt = localHelloSentAt + 20_000;
		clock.recordFrame(peerHelloSentAt, localHelloSentAt, wokenAt);
		expect(clock.recordFrame(peerHelloSentAt + 1, localHelloSentAt, wokenAt)).toBeGreaterThanOrEqual(19_990);
	});

	it.each([
		{name: 'the peer received no stamp', heard: undefined},
		{name: 'the peer claims a stamp from the future', heard: 99_999},
	])('is unbounded while $name', ({heard}) => {
		expect(new LinkClock().recordFrame(1, heard, 50)).toBe(Number.POSITIVE_INFINITY);
	});

	it('still bounds the age after a day of clock drift', () => {
		const clock = new LinkClock();
		const dayMilliseconds = 86_400_000;
		const drift = 100e-6;
		clock.recordFrame(1000 - offset, 999, 1002);
		// The peer's clock runs fast, so the earlier bound is too high by the drift.
		const sentAt = 1000 - offset + (dayMilliseconds * (1 + drift));
		const age = clock.recordFrame(sentAt, undefined, 1000 + dayMilliseconds + transit + 500);
		expect(age).toBeGreaterThanOrEqual(500);
	});
});
