/**
 * What this node observed of one instance: calls in progress, latency, admission levels and health.
 */
import {CandidateHealth, type CallOutcome} from './candidate-health.js';

/** @public */
export const statisticsOptions = {
	/** Weight of a call in the latency average. */
	latencyWeight: 0.1,
	/** Weight of a slower call in the baseline latency; a faster one replaces it. */
	baselineWeight: 0.002,
	/** Time without news after which one call may pass a level as a probe. Each admitted call brings news. */
	levelFreshMilliseconds: 1000,
	/** Time between probes of one instance for one root kind. Each probe that is refused deep in the chain wastes work. */
	probeIntervalMilliseconds: 500,
	/** Time without news after which a level is forgotten. */
	levelLifetimeMilliseconds: 10_000,
	/** Root kinds per instance whose levels are kept. */
	maximumLevels: 64,
} as const;

type KnownLevel = {
	level: number;
	receivedAt: number;
	/** Earliest time of the next probe. */
	nextProbeAt: number;
};

/** @internal */
export class CandidateStatistics {
	inProgress = 0;
	readonly health = new CandidateHealth();
	private averageLatency: number | undefined;
	private baselineLatency: number | undefined;
	private readonly levels = new Map<string, KnownLevel>();

	/** Average latency in milliseconds; undefined before the first answer. */
	get latency(): number | undefined {
		return this.averageLatency;
	}

	/** Latency of the instance without load, in milliseconds. */
	get baseline(): number | undefined {
		return this.baselineLatency;
	}

	observeLatency(outcome: CallOutcome, milliseconds: number): void {
		// A call without an answer took at least this long; a quick failure says nothing about the latency.
		if (outcome !== 'answered' && (this.averageLatency === undefined || milliseconds <= this.averageLatency)) {
			return;
		}

		this.averageLatency = this.averageLatency === undefined ? milliseconds : this.averageLatency + ((milliseconds - this.averageLatency) * statisticsOptions.latencyWeight);
		this.baselineLatency = this.baselineLatency === undefined || milliseconds < this.baselineLatency
			? milliseconds
			: this.baselineLatency + ((milliseconds - this.baselineLatency) * statisticsOptions.baselineWeight);
	}

	levelOf(rootKind: string, now: number): number {
		const known = this.levels.get(rootKind);
		return known === undefined || now - known.receivedAt > statisticsOptions.levelLifetimeMilliseconds ? 0 : known.level;
	}

	/** Claims the probe of a root kind's level; false while the level is fresh or a probe was made lately. */
	claimProbe(rootKind: string, now: number): boolean {
		const known = this.levels.get(rootKind);
		if (known === undefined || now < known.nextProbeAt) {
			return false;
		}

		known.nextProbeAt = now + statisticsOptions.probeIntervalMilliseconds;
		return true;
	}

	/** Keeps the level of an answer. A refusal without a level came from before admission and says nothing about it. */
	observeLevel(outcome: CallOutcome, rootKind: string, level: number, now: number): void {
		if (level > 0) {
			this.levels.delete(rootKind);
			this.levels.set(rootKind, {level, receivedAt: now, nextProbeAt: now + statisticsOptions.levelFreshMilliseconds});
		} else if (outcome === 'answered') {
			this.levels.delete(rootKind);
		}

		if (this.levels.size > statisticsOptions.maximumLevels) {
			this.levels.delete(this.levels.keys().next().value!);
		}
	}

	dump(now: number): unknown {
		return {
			inProgress: this.inProgress, latencyMilliseconds: this.averageLatency, baselineMilliseconds: this.baselineLatency,
			levels: Object.fromEntries([...this.levels.keys()].map(kind => [kind, this.levelOf(kind, now)])), health: this.health.dump(now),
		};
	}
}
