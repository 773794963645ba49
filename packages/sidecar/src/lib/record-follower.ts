/**
 * Reads the configuration service when this node is to do so: one listing, followed by long-poll watches. If the service has dropped
 * the history that a watch needs, the records are listed again. Failed calls are retried with exponential backoff and full jitter, so
 * that the nodes don't all call a recovering service at once. A node that knows no other node yet reads the copy of the service that
 * may be outdated, which is cheap; it finds its neighbours there, and fetches the current records from them.
 */
import {abortableDelay, fullJitter, type JitterRange} from '@hemlockthread/wire';
import type {Clock} from './clock.js';
import type {DecisionLog} from './decision-log.js';
import type {StoredRecord} from './fleet-model.js';
import type {FleetRecords} from './fleet-records.js';
import type {Neighbourhood} from './neighbourhood.js';
import type {RecordSpread} from './record-spread.js';
import {millisecondsUntilCall} from './watch-duty.js';

/** @public */
export type RecordListing = {
	records: StoredRecord[];
	revision: number;
	/** Number of calls that the listing took; the records of several calls are of different times. */
	pages: number;
};

/** @public */
export type WatchResponse = {type: 'changes'; records: StoredRecord[]; revision: number} | {type: 'history-lost'};

/** Which copy of its records the service may answer from. @public */
export const ListingFreshness = {current: 'current', possiblyOutdated: 'possibly-outdated'} as const;

/** @public */
export type ListingFreshnessName = (typeof ListingFreshness)[keyof typeof ListingFreshness];

/**
 * Read access to the configuration service. Both calls reject when the service does not respond or responds with an error.
 *
 * @public
 */
export type RecordSource = {
	list(prefix: string, freshness: ListingFreshnessName, signal: AbortSignal): Promise<RecordListing>;
	watch(prefix: string, afterRevision: number, waitMilliseconds: number, signal: AbortSignal): Promise<WatchResponse>;
};

/** @public */
export const recordFollowerOptions = {
	/**
	 * Range of the time for which a watch waits for a change. Each response confirms to all nodes that their records are complete. A
	 * connection that silently fails is noticed only when its watch ends, so watches are short.
	 */
	shortestWatchMilliseconds: 1000,
	longestWatchMilliseconds: 2000,
	/** Wait of a watch after a failure or by a substitute: short, because its response shows whether the service responds. */
	probeWatchMilliseconds: 100,
	/** Pause after a change, so that changes in quick succession are read with one call. */
	changeBatchMilliseconds: 200,
	/** Interval at which the node checks whether it is to call the service. */
	dutyCheckMilliseconds: 200,
	/** Interval between listings of a node that knows no other node. */
	searchMilliseconds: 700,
	/** Listings after which a node that still knows no other node is taken to be alone. */
	maximumSearches: 5,
} as const;

/** Delays after failures; nodes are expected to be up to date within about two seconds after the service recovers. */
const backoff: JitterRange = {firstMilliseconds: 50, maximumMilliseconds: 600};

/** @public */
export type RecordFollowerDependencies = {
	source: RecordSource;
	records: FleetRecords;
	spread: RecordSpread;
	neighbourhood: Neighbourhood;
	log: DecisionLog;
	clock: Clock;
	random: () => number;
	/** Number of nodes in the fleet. */
	nodeCount(): number;
};

/**
 * Reads the records with one key prefix until the signal aborts.
 *
 * @public
 */
export class RecordFollower {
	private readonly startedAt: number;
	/** Revision after which the service has dropped the history; changes after it must be listed, or come from a neighbour. */
	private historyLostAfter = Number.NEGATIVE_INFINITY;
	private failures = 0;
	private searches = 0;
	private isFailing = false;
	private probeRandomness: number;

	constructor(private readonly dependencies: RecordFollowerDependencies) {
		this.startedAt = dependencies.clock.now();
		this.probeRandomness = dependencies.random();
	}

	async run(prefix: string, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			if (this.knowsNoOtherNode()) {
				await this.search(prefix, signal);
				continue;
			}

			const wait = this.millisecondsUntilCall();
			if (wait > 0) {
				await abortableDelay(Math.min(wait, recordFollowerOptions.dutyCheckMilliseconds), signal);
				continue;
			}

			await this.read(prefix, signal);
			this.probeRandomness = this.dependencies.random();
		}
	}

	private knowsNoOtherNode(): boolean {
		return this.searches < recordFollowerOptions.maximumSearches && this.dependencies.neighbourhood.exchangeHosts.length === 0;
	}

	/** Looks for other nodes in a listing that may be outdated. Its records are not confirmed to be complete. */
	private async search(prefix: string, signal: AbortSignal): Promise<void> {
		const {source, records, random} = this.dependencies;
		this.searches += 1;
		try {
			const listing = await source.list(prefix, ListingFreshness.possiblyOutdated, signal);
			// The stated revision may be newer than the listed records. Those of one page are complete at least up to the newest one among
			// them; those of several pages may lack a change to an earlier page.
			const revision = listing.pages === 1 ? Math.max(0, ...listing.records.map(record => record.revision)) : 0;
			records.applyListing(prefix, listing.records, revision);
		} catch (error) {
			this.handleFailure(this.dependencies.clock.now(), error as Error, signal);
		}

		if (this.knowsNoOtherNode()) {
			await abortableDelay(recordFollowerOptions.searchMilliseconds * (0.5 + random()), signal);
		}
	}

	private millisecondsUntilCall(): number {
		const {spread, neighbourhood, clock, nodeCount} = this.dependencies;
		return millisecondsUntilCall({
			now: clock.now(), isWatcher: neighbourhood.isWatcher, rank: neighbourhood.watchRank, nodeCount: nodeCount(),
			confirmedAt: spread.confirmedAt ?? this.startedAt, peerAttemptAt: spread.peerAttemptAt, ownAttemptAt: spread.ownAttemptAt,
		}, this.probeRandomness);
	}

	private async read(prefix: string, signal: AbortSignal): Promise<void> {
		const {records, clock, random, neighbourhood} = this.dependencies;
		const startedAt = clock.now();
		const isRegular = this.failures === 0 && neighbourhood.isWatcher;
		const waitMilliseconds = isRegular ? this.chooseWatchMilliseconds() : recordFollowerOptions.probeWatchMilliseconds;
		// Includes changes that neighbours have sent since the last call.
		const completeTo = records.completeTo[prefix] ?? Number.NEGATIVE_INFINITY;
		const revision = completeTo > this.historyLostAfter ? completeTo : undefined;
		try {
			await (revision === undefined ? this.list(prefix, signal) : this.watch(prefix, revision, waitMilliseconds, signal));
			this.failures = 0;
		} catch (error) {
			this.failures += 1;
			// A watch that fails before its wait is over lost its connection; until then no response was due.
			const wasResponseDue = revision === undefined || clock.now() - startedAt >= waitMilliseconds;
			this.handleFailure(wasResponseDue ? startedAt : clock.now(), error as Error, signal);
			await abortableDelay(fullJitter(this.failures, backoff, random), signal);
		}
	}

	private chooseWatchMilliseconds(): number {
		const {shortestWatchMilliseconds: shortest, longestWatchMilliseconds: longest} = recordFollowerOptions;
		return Math.round(shortest + (this.dependencies.random() * (longest - shortest)));
	}

	private async list(prefix: string, signal: AbortSignal): Promise<void> {
		const {source, records} = this.dependencies;
		const listing = await source.list(prefix, ListingFreshness.current, signal);
		this.handleResponse();
		records.applyListing(prefix, listing.records, listing.revision);
		this.historyLostAfter = Number.NEGATIVE_INFINITY;
		this.dependencies.spread.recordOwnResponse(true);
	}

	/** Watches for changes after a revision. Without the history that this needs, the next call lists the records, unless a neighbour sends the changes. */
	private async watch(prefix: string, revision: number, waitMilliseconds: number, signal: AbortSignal): Promise<void> {
		const {source, records, spread, log} = this.dependencies;
		const response = await source.watch(prefix, revision, waitMilliseconds, signal);
		this.handleResponse();
		if (response.type === 'history-lost') {
			log.write('configuration-history-lost', {prefix, revision});
			this.historyLostAfter = revision;
			return;
		}

		for (const record of response.records) {
			records.apply(record, 'service');
		}

		records.markComplete(prefix, response.revision);
		spread.recordOwnResponse(response.records.length > 0);
		if (response.records.length > 0) {
			await abortableDelay(recordFollowerOptions.changeBatchMilliseconds, signal);
		}
	}

	private handleResponse(): void {
		if (this.isFailing) {
			this.isFailing = false;
			this.dependencies.log.write('dependency-regained', {dependency: 'configuration-service'});
		}

		this.dependencies.records.configurationService.recordResponse();
	}

	private handleFailure(since: number, error: Error, signal: AbortSignal): void {
		if (signal.aborted) {
			return;
		}

		const {records, spread, log} = this.dependencies;
		records.configurationService.recordFailure(since);
		spread.recordOwnFailure();
		if (!this.isFailing) {
			this.isFailing = true;
			log.write('dependency-lost', {dependency: 'configuration-service', failures: this.failures, cause: error.message});
		}
	}
}
