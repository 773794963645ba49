/**
 * Selects the instances and nodes that one node works with, so that its links and its work do not grow with the fleet: a few instances
 * of each service for requests, a few nodes with which it exchanges records, and the few nodes of the fleet that watch the
 * configuration service. Rendezvous hashing makes the choices stable: a change of one instance moves only choices that involve it.
 * Each choice takes the local failure domain first and keeps some instances in other domains, so that the loss of a domain leaves a
 * choice. Every node computes the choices on its own from its records; nodes with different records may choose more watchers than
 * needed.
 */
import {highestWeighted, highestWeightedPairs, membershipOptions} from '@hemlockthread/membership';
import {InstanceState, type TargetInstance} from './fleet-model.js';

/** @public */
export const neighbourhoodOptions = {
	/** Instances of each service that a node sends requests to. */
	instancesPerService: 8,
	/** The part of these that may be in the local failure domain. */
	localInstancesPerService: 5,
	/** Nodes of the fleet that watch the configuration service, in different failure domains if there are as many. */
	watchers: 3,
	/** Substitutes for watchers that are told apart by rank; all others have the same rank. */
	maximumRank: 16,
} as const;

type Choices = {
	byService: ReadonlyMap<string, readonly TargetInstance[]>;
	exchangeHosts: readonly string[];
	isWatcher: boolean;
	watchRank: number;
};

/**
 * The neighbourhood of one node, computed from its records when they have changed.
 *
 * @public
 */
export class Neighbourhood {
	private choices: Choices | undefined;

	constructor(private readonly self: {host: string; failureDomain: string}, private readonly instances: () => readonly TargetInstance[]) {}

	/** Discards the choices after a change of the records. */
	invalidate(): void {
		this.choices = undefined;
	}

	/** The instances of a service that this node sends requests to. */
	instancesOf(service: string): readonly TargetInstance[] {
		return this.current.byService.get(service) ?? [];
	}

	/** All instances that this node sends requests to. */
	get targets(): TargetInstance[] {
		return [...this.current.byService.values()].flat();
	}

	/** Hosts of the nodes with which this node exchanges records. */
	get exchangeHosts(): readonly string[] {
		return this.current.exchangeHosts;
	}

	/** True if this node watches the configuration service. */
	get isWatcher(): boolean {
		return this.current.isWatcher;
	}

	/** Position of this node among the substitutes for watchers of its failure domain. */
	get watchRank(): number {
		return this.current.watchRank;
	}

	private get current(): Choices {
		this.choices ??= this.choose();
		return this.choices;
	}

	private choose(): Choices {
		const instances = this.instances();
		const hostsByDomain = new Map([[this.self.failureDomain, new Set([this.self.host])]]);
		for (const {address, failureDomain} of instances) {
			const hosts = hostsByDomain.get(failureDomain) ?? new Set<string>();
			hosts.add(address.host);
			hostsByDomain.set(failureDomain, hosts);
		}

		const localHosts = [...hostsByDomain.get(this.self.failureDomain)!];
		const rank = highestWeighted('watch', localHosts, host => host, neighbourhoodOptions.maximumRank).indexOf(this.self.host);
		return {
			byService: this.chooseInstances(instances),
			exchangeHosts: this.chooseExchangeHosts(hostsByDomain),
			isWatcher: chooseWatchers(hostsByDomain).has(this.self.host),
			watchRank: rank === -1 ? neighbourhoodOptions.maximumRank : rank,
		};
	}

	private chooseInstances(instances: readonly TargetInstance[]): Map<string, TargetInstance[]> {
		const {instancesPerService, localInstancesPerService} = neighbourhoodOptions;
		const candidates = new Map<string, {local: TargetInstance[]; remote: TargetInstance[]; own: TargetInstance[]}>();
		for (const instance of instances) {
			if (instance.state !== InstanceState.ready) {
				continue;
			}

			const lists = candidates.get(instance.service) ?? {local: [], remote: [], own: []};
			candidates.set(instance.service, lists);
			if (instance.address.host === this.self.host) {
				lists.own.push(instance);
			} else {
				lists[instance.failureDomain === this.self.failureDomain ? 'local' : 'remote'].push(instance);
			}
		}

		const choose = (list: TargetInstance[], count: number) => highestWeightedPairs(this.self.host, list, ({address}) => address.host, Math.max(0, count));
		const chosen = new Map<string, TargetInstance[]>();
		for (const [service, {local, remote, own}] of candidates) {
			const remoteCount = Math.min(remote.length, Math.max(instancesPerService - localInstancesPerService, instancesPerService - local.length - own.length));
			chosen.set(service, [...own, ...choose(local, instancesPerService - remoteCount - own.length), ...choose(remote, remoteCount)]);
		}

		return chosen;
	}

	private chooseExchangeHosts(hostsByDomain: ReadonlyMap<string, ReadonlySet<string>>): string[] {
		const local: string[] = [];
		const remote: string[] = [];
		for (const [domain, hosts] of hostsByDomain) {
			for (const host of hosts) {
				if (host !== this.self.host) {
					(domain === this.self.failureDomain ? local : remote).push(host);
				}
			}
		}

		const {neighboursInLocalDomain, neighboursInOtherDomains} = membershipOptions;
		const choose = (hosts: string[], count: number) => highestWeightedPairs(this.self.host, hosts, host => host, count);
		return [...choose(local, neighboursInLocalDomain), ...choose(remote, neighboursInOtherDomains)];
	}
}

/** Chooses the first hosts of different failure domains; with fewer domains than watchers, more of each. */
function chooseWatchers(hostsByDomain: ReadonlyMap<string, ReadonlySet<string>>): ReadonlySet<string> {
	const {watchers} = neighbourhoodOptions;
	const domains = highestWeighted('watch', hostsByDomain.keys(), domain => domain, watchers);
	const perDomain = Math.ceil(watchers / domains.length);
	return new Set(domains.flatMap(domain => highestWeighted('watch', hostsByDomain.get(domain)!, host => host, perDomain)));
}
