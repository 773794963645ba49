/**
 * Guards the number of calls to the configuration service: watchers always call it, other nodes only when nothing has confirmed their
 * records for a while, and during an outage all of them together at a bounded rate.
 */
import {describe, expect, it} from 'vitest';
import {millisecondsUntilCall, watchDutyOptions, type DutyState} from './watch-duty.js';

const {staleMilliseconds, staleMillisecondsPerRank} = watchDutyOptions;
const now = 100_000;
const never = Number.NEGATIVE_INFINITY;
const fresh: DutyState = {
	now, isWatcher: false, rank: 2, nodeCount: 15, confirmedAt: now - 100, peerAttemptAt: never, ownAttemptAt: never,
};
const stale: DutyState = {...fresh, confirmedAt: now - 5000};

it.each<[string, DutyState, number]>([
	['a watcher calls at once', {...fresh, isWatcher: true}, 0],
	['a node with confirmed records waits until they are stale, longer with a higher rank', fresh, staleMilliseconds - 100 + (2 * staleMillisecondsPerRank)],
	['a node that hears nothing calls at once when its records are stale', stale, 0],
	['calls of others before the last confirmation count for nothing', {...stale, peerAttemptAt: now - 5100}, 0],
	['a node waits for its share of the probes while others call without success', {...stale, confirmedAt: now - 1500, peerAttemptAt: now - 50}, 375],
	['a node that probed waits for a whole interval', {...stale, peerAttemptAt: now - 50, ownAttemptAt: now - 75}, 1800],
	['a node that no longer hears of calls of others calls at once', {...stale, peerAttemptAt: now - 1600, ownAttemptAt: now - 75}, 0],
])('%s', (_name, state, milliseconds) => {
	expect(millisecondsUntilCall(state, 0.5)).toBe(milliseconds);
});

describe('the probes of a whole fleet during an outage do not grow with it', () => {
	it.each([15, 196, 1340])('%i nodes', nodeCount => {
		let calls = 0;
		const seconds = 60;
		for (let node = 0; node < nodeCount; node += 1) {
			let ownAttemptAt = never;
			let random = (node * 0.618) % 1;
			for (let time = 2000; time < seconds * 1000; time += 50) {
				const state = {
					...stale, now: time, confirmedAt: 0, rank: 16, nodeCount, peerAttemptAt: time - 100, ownAttemptAt,
				};
				if (millisecondsUntilCall(state, random) === 0) {
					calls += 1;
					ownAttemptAt = time;
					random = (random + 0.382) % 1;
				}
			}
		}

		expect(calls / seconds).toBeLessThanOrEqual(watchDutyOptions.fleetProbesPerSecond * 1.5);
	});
});
