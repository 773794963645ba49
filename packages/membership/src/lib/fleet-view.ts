/**
 * The fleet as one node sees it: the latest published list, corrected by the leaving notices and connections that the
 * node observed itself.
 */
import {performance} from 'node:perf_hooks';
import type {FleetInstance, FleetList} from './fleet-list.js';
import {ObservedLeaving} from './observed-leaving.js';
import {highestWeighted, highestWeightedPairs} from './rendezvous.js';

/** @public */
export const membershipOptions = {
	/** Control neighbours in the local failure domain. */
	neighboursInLocalDomain: 4,
	/** Control neighbours in other failure domains. */
	neighboursInOtherDomains: 2,
	/** Instances per failure domain that watch the configuration service. */
	watchersPerDomain: 2,
	/** Time without a confirmation after which only connected instances are candidates. */
	confirmationLifetimeMilliseconds: 60_000,
	/** Pause of this process that makes the list unconfirmed: peers close a connection that is silent for as long. */
	pauseThresholdMilliseconds: 3000,
} as const;

type ListIndex = {
	byName: Map<string, FleetInstance>;
	byService: Map<string, FleetInstance[]>;
	byDomain: Map<string, FleetInstance[]>;
};

/** Choices that depend only on the list, computed on first use and cached until the next list. */
type Choices = {neighbours?: FleetInstance[]; watcher?: boolean};

/**
 * Combines the published list with newer knowledge of this node: the instances that are leaving and those that it is
 * connected to.
 *
 * @public
 */
export class FleetView {
	private index: ListIndex = indexList([]);
	private choices: Choices = {};
	private confirmedAt = Number.NEGATIVE_INFINITY;
	private readonly connections = new Map<string, number>();
	private readonly leaving: ObservedLeaving;
	private readonly listeners: Array<() => void> = [];

	constructor(
		private readonly self: {instance: string; failureDomain: string},
		private readonly now: () => number = () => performance.now(),
	) {
		this.leaving = new ObservedLeaving(now);
	}

	get size(): number {
		return this.index.byName.size;
	}

	/** False after a pause, or after a long time without messages from peers and platform, until one of them confirms the list. */
	get confirmed(): boolean {
		return this.now() - this.confirmedAt < membershipOptions.confirmationLifetimeMilliseconds;
	}

	/** Replaces the list with a newly published one. */
	replace(list: FleetList): void {
		this.index = indexList(list.instances);
		this.choices = {};
		this.confirm();
		this.leaving.keepOnly(name => this.index.byName.has(name));
		for (const listener of this.listeners) {
			listener();
		}
	}

	/** Calls the listener after each new list. */
	onReplaced(listener: () => void): void {
		this.listeners.push(listener);
	}

	hasService(service: string): boolean {
		return this.index.byService.has(service);
	}

	instance(name: string): FleetInstance | undefined {
		return this.index.byName.get(name);
	}

	/** Instances of a service that accept new requests, as far as this node knows. */
	candidates(service: string): FleetInstance[] {
		const {confirmed} = this;
		return (this.index.byService.get(service) ?? []).filter(instance =>
			instance.state === 'live' && !this.leaving.has(instance.name) && (confirmed || this.isConnectedOrLocal(instance.name)));
	}

	/** Records a message from a peer or the platform, which confirms the list or delivers a newer one. */
	confirm(): void {
		this.confirmedAt = this.now();
	}

	/** Records a pause of this process. After a long pause the list is unconfirmed until the next confirmation. */
	recordPause(milliseconds: number): void {
		if (milliseconds >= membershipOptions.pauseThresholdMilliseconds) {
			this.confirmedAt = Number.NEGATIVE_INFINITY;
		}
	}

	recordConnected(name: string): void {
		this.connections.set(name, (this.connections.get(name) ?? 0) + 1);
	}

	recordDisconnected(name: string): void {
		const count = (this.connections.get(name) ?? 0) - 1;
		if (count > 0) {
			this.connections.set(name, count);
		} else {
			this.connections.delete(name);
		}
	}

	/** Records a leaving notice of an incarnation of an instance. */
	recordLeaving(name: string, incarnation: string): void {
		this.leaving.recordLeaving(name, incarnation);
	}

	/** Records that an incarnation of an instance sent a hello and is not leaving. */
	recordHello(name: string, incarnation: string): void {
		this.leaving.recordHello(name, incarnation);
	}

	/** Control neighbours, in the local failure domain and in others. */
	neighbours(): readonly FleetInstance[] {
		this.choices.neighbours ??= this.chooseNeighbours();
		return this.choices.neighbours;
	}

	/** True when this node is one of the watchers in its failure domain. */
	isWatcher(): boolean {
		this.choices.watcher ??= this.chooseWatchers().some(instance => instance.name === this.self.instance);
		return this.choices.watcher;
	}

	dump(): unknown {
		return {
			instances: this.size, services: this.index.byService.size, believed: this.confirmed, watcher: this.isWatcher(),
			neighbours: this.neighbours().map(instance => instance.name), observedLeaving: this.leaving.names.slice(0, 50),
		};
	}

	private isConnectedOrLocal(name: string): boolean {
		return name === this.self.instance || this.connections.has(name);
	}

	private chooseNeighbours(): FleetInstance[] {
		const localCandidates: FleetInstance[] = [];
		const otherCandidates: FleetInstance[] = [];
		for (const instance of this.index.byName.values()) {
			if (instance.name !== this.self.instance) {
				(instance.failureDomain === this.self.failureDomain ? localCandidates : otherCandidates).push(instance);
			}
		}

		const choose = (candidates: FleetInstance[], count: number) =>
			highestWeightedPairs(this.self.instance, candidates, instance => instance.name, count);
		return [...choose(localCandidates, membershipOptions.neighboursInLocalDomain), ...choose(otherCandidates, membershipOptions.neighboursInOtherDomains)];
	}

	private chooseWatchers(): FleetInstance[] {
		const {failureDomain} = this.self;
		const domain = (this.index.byDomain.get(failureDomain) ?? []).filter(instance => instance.state === 'live');
		return highestWeighted(`watch\n${failureDomain}`, domain, instance => instance.name, membershipOptions.watchersPerDomain);
	}
}

function indexList(instances: readonly FleetInstance[]): ListIndex {
	return {
		byName: new Map(instances.map(instance => [instance.name, instance])),
		byService: groupBy(instances, instance => instance.service),
		byDomain: groupBy(instances, instance => instance.failureDomain),
	};
}

function groupBy(instances: readonly FleetInstance[], keyOf: (instance: FleetInstance) => string): Map<string, FleetInstance[]> {
	const groups = new Map<string, FleetInstance[]>();
	for (const instance of instances) {
		const group = groups.get(keyOf(instance));
		if (group === undefined) {
			groups.set(keyOf(instance), [instance]);
		} else {
			group.push(instance);
		}
	}

	return groups;
}
