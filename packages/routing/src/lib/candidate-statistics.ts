/**
 * Statistics of one candidate instance, from the calls that this node sent to it: calls in progress, latency, the
 * admission levels that its responses carried, and health.
 */
import {CandidateHealth, type CallOutcome} from './candidate-health.js';

/** @public */
export const statisticsOptions = {
	/** Weight of a call in the moving average of the latency. */
	latencyWeight: 0.1,
	/** Weight of a slower call in the baseline latency; a faster call replaces the baseline. */
	baselineWeight: 0.002,
	/** Age of a level from which one call may be sent despite the level, as a probe. Each admitted call updates the level. */
	levelFreshMilliseconds: 1000,
	/** Minimum time between probes of one instance for one root kind. A probe that is refused deep in the call chain wastes work. */
	probeIntervalMilliseconds: 500,
	/** Age from which a level is ignored. */
	levelLifetimeMilliseconds: 10_000,
	/** Maximum number of root kinds per instance with a known level. */
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

	/** Moving average of the latency in milliseconds; undefined before the first response. */
	get latency(): number | undefined {
		return this.averageLatency;
	}

	/** Estimated latency of the instance without load, in milliseconds; undefined before the first response. */
	get baseline(): number | undefined {
		return this.baselineLatency;
	}

	observeLatency(outcome: CallOutcome, milliseconds: number): void {
		// The latency of a call without a response is a lower bound, so it only counts if it exceeds the average.
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

	/** Claims the next probe of a root kind; returns false while the level is fresh or the last probe is too recent. */
	claimProbe(rootKind: string, now: number): boolean {
		const known = this.levels.get(rootKind);
		if (known === undefined || now < known.nextProbeAt) {
			return false;
		}

		known.nextProbeAt = now + statisticsOptions.probeIntervalMilliseconds;
		return true;
	}

	/** Stores the level of a response. A refusal without a level was made before admission and leaves the known level as it is. */
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
