/**
 * Keeps the node's records up to date from the configuration service: one listing, then one waiting watch for each prefix.
 * A watch whose history was dropped starts again with a listing. Failures back off with full jitter, so that a service
 * that returns is not met by all nodes at once.
 */
import {fullJitter, waitQuietly, type JitterRange} from '@hemlockthread/wire';
import type {DecisionLog} from './decision-log.js';
import type {StoredRecord} from './fleet-model.js';
import type {FleetRecords} from './fleet-records.js';

/** @public */
export type RecordListing = {records: StoredRecord[]; revision: number};

/** @public */
export type WatchAnswer = {type: 'changes'; records: StoredRecord[]; revision: number} | {type: 'history-lost'};

/**
 * The configuration service as the node sees it. Both calls reject where the service does not answer or refuses.
 *
 * @public
 */
export type RecordSource = {
	list(prefix: string, signal: AbortSignal): Promise<RecordListing>;
	watch(prefix: string, afterRevision: number, waitMilliseconds: number, signal: AbortSignal): Promise<WatchAnswer>;
};

/** @public */
export const recordFollowerOptions = {
	/** How long a watch waits for a change; peers' revisions show a watch that went silent before that. */
	watchMilliseconds: 8000,
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
		private readonly random: () => number,
	) {}

	async run(prefixes: readonly string[], signal: AbortSignal): Promise<void> {
		await Promise.all(prefixes.map(async prefix => this.follow(prefix, signal)));
	}

	private async follow(prefix: string, signal: AbortSignal): Promise<void> {
		let revision: number | undefined;
		let failures = 0;
		while (!signal.aborted) {
			try {
				revision = revision === undefined ? await this.list(prefix, signal) : await this.watch(prefix, revision, signal);
				failures = 0;
				this.noteAnswer(prefix);
			} catch (error) {
				if (signal.aborted) {
					return;
				}

				failures += 1;
				this.noteFailure(prefix, failures, error as Error);
				await waitQuietly(fullJitter(failures, backoff, this.random), signal);
			}
		}
	}

	private async list(prefix: string, signal: AbortSignal): Promise<number> {
		const listing = await this.source.list(prefix, signal);
		this.noteAnswer(prefix);
		this.records.applyListing(prefix, listing.records, listing.revision);
		return listing.revision;
	}

	/** Returns the revision to continue from; undefined where a listing must come first. */
	private async watch(prefix: string, revision: number, signal: AbortSignal): Promise<number | undefined> {
		const answer = await this.source.watch(prefix, revision, recordFollowerOptions.watchMilliseconds, signal);
		this.noteAnswer(prefix);
		if (answer.type === 'history-lost') {
			this.log.line('configuration-history-lost', {prefix, revision});
			return undefined;
		}

		for (const record of answer.records) {
			this.records.apply(record, 'service');
		}

		if (answer.records.length > 0) {
			await waitQuietly(recordFollowerOptions.gatherMilliseconds, signal);
		}

		return answer.revision;
	}

	private noteAnswer(prefix: string): void {
		if (this.failing.delete(prefix)) {
			this.log.line('dependency-regained', {dependency: 'configuration-service', prefix});
		}

		if (this.failing.size === 0) {
			this.records.noteServiceReachable();
		}
	}

	private noteFailure(prefix: string, failures: number, error: Error): void {
		this.records.noteServiceUnreachable();
		if (!this.failing.has(prefix)) {
			this.failing.add(prefix);
			this.log.line('dependency-lost', {
				dependency: 'configuration-service', prefix, failures, cause: error.message,
			});
		}
	}
}
