/**
 * The fleet view of one node.
 */
import type {FleetInstance, FleetList} from './fleet-list.js';
import {highestRanked} from './rendezvous.js';

const neighboursInside = 4;
const neighboursOutside = 2;
const watchersPerDomain = 2;

/**
 * Holds the published list and the instances that this node knows to be leaving.
 *
 * @public
 */
export class FleetView {
	private byName = new Map<string, FleetInstance>();
	private byService = new Map<string, FleetInstance[]>();
	private readonly observedLeaving = new Set<string>();

	constructor(private readonly self: {instance: string; failureDomain: string}) {}

	get size(): number {
		return this.byName.size;
	}

	replace(list: FleetList): void {
		this.byName = new Map(list.instances.map(instance => [instance.name, instance]));
		this.byService = new Map();
		for (const instance of list.instances) {
			const others = this.byService.get(instance.service) ?? [];
			others.push(instance);
			this.byService.set(instance.service, others);
		}

		for (const name of this.observedLeaving) {
			if (!this.byName.has(name)) {
				this.observedLeaving.delete(name);
			}
		}
	}

	hasService(service: string): boolean {
		return this.byService.has(service);
	}

	instance(name: string): FleetInstance | undefined {
		return this.byName.get(name);
	}

	/** Instances of a service that take new work, as far as this node knows. */
	candidates(service: string): FleetInstance[] {
		return (this.byService.get(service) ?? []).filter(instance =>
			instance.state === 'live' && !this.observedLeaving.has(instance.name));
	}

	noteLeaving(name: string): void {
		this.observedLeaving.add(name);
	}

	noteJoined(name: string): void {
		this.observedLeaving.delete(name);
	}

	/** Control neighbours: some in the own failure domain, some outside. */
	neighbours(): FleetInstance[] {
		const others = [...this.byName.values()].filter(instance => instance.name !== this.self.instance);
		const inside = others.filter(instance => instance.failureDomain === this.self.failureDomain);
		const outside = others.filter(instance => instance.failureDomain !== this.self.failureDomain);
		return [
			...highestRanked(this.self.instance, inside, instance => instance.name, neighboursInside),
			...highestRanked(this.self.instance, outside, instance => instance.name, neighboursOutside),
		];
	}

	/** True when this node is one of its domain's watchers of the configuration service. */
	isWatcher(): boolean {
		const domain = [...this.byName.values()].filter(instance => instance.failureDomain === this.self.failureDomain);
		return highestRanked(`watch\n${this.self.failureDomain}`, domain, instance => instance.name, watchersPerDomain)
			.some(instance => instance.name === this.self.instance);
	}

	dump(): unknown {
		return {instances: this.byName.size, services: this.byService.size, observedLeaving: [...this.observedLeaving].slice(0, 50)};
	}
}
