/**
 * Times and limits of the spread of records.
 */

/** @public */
export const distributionOptions = {
	keys: ['policy', 'fleet'] as readonly string[],
	/** Records that come in force only after a starting node has asked the platform and its neighbours. */
	deferredKeys: ['policy'] as readonly string[],
	/** Longest wait of one watch. */
	watchMilliseconds: 20_000,
	/**
	 * First reads are spread over this time: 1,300 nodes that start at once make 2,600 reads, and the platform serves
	 * 2,000 a second.
	 */
	startSpreadMilliseconds: 2000,
	/** Ceiling of the wait before the second read of a node without a fleet list; doubles with each further read. */
	startRetryMilliseconds: 8000,
	/** Ceiling of the first wait after a failed read of a watcher; doubles with each failure, with full jitter. */
	retryMilliseconds: 500,
	/** Largest ceiling for watchers; short, because a cut that heals must not delay a record by more than the bound. */
	maximumRetryMilliseconds: 5000,
	/** Largest ceiling for all other reads, so a mean of 30 s: 87 reads/s when all 1,300 nodes make them. */
	fallbackMilliseconds: 60_000,
	/** Silence of all neighbours after which a node reads the platform itself. */
	neighbourSilenceMilliseconds: 15_000,
	/** Age of the newest platform answer known to any neighbour after which a node reads the platform itself. */
	platformSilenceMilliseconds: 45_000,
	/** Wait ceiling of a watcher after an answer that brought nothing before its wait was over. */
	emptyResponseMilliseconds: 2000,
	/** Time between checks of a node's role and neighbours. */
	checkMilliseconds: 1000,
	/** Longest wait for a fetched record. */
	fetchTimeoutMilliseconds: 2000,
	/** Longest time for which a starting node with a policy waits for its neighbours. */
	startupSyncTimeoutMilliseconds: 5000,
	/** Ceiling of the first wait before a neighbour is dialled again; doubles with each failure, with full jitter. */
	redialMilliseconds: 100,
	/** Largest ceiling of that wait; short, because neighbours carry records across a healed cut. */
	maximumRedialMilliseconds: 3000,
	/** Largest value that the configuration service holds. */
	maximumRecordBytes: 1_000_000,
	/** Patches kept per key. */
	maximumPatches: 16,
	/** Refused revisions remembered per key, so that they are not fetched again. */
	maximumRefused: 16,
	/** A peer with more bytes waiting gets no record; it asks again. */
	maximumBufferedBytes: 4 * 1024 * 1024,
} as const;

/** @public */
export type DistributionOptions = {readonly [Name in keyof typeof distributionOptions]: (typeof distributionOptions)[Name] extends number ? number : readonly string[]};
