/**
 * Times and limits of record distribution.
 */

/** @public */
export const distributionOptions = {
	keys: ['policy', 'fleet'] as readonly string[],
	/** Keys whose records take effect only after a starting node has asked the platform and its neighbours. */
	deferredKeys: ['policy'] as readonly string[],
	/** Longest wait of one long poll. */
	watchMilliseconds: 20_000,
	/**
	 * Initial reads are spread over this time: 1,300 nodes that start at once make 2,600 reads, and the platform serves
	 * 2,000 reads/s.
	 */
	startSpreadMilliseconds: 2000,
	/** Upper bound of the wait before the second read of a node without a fleet list; doubles with each further read. */
	startRetryMilliseconds: 8000,
	/** Upper bound of the first wait after a failed read of a watcher; doubles with each failure, with full jitter. */
	retryMilliseconds: 500,
	/** Largest upper bound for watchers. Short, so that records arrive in the required time after a network partition heals. */
	maximumRetryMilliseconds: 5000,
	/** Largest upper bound for all other reads. The mean wait is 30 s, which gives 87 reads/s when all 1,300 nodes read. */
	fallbackMilliseconds: 60_000,
	/** Time without a frame from any neighbour after which a node reads the platform itself. */
	neighbourSilenceMilliseconds: 15_000,
	/** Age of the newest known platform response after which a node reads the platform itself. */
	platformSilenceMilliseconds: 45_000,
	/** Upper bound of a watcher's wait after a long poll that returned early without a record. */
	emptyResponseMilliseconds: 2000,
	/** Time between checks of a node's role and neighbours. */
	checkMilliseconds: 1000,
	/** Longest wait for a record requested from a peer. */
	fetchTimeoutMilliseconds: 2000,
	/** Longest time that a starting node with a policy waits for its neighbours. */
	startupSyncTimeoutMilliseconds: 5000,
	/** Upper bound of the first wait before a neighbour is dialled again; doubles with each failure, with full jitter. */
	redialMilliseconds: 100,
	/** Largest upper bound of that wait. Short, because neighbours deliver records after a network partition heals. */
	maximumRedialMilliseconds: 3000,
	/** Largest value that the configuration service stores. */
	maximumRecordBytes: 1_000_000,
	/** Patches kept per key. */
	maximumPatches: 16,
	/** Refused revisions remembered per key, so that they aren't fetched again. */
	maximumRefused: 16,
	/** A peer with more unsent bytes gets no record; it fetches again. */
	maximumBufferedBytes: 4 * 1024 * 1024,
} as const;

/** @public */
export type DistributionOptions = {readonly [Name in keyof typeof distributionOptions]: (typeof distributionOptions)[Name] extends number ? number : readonly string[]};
