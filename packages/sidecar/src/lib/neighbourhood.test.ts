/**
 * Guards against links that grow with the fleet, servers that few nodes send requests to, parts of the fleet that changes do not
 * reach, and a fleet without watchers, at up to the design size.
 */
import {describe, expect, it} from 'vitest';
import type {TargetInstance} from './fleet-model.js';
import {Neighbourhood, neighbourhoodOptions} from './neighbourhood.js';

const domains = ['a', 'b', 'c', 'd', 'e'];
/** Services with their share of the fleet, as in a deployment of the users. */
const services: ReadonlyArray<readonly [string, number]> = [['provenance', 0.47], ['releases', 0.31], ['intake', 0.13], ['racks', 0.09]];
const sizes = [30, 300, 1340];
/** The instances of four services, and six neighbours chosen here. */
const maximumDialled = (4 * neighbourhoodOptions.instancesPerService) + 6;

function fleetOf(size: number, seed: number): TargetInstance[] {
	const list: TargetInstance[] = [];
	for (const [service, share] of services) {
		for (let index = 0; index < Math.max(3, Math.round(size * share)); index += 1) {
			list.push(instance(`${seed}-${list.length}`, service, domains[list.length % domains.length]!));
		}
	}

	return list;
}

function instance(host: string, service: string, failureDomain: string): TargetInstance {
	return {
		name: `i-${host}`, service, address: {host, port: 80}, failureDomain, slots: 10, state: 'ready', startedAtUnixMilliseconds: 1, reportCount: 1, coldMilliseconds: 0,
	};
}

const neighbourhoodOf = ({address, failureDomain}: TargetInstance, fleet: readonly TargetInstance[]) =>
	new Neighbourhood({host: address.host, failureDomain}, () => fleet);

/** The connections on which records are exchanged: a node exchanges them with those that it chose and those that chose it. */
function connect(fleet: readonly TargetInstance[]): Map<string, Set<string>> {
	const edges = new Map(fleet.map(node => [node.address.host, new Set<string>()]));
	for (const node of fleet) {
		for (const host of neighbourhoodOf(node, fleet).exchangeHosts) {
			edges.get(node.address.host)!.add(host);
			edges.get(host)!.add(node.address.host);
		}
	}

	return edges;
}

/** Number of nodes that news from the first one reaches, and the hops to the farthest, through nodes that are up. */
function reach(edges: ReadonlyMap<string, ReadonlySet<string>>, upNodes: readonly TargetInstance[]): {reached: number; hops: number} {
	const up = new Set(upNodes.map(({address}) => address.host));
	let frontier = [...up].slice(0, 1);
	const seen = new Set(frontier);
	let hops = -1;
	for (; frontier.length > 0; hops += 1) {
		frontier = frontier.flatMap(host => [...edges.get(host)!].filter(next => up.has(next) && !seen.has(next) && seen.add(next)));
	}

	return {reached: seen.size, hops};
}

describe.each(sizes)('a fleet of %i nodes', size => {
	const fleet = fleetOf(size, size);

	it('has a bounded number of links for each node, and each instance several nodes that send it requests', () => {
		const senders = new Map(fleet.map(({name}) => [name, 0]));
		for (const node of fleet) {
			const neighbourhood = neighbourhoodOf(node, fleet);
			const hosts = new Set([...neighbourhood.targets.map(({address}) => address.host), ...neighbourhood.exchangeHosts]);
			expect(hosts.size).toBeLessThanOrEqual(maximumDialled);
			for (const target of neighbourhood.targets.filter(({address}) => address.host !== node.address.host)) {
				senders.set(target.name, senders.get(target.name)! + 1);
			}
		}

		expect(Math.min(...senders.values())).toBeGreaterThanOrEqual(3);
	});

	it('offers each node instances of each service after the loss of any domain', () => {
		for (const node of fleet) {
			const neighbourhood = neighbourhoodOf(node, fleet);
			for (const [service] of services) {
				expect(new Set(neighbourhood.instancesOf(service).map(({failureDomain}) => failureDomain)).size).toBeGreaterThan(1);
			}
		}
	});

	it('spreads news to every node in a few hops, also without any domain, and within a separated domain', () => {
		const edges = connect(fleet);
		expect(reach(edges, fleet)).toEqual({reached: fleet.length, hops: expect.toSatisfy(hops => hops <= 8)});
		for (const domain of domains) {
			const inside = fleet.filter(({failureDomain}) => failureDomain === domain);
			const outside = fleet.filter(({failureDomain}) => failureDomain !== domain);
			expect(reach(edges, inside).reached).toBe(inside.length);
			expect(reach(edges, outside).reached).toBe(outside.length);
		}
	});

	it('has a few watchers in different domains', () => {
		const watchers = fleet.filter(node => neighbourhoodOf(node, fleet).isWatcher);
		expect(watchers).toHaveLength(neighbourhoodOptions.watchers);
		expect(new Set(watchers.map(({failureDomain}) => failureDomain)).size).toBe(neighbourhoodOptions.watchers);
	});

	it('sends requests to an instance that joins from several nodes, and keeps nearly all other choices', () => {
		const joined = instance('joined', 'racks', 'b');
		const after = [...fleet, joined];
		let users = 0;
		let moved = 0;
		for (const node of fleet) {
			const names = (list: readonly TargetInstance[]) => list.map(({name}) => name).filter(name => name !== joined.name);
			const before = names(neighbourhoodOf(node, fleet).targets);
			const {targets} = neighbourhoodOf(node, after);
			users += targets.includes(joined) ? 1 : 0;
			moved += names(targets).filter(name => !before.includes(name)).length;
		}

		expect(users).toBeGreaterThanOrEqual(3);
		expect(moved).toBe(0);
	});
});

it('a node that knows no other one has no neighbours and watches', () => {
	const alone = new Neighbourhood({host: 'own', failureDomain: 'a'}, () => []);
	expect({hosts: alone.exchangeHosts, targets: alone.targets, isWatcher: alone.isWatcher}).toEqual({hosts: [], targets: [], isWatcher: true});
});

it('draining instances get no place among those that requests are sent to', () => {
	const fleet = fleetOf(300, 7).map((node, index) => index % 3 === 0 ? {...node, state: 'draining' as const} : node);
	const neighbourhood = neighbourhoodOf(fleet[1]!, fleet);
	expect(neighbourhood.instancesOf('provenance')).toHaveLength(neighbourhoodOptions.instancesPerService);
	expect(neighbourhood.targets.every(({state}) => state === 'ready')).toBe(true);
});
