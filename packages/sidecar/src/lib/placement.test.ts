/**
 * Guards the choice of instances by the requests that each one gets: a slow or new instance must not stay without any, and must not
 * get them while it is busy, failing or in another failure domain.
 */
import {describe, expect, it} from 'vitest';
import {FakeClock} from './fake-clock.js';
import type {TargetInstance} from './fleet-model.js';
import type {LoadReport} from './link-messages.js';
import {Placement, placementOptions} from './placement.js';

const report: LoadReport = {
	active: 0, waiting: 0, limit: 10, meanMilliseconds: 100, successShare: 1,
};

const instance = (name: string, failureDomain = 'a'): TargetInstance => ({
	name, service: 'racks', address: {host: name, port: 80}, failureDomain, slots: 10, state: 'ready', startedAtUnixMilliseconds: 1, reportCount: 1, coldMilliseconds: 0,
});

/** Sends a request each 100 ms for ten seconds; returns how many the instance named `slow` gets. */
function requestsOfSlow(slow: TargetInstance, load: Partial<LoadReport>): number {
	const clock = new FakeClock();
	const placement = new Placement('a', clock, () => 0.5);
	const candidates = [instance('fast'), slow];
	let count = 0;
	for (let step = 0; step < 100; step += 1) {
		clock.advance(100);
		placement.recordLoad('fast', report);
		placement.recordLoad('slow', {...report, meanMilliseconds: 300, ...load});
		const chosen = placement.choose({candidates, excluded: new Set(), isReachable: () => true})!;
		placement.begin(chosen);
		placement.end(chosen, 'served');
		count += chosen === slow ? 1 : 0;
	}

	return count;
}

describe('an instance that is slower than another one', () => {
	const trials = Math.floor(10_000 / placementOptions.trialIntervalMilliseconds) + 1;

	it.each<[string, TargetInstance, Partial<LoadReport>, number]>([
		['gets its first request at once, and one each interval', instance('slow'), {}, trials],
		['gets none while it is busy', instance('slow'), {active: 8}, 0],
		['gets none while it fails', instance('slow'), {successShare: 0.8}, 0],
		['gets none in another domain', instance('slow', 'b'), {}, 0],
	])('%s', (_name, slow, load, count) => {
		expect(requestsOfSlow(slow, load)).toBe(count);
	});
});
