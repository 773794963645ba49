/**
 * Chooses among a bounded subset of a service's instances by observed load, and remembers the admission level of each.
 */
import {randomInt} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {highestRanked, type FleetInstance, type FleetView} from '@hemlockthread/membership';
import type {Logs, Metrics} from '@hemlockthread/telemetry';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {CallOutcome} from './candidate-health.js';
import {CandidateStatistics} from './candidate-statistics.js';

/** @public */
export const routingOptions = {
	/** Instances of a called service in the own failure domain that this node uses. */
	subsetInside: 4,
	/** Instances of a called service outside the own failure domain that this node uses. */
	subsetOutside: 2,
	/** Latency and score above those of the alternative by this factor count as load that spills over to other domains. */
	spillOverFactor: 2,
	/** Largest share of a service's candidates that is ejected at once. */
	maximumEjectedShare: 0.5,
	/** A subset is looked up again after this time even if the list is the same: leaving instances and belief also change it. */
	subsetLifetimeMilliseconds: 100,
	/** Interval at which statistics of instances that left the list are removed. */
	pruneMilliseconds: 1000,
	/** Instances with statistics; beyond this the one unused for longest is forgotten. */
	maximumInstances: 1024,
	/** Instances in a state dump. */
	maximumDumped: 200,
} as const;

/** @public */
export type ChoiceRequest = {
	service: string;
	rootKind: string;
	priority: number;
	/** Instances already tried for this call. */
	exclude: ReadonlySet<string>;
	/** False where the choice must not be the trial call of an ejected instance. */
	allowTrial?: boolean;
};

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

/** @public */
export type SelectorOptions = {
	/** `off` ignores admission levels. */
	controls?: 'on' | 'off';
	now?: () => number;
	seed?: number;
	metrics?: Pick<Metrics, 'count'>;
	logs?: Pick<Logs, 'info'>;
};

type Member = {instance: FleetInstance; isInside: boolean; statistics: CandidateStatistics};
type Subset = {members: Member[]; readAt: number};

/**
 * Chooses target instances.
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
	 * Chooses an instance. Returns `overloaded` when every candidate is known to refuse the priority, and `no-target`
	 * when there is no candidate.
	 */
	choose(request: ChoiceRequest): Candidate | 'overloaded' | 'no-target' {
		const now = this.now();
		const candidates = this.subsetOf(request.service, now).members.filter(member => !request.exclude.has(member.instance.name));
		if (candidates.length === 0) {
			return 'no-target';
		}

		const healthy = candidates.filter(member => member.statistics.health.state(now) === 'healthy');
		// With none healthy left for this call, an ejected instance is a better chance than none.
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

		const {instance, statistics} = this.preferInside(admitting);
		return this.start(instance, statistics, request.rootKind);
	}

	/** Records a call to an instance that was fixed beforehand, such as an identity's executor. */
	begin(instance: FleetInstance, rootKind: string): Candidate {
		return this.start(instance, this.statisticsOf(instance.name), rootKind);
	}

	/** Lowest priority that some candidate of a service admits, as far as this node has heard. */
	levelOf(service: string, rootKind: string): number {
		const now = this.now();
		const {members} = this.subsetOf(service, now);
		return members.length === 0 ? 0 : Math.min(...members.map(member => this.levelAt(member, rootKind, now)));
	}

	/** Lists the candidates of a service without choosing one and without a trace in the statistics. */
	view(service: string, rootKind: string): CandidateView[] {
		const now = this.now();
		const members = this.heldSubset(service, now)?.members
			?? this.rank(this.fleet.candidates(service), name => this.statistics.get(name) ?? new CandidateStatistics());
		return members.map(({instance, statistics}) => ({
			instance: instance.name, failureDomain: instance.failureDomain, level: statistics.levelOf(rootKind, now), inProgress: statistics.inProgress,
		}));
	}

	/** Records a pause of this process: failures of calls that were under way say nothing about their instances. */
	notePause(): void {
		this.pausedAt = this.now();
	}

	dump(): unknown {
		const now = this.now();
		return Object.fromEntries([...this.statistics].slice(-routingOptions.maximumDumped)
			.map(([name, statistics]) => [name, statistics.dump(now)]));
	}

	private subsetOf(service: string, now: number): Subset {
		const held = this.heldSubset(service, now);
		if (held !== undefined) {
			return held;
		}

		this.prune(now);
		const members = this.rank(this.fleet.candidates(service), name => this.statisticsOf(name));
		const subset = {members, readAt: now};
		if (members.length === 0) {
			this.subsets.delete(service);
		} else {
			this.subsets.set(service, subset);
		}

		return subset;
	}

	/** The cached subset, if it is still valid for the fleet view. */
	private heldSubset(service: string, now: number): Subset | undefined {
		const held = this.subsets.get(service);
		const first = held?.members[0]?.instance;
		// Each new list has new instance objects.
		const isValid = held !== undefined && first !== undefined && now - held.readAt < routingOptions.subsetLifetimeMilliseconds
			&& this.fleet.instance(first.name) === first;
		return isValid ? held : undefined;
	}

	private rank(all: readonly FleetInstance[], statisticsFor: (name: string) => CandidateStatistics): Member[] {
		const isInside = (instance: FleetInstance) => instance.failureDomain === this.self.failureDomain;
		const ranked = (instances: FleetInstance[], count: number) => highestRanked(this.self.instance, instances, instance => instance.name, count);
		return [
			...ranked(all.filter(instance => isInside(instance)), routingOptions.subsetInside),
			...ranked(all.filter(instance => !isInside(instance)), routingOptions.subsetOutside),
		].map(instance => ({instance, isInside: isInside(instance), statistics: statisticsFor(instance.name)}));
	}

	/** Returns the own domain's choice unless it is loaded and another domain's choice is clearly better. */
	private preferInside(admitting: readonly Member[]): Member {
		const inside = admitting.filter(member => member.isInside);
		if (inside.length === 0 || inside.length === admitting.length) {
			return this.lessLoaded(admitting);
		}

		const near = this.lessLoaded(inside);
		const {latency = 0, baseline = 0} = near.statistics;
		if (latency <= baseline * routingOptions.spillOverFactor) {
			return near;
		}

		const far = this.lessLoaded(admitting.filter(member => !member.isInside));
		if (score(near, latency) <= score(far, baseline) * routingOptions.spillOverFactor) {
			return near;
		}

		this.count('routing.spilled');
		return far;
	}

	/** The lower score of two different random members. */
	private lessLoaded(members: readonly Member[]): Member {
		const index = Math.floor(this.random() * members.length);
		const first = members[index]!;
		if (members.length === 1) {
			return first;
		}

		const offset = 1 + Math.floor(this.random() * (members.length - 1));
		const second = members[(index + offset) % members.length]!;
		// Without an answer yet, an instance counts as fast as the other, so that it gets its share and not every call.
		const assumed = first.statistics.latency ?? second.statistics.latency ?? 1;
		return score(first, second.statistics.latency ?? assumed) <= score(second, assumed) ? first : second;
	}

	private probe(members: readonly Member[], rootKind: string, now: number): Candidate | 'overloaded' {
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

	private start(instance: FleetInstance, statistics: CandidateStatistics, rootKind: string): Candidate {
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
				// A failure that spans a pause of this process is the pause's.
				const judged = startedAt <= this.pausedAt && outcome !== 'answered' ? 'abandoned' : outcome;
				statistics.observeLatency(judged, latencyMilliseconds);
				statistics.observeLevel(judged, rootKind, level, this.now());
				this.noteHealth(instance, statistics, judged);
			},
		};
	}

	private noteHealth(instance: FleetInstance, statistics: CandidateStatistics, outcome: CallOutcome): void {
		const change = statistics.health.note(outcome, this.now(), this.random, () => this.mayEject(instance.service));
		if (change !== 'none') {
			this.count(`routing.${change}`);
			this.options.logs?.info(`instance ${change}`, {target: instance.name, outcome});
		}
	}

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

	/** Statistics of an instance; the map is kept in order of use. */
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
