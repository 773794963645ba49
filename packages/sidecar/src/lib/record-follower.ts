/**
 * Keeps the node's records up to date from the configuration service: for each prefix one listing, followed by long-poll watches.
 * If the service has dropped the history that a watch needs, the records are listed again. Failed calls are retried with
 * exponential backoff and full jitter, so that the nodes don't all call a recovering service at once.
 */
import {abortableDelay, fullJitter, type JitterRange} from '@hemlockthread/wire';
import type {Clock} from './clock.js';
import type {DecisionLog} from './decision-log.js';
import type {StoredRecord} from './fleet-model.js';
import type {FleetRecords} from './fleet-records.js';

/** @public */
export type RecordListing = {records: StoredRecord[]; revision: number};

/** @public */
export type WatchResponse = {type: 'changes'; records: StoredRecord[]; revision: number} | {type: 'history-lost'};

/**
 * Read access to the configuration service. Both calls reject when the service does not respond or responds with an error.
 *
 * @public
 */
export type RecordSource = {
	list(prefix: string, signal: AbortSignal): Promise<RecordListing>;
	watch(prefix: string, afterRevision: number, waitMilliseconds: number, signal: AbortSignal): Promise<WatchResponse>;
};

/** @public */
export const recordFollowerOptions = {
	/**
	 * Range of the time for which a watch waits for a change. A connection that silently fails is noticed only when its watch
	 * ends, so some node of the fleet must start a new watch within two seconds; its peers receive the changes from it.
	 */
	shortestWatchMilliseconds: 1000,
	longestWatchMilliseconds: {minimum: 2000, perNode: 150, maximum: 8000},
	/** Wait of the first watch after a failure: short, because its response shows whether the service has recovered. */
	probeWatchMilliseconds: 100,
	/** Pause after a change, so that changes in quick succession are read with one call. */
	changeBatchMilliseconds: 200,
} as const;

/** Delays after failures; nodes are expected to be up to date within about two seconds after the service recovers. */
const backoff: JitterRange = {firstMilliseconds: 50, maximumMilliseconds: 600};

/**
 * Watches the records with the given prefixes until the signal aborts.
 *
 * @public
 */
export class RecordFollower {
	private readonly failingPrefixes = new Set<string>();

	constructor(
		private readonly source: RecordSource,
		private readonly records: FleetRecords,
		private readonly log: DecisionLog,
		private readonly clock: Clock,
		private readonly random: () => number,
		/** Number of nodes in the fleet. */
		private readonly nodeCount: () => number,
	) {}

	async run(prefixes: readonly string[], signal: AbortSignal): Promise<void> {
		await Promise.all(prefixes.map(async prefix => this.follow(prefix, signal)));
	}

	private async follow(prefix: string, signal: AbortSignal): Promise<void> {
		let revision: number | undefined;
		let failures = 0;
		while (!signal.aborted) {
			const startedAt = this.clock.now();
			const waitMilliseconds = failures === 0 ? this.chooseWatchMilliseconds() : recordFollowerOptions.probeWatchMilliseconds;
			try {
				revision = revision === undefined ? await this.list(prefix, signal) : await this.watch(prefix, revision, waitMilliseconds, signal);
				failures = 0;
			} catch (error) {
				if (signal.aborted) {
					return;
				}

				failures += 1;
				// A watch that fails before its wait is over lost its connection; until then no response was due.
				const wasResponseDue = revision === undefined || this.clock.now() - startedAt >= waitMilliseconds;
				this.handleFailure(prefix, {failures, since: wasResponseDue ? startedAt : this.clock.now(), cause: (error as Error).message});
				await abortableDelay(fullJitter(failures, backoff, this.random), signal);
			}
		}
	}

	/** Larger fleets use longer waits, so that the total call rate stays within the rate limit of the service. */
	private chooseWatchMilliseconds(): number {
		const {shortestWatchMilliseconds: shortest, longestWatchMilliseconds: {minimum, perNode, maximum}} = recordFollowerOptions;
		const longest = Math.min(maximum, Math.max(minimum, this.nodeCount() * perNode));
		return Math.round(shortest + (this.random() * (longest - shortest)));
	}

	private async list(prefix: string, signal: AbortSignal): Promise<number> {
		const listing = await this.source.list(prefix, signal);
		this.handleResponse(prefix);
		this.records.applyListing(prefix, listing.records, listing.revision);
		return listing.revision;
	}

	/** Returns the revision to continue from; undefined when the records must be listed again. */
	private async watch(prefix: string, revision: number, waitMilliseconds: number, signal: AbortSignal): Promise<number | undefined> {
		const response = await this.source.watch(prefix, revision, waitMilliseconds, signal);
		this.handleResponse(prefix);
		if (response.type === 'history-lost') {
			this.log.write('configuration-history-lost', {prefix, revision});
			return undefined;
		}

		for (const record of response.records) {
			this.records.apply(record, 'service');
		}

		this.records.markComplete(prefix, response.revision);
		if (response.records.length > 0) {
			await abortableDelay(recordFollowerOptions.changeBatchMilliseconds, signal);
		}

		return response.revision;
	}

	private handleResponse(prefix: string): void {
		if (this.failingPrefixes.delete(prefix)) {
			this.log.write('dependency-regained', {dependency: 'configuration-service', prefix});
		}

		this.records.configurationService.recordResponse();
	}

	private handleFailure(prefix: string, {failures, since, cause}: {failures: number; since: number; cause: string}): void {
		this.records.configurationService.recordFailure(since);
		if (!this.failingPrefixes.has(prefix)) {
			this.failingPrefixes.add(prefix);
			this.log.write('dependency-lost', {
				dependency: 'configuration-service', prefix, failures, cause,
			});
		}
	}
}
