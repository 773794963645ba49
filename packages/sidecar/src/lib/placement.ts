/**
 * Chooses the instance for a request from the load reports of peers and the locally observed outcomes. Callers, slots and speeds
 * differ between failure domains, and traffic between domains costs money: the local domain is preferred until its instances are
 * busy, beyond that the lowest expected completion time wins. Jitter keeps nodes that hold the same reports from choosing the same
 * instance. While there is free capacity, each instance of the local domain gets a request now and then: a slow or new one would
 * otherwise get none, so that its service time and its failures stayed unknown until the others are busy.
 */
import type {Clock} from './clock.js';
import type {TargetInstance} from './fleet-model.js';
import type {LoadReport} from './link-messages.js';

/** @public */
export const placementOptions = {
	/** Utilization up to which an instance counts as free. */
	busyUtilization: 0.75,
	/** Extra cost of utilization beyond `busyUtilization`, and of all utilization, as shares of the expected time per unit of utilization. */
	congestionCost: 4,
	utilizationCost: 0.2,
	/** Extra cost of an instance in another failure domain, as a share of the expected time. */
	crossDomainCost: 0.6,
	/** Mean time per request before the first report. */
	initialMeanMilliseconds: 50,
	/** Age at which a report counts half. */
	reportHalfLifeMilliseconds: 1000,
	/** Age up to which a report counts towards the load of its service; a multiple of the longest ping interval. */
	maximumReportAgeMilliseconds: 5000,
	/** Width of the random spread of each candidate's cost, as a share of it. */
	jitter: 0.1,
	/** Weight of a new outcome in the moving average of an instance's success share. */
	outcomeWeight: 0.08,
	/** Lower bound of the success share in the cost, so that a failing instance still gets some requests as probes. */
	minimumSuccessShare: 0.05,
	/** Time in which the success share of an instance without requests recovers to 1. */
	recoveryMilliseconds: 4000,
	/** Time for which an instance is avoided after it refused because it is another instance or leaving; its new record usually arrives sooner. */
	unusableMilliseconds: 3000,
	/** Extra cost of an instance during its cold start, as a share of the expected time. */
	coldCost: 1,
	/** Time without a request from this node after which an instance with free capacity is sent one. */
	trialIntervalMilliseconds: 4000,
	/** Minimum success share for that; an instance that fails more often is tried by its cost only. */
	trialSuccessShare: 0.9,
} as const;

/** @public */
export type InstanceOutcome = 'served' | 'failed' | 'unusable';

type InstanceStatistics = {
	load: LoadReport | undefined;
	reportedAt: number;
	inProgress: number;
	/** Time at which this node last sent it a request; undefined if never. */
	lastBegunAt: number | undefined;
	successShare: number;
	lastOutcomeAt: number;
	avoidUntil: number;
	firstSeenAt: number;
};

/** @public */
export type PlacementQuery = {
	candidates: readonly TargetInstance[];
	excluded: ReadonlySet<string>;
	isReachable(instance: TargetInstance): boolean;
};

/**
 * Tracks the load and success share of each instance and chooses the one with the lowest cost.
 *
 * @public
 */
export class Placement {
	private readonly states = new Map<string, InstanceStatistics>();

	constructor(private readonly localDomain: string, private readonly clock: Clock, private readonly random: () => number) {}

	/** Returns the candidate with the lowest cost; undefined if none can be used. */
	choose({candidates, excluded, isReachable}: PlacementQuery): TargetInstance | undefined {
		let best: TargetInstance | undefined;
		let bestCost = Number.POSITIVE_INFINITY;
		const now = this.clock.now();
		const trialBefore = now - placementOptions.trialIntervalMilliseconds;
		let trial: TargetInstance | undefined;
		let trialBegunAt = Number.POSITIVE_INFINITY;
		for (const candidate of candidates) {
			if (candidate.state !== 'ready' || excluded.has(candidate.name) || !isReachable(candidate)) {
				continue;
			}

			const cost = this.costOf(candidate, now);
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}

			const begunAt = this.stateOf(candidate.name).lastBegunAt ?? Number.NEGATIVE_INFINITY;
			if (begunAt < trialBefore && begunAt < trialBegunAt && this.hasFreeCapacity(candidate, now)) {
				trial = candidate;
				trialBegunAt = begunAt;
			}
		}

		return trial ?? best;
	}

	begin(instance: TargetInstance): void {
		const state = this.stateOf(instance.name);
		state.inProgress += 1;
		state.lastBegunAt = this.clock.now();
	}

	end(instance: TargetInstance, outcome: InstanceOutcome | undefined): void {
		const state = this.stateOf(instance.name);
		state.inProgress = Math.max(0, state.inProgress - 1);
		const now = this.clock.now();
		if (outcome === undefined) {
			return;
		}

		if (outcome === 'unusable') {
			state.avoidUntil = now + placementOptions.unusableMilliseconds;
			return;
		}

		const success = outcome === 'served' ? 1 : 0;
		state.successShare = this.recoveredSuccessShare(state, now);
		state.successShare += (success - state.successShare) * placementOptions.outcomeWeight;
		state.lastOutcomeAt = now;
	}

	recordLoad(name: string, load: LoadReport): void {
		const state = this.stateOf(name);
		state.load = load;
		state.reportedAt = this.clock.now();
	}

	/** Returns the last load report of an instance, unless it is too old. */
	freshLoadOf(name: string): LoadReport | undefined {
		const state = this.states.get(name);
		return state !== undefined && this.clock.now() - state.reportedAt <= placementOptions.maximumReportAgeMilliseconds ? state.load : undefined;
	}

	/** Drops the state of instances that no longer exist. */
	retain(names: ReadonlySet<string>): void {
		for (const [name, state] of this.states) {
			if (!names.has(name) && state.inProgress === 0) {
				this.states.delete(name);
			}
		}
	}

	dump(): unknown {
		return Object.fromEntries(this.states);
	}

	/** True for an instance of the local domain that by a fresh report has free slots and serves its requests. */
	private hasFreeCapacity(instance: TargetInstance, now: number): boolean {
		const state = this.stateOf(instance.name);
		const load = this.freshLoadOf(instance.name);
		return load !== undefined && instance.failureDomain === this.localDomain && state.avoidUntil <= now
			&& load.active + load.waiting < load.limit * placementOptions.busyUtilization
			&& this.recoveredSuccessShare(state, now) * load.successShare >= placementOptions.trialSuccessShare;
	}

	private costOf(instance: TargetInstance, now: number): number {
		const state = this.stateOf(instance.name);
		if (state.avoidUntil > now) {
			return Number.POSITIVE_INFINITY;
		}

		const {load} = state;
		const mean = load?.meanMilliseconds ?? placementOptions.initialMeanMilliseconds;
		const limit = load?.limit ?? instance.slots;
		const age = now - state.reportedAt;
		const reportWeight = load === undefined ? 0 : 0.5 ** (age / placementOptions.reportHalfLifeMilliseconds);
		const reported = load === undefined ? 0 : (load.active + load.waiting) * reportWeight;
		const utilization = Math.max(reported, state.inProgress) / limit;
		const congestion = Math.max(0, utilization - placementOptions.busyUtilization) * placementOptions.congestionCost;
		let cost = mean * (1 + congestion + (utilization * placementOptions.utilizationCost));
		cost /= Math.max(placementOptions.minimumSuccessShare, this.recoveredSuccessShare(state, now) * (load?.successShare ?? 1)) ** 2;
		if (instance.failureDomain !== this.localDomain) {
			cost += mean * placementOptions.crossDomainCost;
		}

		if (now - state.firstSeenAt < instance.coldMilliseconds) {
			cost += mean * placementOptions.coldCost;
		}

		return cost * (1 + (this.random() * placementOptions.jitter));
	}

	private recoveredSuccessShare(state: InstanceStatistics, now: number): number {
		const recovered = Math.min(1, (now - state.lastOutcomeAt) / placementOptions.recoveryMilliseconds);
		return state.successShare + ((1 - state.successShare) * recovered);
	}

	private stateOf(name: string): InstanceStatistics {
		let state = this.states.get(name);
		if (state === undefined) {
			const now = this.clock.now();
			state = {
				load: undefined, reportedAt: now, inProgress: 0, lastBegunAt: undefined, successShare: 1, lastOutcomeAt: now, avoidUntil: 0, firstSeenAt: now,
			};
			this.states.set(name, state);
		}

		return state;
	}
}
