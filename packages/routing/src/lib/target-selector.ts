/**
 * Selects the target instance of a call. Each node uses a bounded subset of the instances of a service, prefers its local
 * failure domain, picks the less loaded of two random candidates, and skips candidates whose last received admission
 * level refuses the priority of the call.
 *
 * A trial is a single call to an ejected instance whose ejection time has passed; its outcome decides whether the instance
 * is readmitted. A probe is a single call that is sent although the known level of the instance refuses it, so that
 * its response updates the known level.
 */
import {randomInt} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {highestWeighted, type FleetInstance, type FleetView} from '@hemlockthread/membership';
import type {Logs, Metrics} from '@hemlockthread/telemetry';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {CallOutcome} from './candidate-health.js';
import {CandidateStatistics} from './candidate-statistics.js';

/** @public */
export const routingOptions = {
	/** Number of instances per service that this node uses in its local failure domain. */
	localDomainSubsetSize: 4,
	/** Number of instances per service that this node uses in all other failure domains together. */
	otherDomainSubsetSize: 2,
	/**
	 * Calls spill over to another failure domain if the local latency exceeds its baseline by this factor and the local score
	 * exceeds that of the other domain by it.
	 */
	spillOverFactor: 2,
	/** Maximum share of the candidates of a service that may be ejected at the same time. */
	maximumEjectedShare: 0.5,
	/** Lifetime of a cached subset. Leaving instances and the known state of others change it without a new fleet list. */
	subsetLifetimeMilliseconds: 100,
	/** Interval for removing the statistics of instances that are no longer in the fleet list. */
	pruneMilliseconds: 1000,
	/** Maximum number of instances with statistics; the least recently used one is evicted. */
	maximumInstances: 1024,
	/** Maximum number of instances in a state dump. */
	maximumDumpedInstances: 200,
} as const;

/** @public */
export type ChoiceRequest = {
	service: string;
	rootKind: string;
	priority: number;
	/** Names of the instances that were already tried for this call. */
	exclude: ReadonlySet<string>;
	/** False if the call must not be the trial call of an ejected instance. */
	allowTrial?: boolean;
};

/** A call started to a selected instance. `finish` reports the outcome and must be called exactly once. @public */
export type Selection = {
	instance: FleetInstance;
	finish(outcome: CallOutcome, latencyMilliseconds: number, level?: number): void;
};

/** Known state of one candidate. @public */
export type CandidateView = {
	instance: string;
	failureDomain: string;
	/** Last received admission level: the lowest priority that the instance admits. */
	level: number;
	inProgress: number;
};

/** @public */
export type SelectorOptions = {
	/** `off` ignores admission levels. */
	controls?: 'on' | 'off';
	now?: () => number;
	seed?: number;
	metrics?: Pick<Metrics, 'count'>;
	logs?: Pick<Logs, 'info'>;
};

type Member = {instance: FleetInstance; isInLocalDomain: boolean; statistics: CandidateStatistics};
type Subset = {members: Member[]; cachedAt: number};

/**
 * Selects target instances and collects their statistics.
 *
 * @public
 */
export class TargetSelector {
	private readonly statistics = new Map<string, CandidateStatistics>();
	private readonly subsets = new Map<string, Subset>();
	private readonly now: () => number;
	private readonly generator: ReturnType<typeof xoroshiro128plus>;
	private readonly random: () => number;
	private prunedAt: number;
	private pausedAt = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly self: {instance: string; failureDomain: string},
		private readonly fleet: Pick<FleetView, 'candidates' | 'instance'>,
		private readonly options: SelectorOptions = {},
	) {
		this.now = options.now ?? (() => performance.now());
		this.generator = xoroshiro128plus(options.seed ?? randomInt(2 ** 31));
		this.random = () => uniformFloat64(this.generator);
		this.prunedAt = this.now();
	}

	/**
	 * Selects an instance. Candidates that are not healthy are usable only if no healthy one is left. Returns `overloaded` if
	 * the known levels of all usable candidates refuse the priority and no probe is due, and `no-target` if there is no
	 * candidate.
	 */
	choose(request: ChoiceRequest): Selection | 'overloaded' | 'no-target' {
		const now = this.now();
		const candidates = this.subsetOf(request.service, now).members.filter(member => !request.exclude.has(member.instance.name));
		if (candidates.length === 0) {
			return 'no-target';
		}

		const healthy = candidates.filter(member => member.statistics.health.state(now) === 'healthy');
		// Falls back to ejected instances if no healthy one is left for this call.
		const usable = healthy.length > 0 ? healthy : candidates;
		const admitting = usable.filter(member => this.levelAt(member, request.rootKind, now) <= request.priority);
		if (admitting.length === 0) {
			return this.probe(usable, request.rootKind, now);
		}

		const trial = request.allowTrial === false ? undefined : candidates.find(member => member.statistics.health.state(now) === 'trial-due');
		if (trial !== undefined) {
			this.count('routing.trial');
			trial.statistics.health.beginTrial();
			return this.start(trial.instance, trial.statistics, request.rootKind);
		}

		const {instance, statistics} = this.preferLocalDomain(admitting);
		return this.start(instance, statistics, request.rootKind);
	}

	/** Registers a call to a given instance, such as the executor of an identity, without selecting one. */
	begin(instance: FleetInstance, rootKind: string): Selection {
		return this.start(instance, this.statisticsOf(instance.name), rootKind);
	}

	/** Lowest priority that any candidate of a service admits, by the last received levels. */
	levelOf(service: string, rootKind: string): number {
		const now = this.now();
		const {members} = this.subsetOf(service, now);
		return members.length === 0 ? 0 : Math.min(...members.map(member => this.levelAt(member, rootKind, now)));
	}

	/** Lists the candidates of a service without selecting one and without changing the statistics. */
	view(service: string, rootKind: string): CandidateView[] {
		const now = this.now();
		const members = this.cachedSubset(service, now)?.members
			?? this.selectSubset(this.fleet.candidates(service), name => this.statistics.get(name) ?? new CandidateStatistics());
		return members.map(({instance, statistics}) => ({
			instance: instance.name, failureDomain: instance.failureDomain, level: statistics.levelOf(rootKind, now), inProgress: statistics.inProgress,
		}));
	}

	/** Records a pause of this process. Failures of calls in progress during a pause don't count against their instances. */
	recordPause(): void {
		this.pausedAt = this.now();
	}

	dump(): unknown {
		const now = this.now();
		return Object.fromEntries([...this.statistics].slice(-routingOptions.maximumDumpedInstances)
			.map(([name, statistics]) => [name, statistics.dump(now)]));
	}

	private subsetOf(service: string, now: number): Subset {
		const cached = this.cachedSubset(service, now);
		if (cached !== undefined) {
			return cached;
		}

		this.prune(now);
		const members = this.selectSubset(this.fleet.candidates(service), name => this.statisticsOf(name));
		const subset = {members, cachedAt: now};
		if (members.length === 0) {
			this.subsets.delete(service);
		} else {
			this.subsets.set(service, subset);
		}

		return subset;
	}

	/** Returns the cached subset if it has not expired and still belongs to the current fleet list. */
	private cachedSubset(service: string, now: number): Subset | undefined {
		const cached = this.subsets.get(service);
		const first = cached?.members[0]?.instance;
		// Every new fleet list creates new instance objects, so comparing object references shows whether the subset is current.
		const isValid = cached !== undefined && first !== undefined && now - cached.cachedAt < routingOptions.subsetLifetimeMilliseconds
			&& this.fleet.instance(first.name) === first;
		return isValid ? cached : undefined;
	}

	private selectSubset(all: readonly FleetInstance[], statisticsFor: (name: string) => CandidateStatistics): Member[] {
		const isInLocalDomain = (instance: FleetInstance) => instance.failureDomain === this.self.failureDomain;
		const ranked = (instances: FleetInstance[], count: number) => highestWeighted(this.self.instance, instances, instance => instance.name, count);
		return [
			...ranked(all.filter(instance => isInLocalDomain(instance)), routingOptions.localDomainSubsetSize),
			...ranked(all.filter(instance => !isInLocalDomain(instance)), routingOptions.otherDomainSubsetSize),
		].map(instance => ({instance, isInLocalDomain: isInLocalDomain(instance), statistics: statisticsFor(instance.name)}));
	}

	/** Prefers the local failure domain, unless its candidate is loaded and one of another domain is clearly better. */
	private preferLocalDomain(admitting: readonly Member[]): Member {
		const localMembers = admitting.filter(member => member.isInLocalDomain);
		if (localMembers.length === 0 || localMembers.length === admitting.length) {
			return this.lessLoaded(admitting);
		}

		const local = this.lessLoaded(localMembers);
		const {latency = 0, baseline = 0} = local.statistics;
		if (latency <= baseline * routingOptions.spillOverFactor) {
			return local;
		}

		const remote = this.lessLoaded(admitting.filter(member => !member.isInLocalDomain));
		if (score(local, latency) <= score(remote, baseline) * routingOptions.spillOverFactor) {
			return local;
		}

		this.count('routing.spilled');
		return remote;
	}

	/** Returns the member with the lower score of two random ones (power of two choices). */
	private lessLoaded(members: readonly Member[]): Member {
		const index = Math.floor(this.random() * members.length);
		const first = members[index]!;
		if (members.length === 1) {
			return first;
		}

		const offset = 1 + Math.floor(this.random() * (members.length - 1));
		const second = members[(index + offset) % members.length]!;
		// An instance without a response yet is assumed to be as fast as the other, so that it receives its share of the calls
		// and not all of them.
		const assumedLatency = first.statistics.latency ?? second.statistics.latency ?? 1;
		return score(first, second.statistics.latency ?? assumedLatency) <= score(second, assumedLatency) ? first : second;
	}

	private probe(members: readonly Member[], rootKind: string, now: number): Selection | 'overloaded' {
		const probed = members.find(member => member.statistics.claimProbe(rootKind, now));
		if (probed === undefined) {
			this.count('routing.refused-by-level');
			return 'overloaded';
		}

		this.count('routing.probe');
		return this.start(probed.instance, probed.statistics, rootKind);
	}

	private levelAt(member: Member, rootKind: string, now: number): number {
		return this.options.controls === 'off' ? 0 : member.statistics.levelOf(rootKind, now);
	}

	private start(instance: FleetInstance, statistics: CandidateStatistics, rootKind: string): Selection {
		const startedAt = this.now();
		let finished = false;
		statistics.inProgress += 1;
		return {
			instance,
			finish: (outcome, latencyMilliseconds, level = 0) => {
				if (finished) {
					return;
				}

				finished = true;
				statistics.inProgress -= 1;
				// Attributes the failure of a call that was in progress during a pause to the pause, not to the instance.
				const effectiveOutcome = startedAt <= this.pausedAt && outcome !== 'answered' ? 'abandoned' : outcome;
				statistics.observeLatency(effectiveOutcome, latencyMilliseconds);
				statistics.observeLevel(effectiveOutcome, rootKind, level, this.now());
				this.updateHealth(instance, statistics, effectiveOutcome);
			},
		};
	}

	private updateHealth(instance: FleetInstance, statistics: CandidateStatistics, outcome: CallOutcome): void {
		const change = statistics.health.recordOutcome(outcome, this.now(), this.random, () => this.mayEject(instance.service));
		if (change !== 'none') {
			this.count(`routing.${change}`);
			this.options.logs?.info(`instance ${change}`, {target: instance.name, outcome});
		}
	}

	/** Checks whether one more instance of a service may be ejected, and counts a denial in the metrics. */
	private mayEject(service: string): boolean {
		const now = this.now();
		const {members} = this.subsetOf(service, now);
		const ejected = members.filter(member => member.statistics.health.state(now) !== 'healthy').length;
		const allowed = ejected + 1 <= members.length * routingOptions.maximumEjectedShare;
		if (!allowed) {
			this.count('routing.ejection-capped');
		}

		return allowed;
	}

	/** Returns the statistics of an instance and moves them to the end of the map, which is kept in LRU order. */
	private statisticsOf(name: string): CandidateStatistics {
		const statistics = this.statistics.get(name) ?? new CandidateStatistics();
		this.statistics.delete(name);
		this.statistics.set(name, statistics);
		if (this.statistics.size > routingOptions.maximumInstances) {
			this.statistics.delete(this.statistics.keys().next().value!);
		}

		return statistics;
	}

	private prune(now: number): void {
		if (now - this.prunedAt < routingOptions.pruneMilliseconds) {
			return;
		}

		this.prunedAt = now;
		for (const [name, statistics] of this.statistics) {
			if (statistics.inProgress === 0 && this.fleet.instance(name) === undefined) {
				this.statistics.delete(name);
			}
		}
	}

	private count(name: string): void {
		this.options.metrics?.count(name);
	}
}

function score({statistics}: Member, assumedLatency: number): number {
	return (statistics.inProgress + 1) * (statistics.latency ?? assumedLatency);
}
