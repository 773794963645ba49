/**
 * Tests of the expected number of requests that a request causes, for call graphs without and with cycles.
 */
import {describe, expect, it} from 'vitest';
import {CallProfile, type CallsByRoute, type ProfiledRoute} from './call-profile.js';

const maximumDepth = 10;
/** A request handler asks for the counts of each route twice a second; this is far above the time for a few hundred calls. */
const maximumMilliseconds = 200;

function requestsOf(name: string, calls: CallsByRoute): Record<string, number> {
	const routes = new Map<string, ProfiledRoute>();
	const findRoute = (found: string) => {
		const route = routes.get(found) ?? {name: found, serviceWeights: [{service: found, weight: 1}]};
		routes.set(found, route);
		return route;
	};

	const profile = new CallProfile();
	profile.recordPeerCalls('peer', calls);
	return Object.fromEntries(profile.requestsByService(findRoute(name), findRoute));
}

describe('the requests that a request causes', () => {
	it.each<[string, CallsByRoute, Record<string, number>]>([
		['alone', {}, {a: 1}],
		['in a chain', {a: {b: 2}, b: {c: 3}}, {a: 1, b: 2, c: 6}],
		['over two paths to one route', {a: {b: 1, c: 2}, b: {d: 1}, c: {d: 1}}, {
			a: 1, b: 1, c: 2, d: 3,
		}],
		['in a cycle, up to the maximum depth', {a: {a: 1}}, {a: maximumDepth + 1}],
		['in a cycle of two', {a: {b: 0.5}, b: {a: 0.5}}, {a: 1 + 0.25 + (0.25 ** 2) + (0.25 ** 3) + (0.25 ** 4) + (0.25 ** 5), b: 0.5 * (1 + 0.25 + (0.25 ** 2) + (0.25 ** 3) + (0.25 ** 4))}],
	])('%s', (_name, calls, expected) => {
		expect(requestsOf('a', calls)).toEqual(expected);
	});

	/** Guards against a process that computes for minutes: each path through the graph was followed on its own. */
	it('are counted in time proportional to the graph, also if each route calls each other', () => {
		const names = Array.from({length: 6}, (_, index) => `route${index}`);
		const everyOther = Object.fromEntries(names.map(name => [name, 0.1]));
		const startedAt = performance.now();
		requestsOf(names[0]!, Object.fromEntries(names.map(name => [name, everyOther])));
		expect(performance.now() - startedAt).toBeLessThan(maximumMilliseconds);
	});
});
