/**
 * Decides when a node calls the configuration service. Only a few nodes watch it and pass on what they read, so that the number of
 * calls does not grow with the fleet. A node that has not received a confirmation that its records are complete for some time calls
 * the service itself, well before it would act on outdated records longer than the platform allows. Substitutes start in the order
 * of their rank, because the first one that succeeds also confirms the records of the others. While other nodes are known to call
 * without success, as in an outage, the remaining ones only probe at a rate that is shared among all of them.
 */

/** @public */
export const watchDutyOptions = {
	/** Age of the confirmation at which the first substitute calls; the platform's bounds on changes start at two seconds. */
	staleMilliseconds: 1300,
	/** Additional age per rank, so that a substitute's success reaches the next one in time. */
	staleMillisecondsPerRank: 35,
	/** Time for which a known call of another node counts. */
	attemptRelevanceMilliseconds: 1500,
	/** Probes per second of the whole fleet during an outage, in addition to those of the watchers. */
	fleetProbesPerSecond: 8,
	/** Minimum mean time between two probes of a node during an outage. */
	minimumProbeIntervalMilliseconds: 1500,
} as const;

/** @public */
export type DutyState = {
	now: number;
	isWatcher: boolean;
	/** Position among the substitutes. */
	rank: number;
	nodeCount: number;
	/** Time at which the records were known to be complete; the start of the node until then. */
	confirmedAt: number;
	/** Time of the latest known call of another node to the service, whatever its result. */
	peerAttemptAt: number;
	/** Time of the last call of this node. */
	ownAttemptAt: number;
};

/**
 * Returns the time until this node calls the service, in milliseconds; 0 to call now.
 *
 * @param randomness random share between 0 and 1 that stays the same until the next call of this node
 */
export function millisecondsUntilCall(state: DutyState, randomness: number): number {
	if (state.isWatcher) {
		return 0;
	}

	const options = watchDutyOptions;
	const staleAt = state.confirmedAt + options.staleMilliseconds + (state.rank * options.staleMillisecondsPerRank);
	const othersTry = state.now - state.peerAttemptAt < options.attemptRelevanceMilliseconds && state.peerAttemptAt > state.confirmedAt;
	if (!othersTry) {
		return Math.max(0, staleAt - state.now);
	}

	const interval = Math.max(options.minimumProbeIntervalMilliseconds, state.nodeCount * 1000 / options.fleetProbesPerSecond);
	const probeAt = Math.max(state.confirmedAt, state.ownAttemptAt) + (interval * (0.5 + randomness));
	return Math.max(0, Math.max(staleAt, probeAt) - state.now);
}
