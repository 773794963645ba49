/**
 * Keeps the node's records up to date from the configuration service: one listing, then one waiting watch for each prefix.
 * A watch whose history was dropped starts again with a listing. Failures back off with full jitter, so that a service
 * that returns is not met by all nodes at once.
 */
import {fullJitter, abortableDelay, type JitterRange} from '@hemlockthread/wire';
import type {Clock} from './clock.js';
import type {DecisionLog} from './decision-log.js';
import type {StoredRecord} from './fleet-model.js';
import type {FleetRecords} from './fleet-records.js';

/** @public */
export type RecordListing = {records: StoredRecord[]; revision: number};

/** @public */
export type WatchResponse = {type: 'changes'; records: StoredRecord[]; revision: number} | {type: 'history-lost'};

/**
 * The configuration service as the node sees it. Both calls reject where the service does not answer or refuses.
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
	 * Range of the time for which a watch waits for a change. A connection that went silent shows only when its watch is over,
	 * so some node of the fleet must look again within two seconds; its peers learn from it.
	 */
	shortestWatchMilliseconds: 1000,
	longestWatchMilliseconds: {least: 2000, perNode: 150, most: 8000},
	/** The same after a failure, when the first answer tells whether the service is back. */
	probeMilliseconds: 100,
	/** Pause after a change, so that changes that come together cost one call. */
	gatherMilliseconds: 200,
} as const;

/** Waits after failures; the service's users expect nodes to have caught up within about two seconds of its return. */
const backoff: JitterRange = {firstMilliseconds: 50, maximumMilliseconds: 600};

/**
 * Follows the records of some prefixes until its signal aborts.
 *
 * @public
 */
export class RecordFollower {
	private readonly failing = new Set<string>();

	constructor(
		private readonly source: RecordSource,
		private readonly records: FleetRecords,
		private readonly log: DecisionLog,
		private readonly clock: Clock,
		private readonly random: () => number,
		/** Nodes of the fleet. */
		private readonly nodes: () => number,
	) {}

	async run(prefixes: readonly string[], signal: AbortSignal): Promise<void> {
		await Promise.all(prefixes.map(async prefix => this.follow(prefix, signal)));
	}

	private async follow(prefix: string, signal: AbortSignal): Promise<void> {
		let revision: number | undefined;
		let failures = 0;
		while (!signal.aborted) {
			const startedAt = this.clock.now();
			const waitMilliseconds = failures === 0 ? this.watchMilliseconds() : recordFollowerOptions.probeMilliseconds;
			try {
				revision = revision === undefined ? await this.list(prefix, signal) : await this.watch(prefix, revision, waitMilliseconds, signal);
				failures = 0;
			} catch (error) {
				if (signal.aborted) {
					return;
				}

				failures += 1;
				// A watch that fails before its time is over was cut; until then the service had nothing to answer.
				const wasDue = revision === undefined || this.clock.now() - startedAt >= waitMilliseconds;
				this.noteFailure(prefix, {failures, since: wasDue ? startedAt : this.clock.now(), cause: (error as Error).message});
				await abortableDelay(fullJitter(failures, backoff, this.random), signal);
			}
		}
	}

	/** Larger fleets wait longer, so that their calls together stay within the rate of the service. */
	private watchMilliseconds(): number {
		const {shortestWatchMilliseconds: shortest, longestWatchMilliseconds: {least, perNode, most}} = recordFollowerOptions;
		const longest = Math.min(most, Math.max(least, this.nodes() * perNode));
		return Math.round(shortest + (this.random() * (longest - shortest)));
	}

	private async list(prefix: string, signal: AbortSignal): Promise<number> {
		const listing = await this.source.list(prefix, signal);
		this.noteAnswer(prefix);
		this.records.applyListing(prefix, listing.records, listing.revision);
		return listing.revision;
	}

	/** Returns the revision to continue from; undefined where a listing must come first. */
	private async watch(prefix: string, revision: number, waitMilliseconds: number, signal: AbortSignal): Promise<number | undefined> {
		const answer = await this.source.watch(prefix, revision, waitMilliseconds, signal);
		this.noteAnswer(prefix);
		if (answer.type === 'history-lost') {
			this.log.write('configuration-history-lost', {prefix, revision});
			return undefined;
		}

		for (const record of answer.records) {
			this.records.apply(record, 'service');
		}

		this.records.markComplete(prefix, answer.revision);
		if (answer.records.length > 0) {
			await abortableDelay(recordFollowerOptions.gatherMilliseconds, signal);
		}

		return answer.revision;
	}

	private noteAnswer(prefix: string): void {
		if (this.failing.delete(prefix)) {
			this.log.write('dependency-regained', {dependency: 'configuration-service', prefix});
		}

		this.records.configurationService.recordResponse();
	}

	private noteFailure(prefix: string, {failures, since, cause}: {failures: number; since: number; cause: string}): void {
		this.records.configurationService.recordFailure(since);
		if (!this.failing.has(prefix)) {
			this.failing.add(prefix);
			this.log.write('dependency-lost', {
				dependency: 'configuration-service', prefix, failures, cause,
			});
		}
	}
}
