/**
 * Chooses among a bounded subset of a service's instances by observed load, and remembers the admission level of each.
 */
import {performance} from 'node:perf_hooks';
import {highestRanked, type FleetInstance, type FleetView} from '@hemlockthread/membership';

/** @public */
export const routingOptions = {
	/** Instances of a called service in the own failure domain that this node uses. */
	subsetInside: 4,
	/** Instances of a called service outside the own failure domain that this node uses. */
	subsetOutside: 2,
	/** Time for which a level heard from an instance is believed. */
	levelLifetimeMilliseconds: 1000,
	/** One call in this many passes below a known level, to notice when the level falls. */
	probeInterval: 50,
} as const;

/** @public */
export type ChoiceRequest = {
	service: string;
	rootKind: string;
	priority: number;
	/** Instances already tried for this call. */
	exclude: ReadonlySet<string>;
};

/** @public */
export type CallOutcome = 'answered' | 'refused' | 'failed' | 'abandoned';

/** A chosen instance; `finish` must be called once. @public */
export type Candidate = {
	instance: FleetInstance;
	finish(outcome: CallOutcome, latencyMilliseconds: number, level?: number): void;
};

/** What this node knows of one candidate. @public */
export type CandidateView = {
	instance: string;
	failureDomain: string;
	/** Lowest priority that the instance is known to admit. */
	level: number;
	inProgress: number;
};

type Statistics = {
	inProgress: number;
	latency: number;
	levels: Map<string, {level: number; heardAt: number}>;
};

/**
 * Chooses target instances.
 *
 * @public
 */
export class TargetSelector {
	private readonly statistics = new Map<string, Statistics>();
	private belowLevel = 0;

	constructor(
		private readonly self: {instance: string; failureDomain: string},
		private readonly fleet: FleetView,
	) {}

	/**
	 * Chooses an instance. Returns `overloaded` when every candidate is known to refuse the priority, and `no-target`
	 * when there is no candidate.
	 */
	choose(request: ChoiceRequest): Candidate | 'overloaded' | 'no-target' {
		const candidates = this.subset(request.service).filter(instance => !request.exclude.has(instance.name));
		if (candidates.length === 0) {
			return 'no-target';
		}

		const admitting = candidates.filter(instance => this.levelOf(instance.name, request.rootKind) <= request.priority);
		if (admitting.length > 0) {
			return this.start(this.leastLoaded(admitting), request.rootKind);
		}

		this.belowLevel += 1;
		return this.belowLevel % routingOptions.probeInterval === 0
			? this.start(this.leastLoaded(candidates), request.rootKind)
			: 'overloaded';
	}

	/** Records a call to an instance that was fixed beforehand, such as an identity's executor. */
	begin(instance: FleetInstance, rootKind: string): Candidate {
		return this.start(instance, rootKind);
	}

	/** Lists the candidates of a service without choosing one. */
	view(service: string, rootKind: string): CandidateView[] {
		return this.subset(service).map(({name, failureDomain}) => ({
			instance: name, failureDomain, level: this.levelOf(name, rootKind), inProgress: this.statistics.get(name)?.inProgress ?? 0,
		}));
	}

	dump(): unknown {
		return Object.fromEntries([...this.statistics].slice(0, 200).map(([name, statistics]) =>
			[name, {inProgress: statistics.inProgress, latencyMilliseconds: statistics.latency}]));
	}

	private subset(service: string): FleetInstance[] {
		const all = this.fleet.candidates(service);
		const inside = all.filter(instance => instance.failureDomain === this.self.failureDomain);
		const outside = all.filter(instance => instance.failureDomain !== this.self.failureDomain);
		return [
			...highestRanked(this.self.instance, inside, instance => instance.name, routingOptions.subsetInside),
			...highestRanked(this.self.instance, outside, instance => instance.name, routingOptions.subsetOutside),
		];
	}

	private leastLoaded(candidates: readonly FleetInstance[]): FleetInstance {
		const inside = candidates.filter(instance => instance.failureDomain === this.self.failureDomain);
		const pool = inside.length > 0 ? inside : candidates;
		const first = pool[Math.floor(Math.random() * pool.length)]!;
		const second = pool[Math.floor(Math.random() * pool.length)]!;
		return this.score(first.name) <= this.score(second.name) ? first : second;
	}

	private score(name: string): number {
		const statistics = this.statistics.get(name);
		return statistics === undefined ? 0 : (statistics.inProgress + 1) * statistics.latency;
	}

	private levelOf(name: string, rootKind: string): number {
		const heard = this.statistics.get(name)?.levels.get(rootKind);
		return heard === undefined || performance.now() - heard.heardAt > routingOptions.levelLifetimeMilliseconds ? 0 : heard.level;
	}

	private start(instance: FleetInstance, rootKind: string): Candidate {
		let statistics = this.statistics.get(instance.name);
		if (statistics === undefined) {
			statistics = {inProgress: 0, latency: 0, levels: new Map()};
			this.statistics.set(instance.name, statistics);
		}

		const current = statistics;
		current.inProgress += 1;
		return {
			instance,
			finish(outcome, latencyMilliseconds, level) {
				current.inProgress -= 1;
				if (outcome === 'answered') {
					current.latency = current.latency === 0 ? latencyMilliseconds : (current.latency * 0.9) + (latencyMilliseconds * 0.1);
				}

				if (level !== undefined) {
					current.levels.set(rootKind, {level, heardAt: performance.now()});
				}
			},
		};
	}
}
