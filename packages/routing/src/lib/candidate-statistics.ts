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

type HeardLevel = {
	level: number;
	heardAt: number;
	/** Earliest time of the next probe. */
	probeAt: number;
};

/** @internal */
export class CandidateStatistics {
	inProgress = 0;
	readonly health = new CandidateHealth();
	private average: number | undefined;
	private lowest: number | undefined;
	private readonly levels = new Map<string, HeardLevel>();

	/** Average latency in milliseconds; undefined before the first answer. */
	get latency(): number | undefined {
		return this.average;
	}

	/** Latency of the instance without load, in milliseconds. */
	get baseline(): number | undefined {
		return this.lowest;
	}

	observeLatency(outcome: CallOutcome, milliseconds: number): void {
		// A call without an answer took at least this long; a quick failure says nothing about the latency.
		if (outcome !== 'answered' && (this.average === undefined || milliseconds <= this.average)) {
			return;
		}

		this.average = this.average === undefined ? milliseconds : this.average + ((milliseconds - this.average) * statisticsOptions.latencyWeight);
		this.lowest = this.lowest === undefined || milliseconds < this.lowest
			? milliseconds
			: this.lowest + ((milliseconds - this.lowest) * statisticsOptions.baselineWeight);
	}

	levelOf(rootKind: string, now: number): number {
		const heard = this.levels.get(rootKind);
		return heard === undefined || now - heard.heardAt > statisticsOptions.levelLifetimeMilliseconds ? 0 : heard.level;
	}

	/** Claims the probe of a root kind's level; false while the level is fresh or a probe was made lately. */
	claimProbe(rootKind: string, now: number): boolean {
		const heard = this.levels.get(rootKind);
		if (heard === undefined || now < heard.probeAt) {
			return false;
		}

		heard.probeAt = now + statisticsOptions.probeIntervalMilliseconds;
		return true;
	}

	/** Keeps the level of an answer. A refusal without a level came from before admission and says nothing about it. */
	observeLevel(outcome: CallOutcome, rootKind: string, level: number, now: number): void {
		if (level > 0) {
			this.levels.delete(rootKind);
			this.levels.set(rootKind, {level, heardAt: now, probeAt: now + statisticsOptions.levelFreshMilliseconds});
		} else if (outcome === 'answered') {
			this.levels.delete(rootKind);
		}

		if (this.levels.size > statisticsOptions.maximumLevels) {
			this.levels.delete(this.levels.keys().next().value!);
		}
	}

	dump(now: number): unknown {
		return {
			inProgress: this.inProgress, latencyMilliseconds: this.average, baselineMilliseconds: this.lowest,
			levels: Object.fromEntries([...this.levels.keys()].map(kind => [kind, this.levelOf(kind, now)])), health: this.health.dump(now),
		};
	}
}
