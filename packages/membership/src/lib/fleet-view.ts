/**
 * The fleet view of one node: the latest published list, corrected by what the node observed itself.
 */
import {performance} from 'node:perf_hooks';
import type {FleetInstance, FleetList} from './fleet-list.js';
import {ObservedLeaving} from './observed-leaving.js';
import {highestRanked, highestRankedPairs} from './rendezvous.js';

/** @public */
export const membershipOptions = {
	/** Control neighbours in the own failure domain. */
	neighboursInside: 4,
	/** Control neighbours outside it. */
	neighboursOutside: 2,
	/** Instances per failure domain that watch the configuration service. */
	watchersPerDomain: 2,
	/** Time without news for which the list is believed for new connections to instances not otherwise seen. */
	confirmationLifetimeMilliseconds: 60_000,
	/** A pause longer than this puts the list in doubt: peers close a connection that is silent for as long. */
	pauseThresholdMilliseconds: 3000,
} as const;

type ListIndex = {
	byName: Map<string, FleetInstance>;
	byService: Map<string, FleetInstance[]>;
	byDomain: Map<string, FleetInstance[]>;
};

/** Choices that depend only on the list, computed at first use and kept until the next list. */
type Choices = {neighbours?: FleetInstance[]; watcher?: boolean};

/**
 * Holds the published list and what this node knows better: instances that are leaving and instances that it is
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

	/** False after a long silence of peers and platform, or after a pause, until one of them confirms the list. */
	get confirmed(): boolean {
		return this.now() - this.confirmedAt < membershipOptions.confirmationLifetimeMilliseconds;
	}

	/** Takes a new list, as published. */
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

	/** Instances of a service that take new work, as far as this node knows. */
	candidates(service: string): FleetInstance[] {
		const {confirmed: believed} = this;
		return (this.index.byService.get(service) ?? []).filter(instance =>
			instance.state === 'live' && !this.leaving.has(instance.name) && (believed || this.isSeen(instance.name)));
	}

	/** Records that a peer or the platform answered, which confirms the list or brings a newer one. */
	confirm(): void {
		this.confirmedAt = this.now();
	}

	/** Records a pause of this process. After a long one the list counts as stale until it is confirmed. */
	notePause(milliseconds: number): void {
		if (milliseconds >= membershipOptions.pauseThresholdMilliseconds) {
			this.confirmedAt = Number.NEGATIVE_INFINITY;
		}
	}

	noteConnected(name: string): void {
		this.connections.set(name, (this.connections.get(name) ?? 0) + 1);
	}

	noteDisconnected(name: string): void {
		const count = (this.connections.get(name) ?? 0) - 1;
		if (count > 0) {
			this.connections.set(name, count);
		} else {
			this.connections.delete(name);
		}
	}

	/** Records that an incarnation of an instance said that it leaves. */
	noteLeaving(name: string, incarnation: string): void {
		this.leaving.noteLeaving(name, incarnation);
	}

	/** Records that an incarnation of an instance greeted this node and stays. */
	noteJoined(name: string, incarnation: string): void {
		this.leaving.noteJoined(name, incarnation);
	}

	/** Control neighbours: some in the own failure domain, some outside. */
	neighbours(): readonly FleetInstance[] {
		this.choices.neighbours ??= this.chooseNeighbours();
		return this.choices.neighbours;
	}

	/** True when this node is one of its domain's watchers of the configuration service. */
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

	private isSeen(name: string): boolean {
		return name === this.self.instance || this.connections.has(name);
	}

	private chooseNeighbours(): FleetInstance[] {
		const inside: FleetInstance[] = [];
		const outside: FleetInstance[] = [];
		for (const instance of this.index.byName.values()) {
			if (instance.name !== this.self.instance) {
				(instance.failureDomain === this.self.failureDomain ? inside : outside).push(instance);
			}
		}

		const choose = (candidates: FleetInstance[], count: number) =>
			highestRankedPairs(this.self.instance, candidates, instance => instance.name, count);
		return [...choose(inside, membershipOptions.neighboursInside), ...choose(outside, membershipOptions.neighboursOutside)];
	}

	private chooseWatchers(): FleetInstance[] {
		const {failureDomain} = this.self;
		const domain = (this.index.byDomain.get(failureDomain) ?? []).filter(instance => instance.state === 'live');
		return highestRanked(`watch\n${failureDomain}`, domain, instance => instance.name, membershipOptions.watchersPerDomain);
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
