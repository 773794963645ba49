/**
 * Guards against an overlay that is disconnected or concentrates its connections on a few instances, at the design size of
 * 1,300 instances in 6 failure domains.
 */
import {describe, expect, it} from 'vitest';
import type {FleetInstance} from './fleet-list.js';
import {FleetView, membershipOptions} from './fleet-view.js';

const fleetSize = 1300;
const domains = ['a', 'b', 'c', 'd', 'e', 'f'];
/** Far above the mean of about 8, and far below the number of connections that 2 KB/s of heartbeats per node allow. */
const maximumDegree = 26;

function fleetOf(seed: number): FleetInstance[] {
	return Array.from({length: fleetSize}, (_, index) => ({
		name: `seed-${seed}-instance-${index}`, service: `service-${index % 94}`, failureDomain: domains[index % domains.length]!, region: 'r',
		peerAddress: `127.1.0.1:${index + 1}`, callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:1', slots: 1, state: 'live',
	}));
}

/** The undirected graph of all control connections, with an edge where either instance chose the other. */
function connect(instances: FleetInstance[]): Map<string, Set<string>> {
	const edges = new Map(instances.map(instance => [instance.name, new Set<string>()]));
	for (const instance of instances) {
		const view = new FleetView({instance: instance.name, failureDomain: instance.failureDomain});
		view.replace({schemaVersion: 1, instances});
		for (const neighbour of view.neighbours()) {
			edges.get(instance.name)!.add(neighbour.name);
			edges.get(neighbour.name)!.add(instance.name);
		}
	}

	return edges;
}

/** The number of instances reached from the first one, and the hops to the farthest. */
function reach(edges: Map<string, Set<string>>, isUp: (name: string) => boolean): {reached: number; hops: number} {
	let frontier = [[...edges.keys()].find(name => isUp(name))!];
	const seen = new Set(frontier);
	let hops = -1;
	while (frontier.length > 0) {
		hops += 1;
		frontier = frontier.flatMap(name => [...edges.get(name)!].filter(next => isUp(next) && !seen.has(next) && seen.add(next)));
	}

	return {reached: seen.size, hops};
}

describe('overlay of 1,300 instances', () => {
	it.each([1, 2, 3, 4])('is connected with bounded degree, also without any one domain (seed %i)', seed => {
		const instances = fleetOf(seed);
		const domainOf = new Map(instances.map(instance => [instance.name, instance.failureDomain]));
		const edges = connect(instances);
		const degrees = [...edges.values()].map(peers => peers.size);
		expect(Math.max(...degrees)).toBeLessThanOrEqual(maximumDegree);
		expect(Math.min(...degrees)).toBeGreaterThanOrEqual(membershipOptions.neighboursInLocalDomain + membershipOptions.neighboursInOtherDomains);
		const whole = reach(edges, () => true);
		expect(whole.reached).toBe(fleetSize);
		expect(whole.hops).toBeLessThanOrEqual(10);
		for (const lost of domains) {
			const alive = instances.filter(instance => instance.failureDomain !== lost).length;
			expect(reach(edges, name => domainOf.get(name) !== lost).reached).toBe(alive);
			// An isolated domain must still distribute records internally.
			expect(reach(edges, name => domainOf.get(name) === lost).reached).toBe(fleetSize - alive);
		}
	});

	it('keeps most choices when one instance is replaced', () => {
		const before = fleetOf(5);
		const after = [...before.slice(1), {...before[0]!, name: 'replacement'}];
		const namesOf = (instances: FleetInstance[], self: FleetInstance) => {
			const view = new FleetView({instance: self.name, failureDomain: self.failureDomain});
			view.replace({schemaVersion: 1, instances});
			return view.neighbours().map(neighbour => neighbour.name).join(' ');
		};

		const moved = before.slice(1).filter(self => namesOf(before, self) !== namesOf(after, self));
		expect(moved.length).toBeLessThanOrEqual(2 * maximumDegree);
	});
});
