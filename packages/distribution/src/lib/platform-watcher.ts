/**
 * This node's reads of the configuration service: first reads at start, waiting watches of a watcher, and rare reads of
 * a node that can't trust its neighbours to bring news.
 */
import type {Metrics} from '@hemlockthread/telemetry';
import {fullJitter} from '@hemlockthread/wire';
import type {DistributionOptions} from './distribution-options.js';
import type {PlatformResponse, PlatformClient} from './platform-client.js';
import type {RecordStore} from './record-store.js';

/** Monotonic time and waits that end early when the signal aborts. @internal */
export type WatcherClock = {now(): number; wait(milliseconds: number, signal: AbortSignal): Promise<void>};

/** @internal */
export type PlatformWatcherDependencies = {
	store: RecordStore;
	platform: Pick<PlatformClient, 'read'>;
	metrics: Metrics;
	options: DistributionOptions;
	clock: WatcherClock;
	/** Whether this node watches, only falls back, or knows no fleet list yet. */
	role(): PlatformRole;
	/** True when neighbours bring no news, so that this node must read for itself. */
	needsFallback(): boolean;
	/** Called after each answer, with the monotonic time at which its read began. */
	onAnswer(askedAt: number): void;
};

/** @internal */
export type PlatformRole = 'starting' | 'watcher' | 'other';

/**
 * Runs one loop per key.
 *
 * @internal
 */
export class PlatformWatcher {
	/** Monotonic time of the newest answer, to this node or, as far as heard, to any other. */
	answeredAt = Number.NEGATIVE_INFINITY;
	/** Replaced when all reads under way are abandoned. */
	private reads = new AbortController();

	constructor(private readonly parts: PlatformWatcherDependencies) {}

	/** Makes the first read of each key, at a random time so that nodes that start together do not ask together. */
	async readFirst(signal: AbortSignal): Promise<void> {
		signal.addEventListener('abort', () => {
			this.reads.abort();
		}, {once: true});
		await Promise.all(this.parts.options.keys.map(async key => {
			await this.parts.clock.wait(Math.random() * this.parts.options.startSpreadMilliseconds, signal);
			await this.read(key, 0);
		}));
	}

	/** Reads as this node's role asks for, until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all(this.parts.options.keys.map(async key => this.follow(key, signal)));
	}

	/** Abandons reads under way, which a pause may have made worthless; watchers ask again at once. */
	restart(): void {
		const {reads} = this;
		this.reads = new AbortController();
		reads.abort();
	}

	/** Records what a neighbour knows of the age of the newest answer. */
	noteAge(milliseconds: number): void {
		this.answeredAt = Math.max(this.answeredAt, this.parts.clock.now() - Math.max(0, milliseconds));
	}

	private async follow(key: string, signal: AbortSignal): Promise<void> {
		const {options} = this.parts;
		const loops: Record<PlatformRole, () => Promise<void>> = {
			starting: async () => this.poll(key, signal),
			watcher: async () => this.watch(key, signal),
			other: async () => this.fallBack(key, signal),
		};
		while (!signal.aborted) {
			await loops[this.parts.role()]();
		}
	}

	/** Reads more and more rarely until a fleet list is known. */
	private async poll(key: string, signal: AbortSignal): Promise<void> {
		const {options, role} = this.parts;
		for (let reads = 0; !signal.aborted && role() === 'starting'; reads += 1) {
			const dueAt = this.parts.clock.now() + fullJitter(reads, {
				firstMilliseconds: options.startRetryMilliseconds, maximumMilliseconds: options.fallbackMilliseconds,
			});
			while (!signal.aborted && role() === 'starting' && this.parts.clock.now() < dueAt) {
				await this.parts.clock.wait(Math.min(options.checkMilliseconds, dueAt - this.parts.clock.now()), signal);
			}

			if (!signal.aborted && role() === 'starting') {
				await this.read(key, 0);
			}
		}
	}

	/** Holds one waiting read after the other. */
	private async watch(key: string, signal: AbortSignal): Promise<void> {
		const {options, role} = this.parts;
		let failures = 0;
		while (!signal.aborted && role() === 'watcher') {
			const startedAt = this.parts.clock.now();
			const answer = await this.read(key, options.watchMilliseconds);
			if (answer === undefined) {
				await this.parts.clock.wait(fullJitter(failures, {
					firstMilliseconds: options.retryMilliseconds, maximumMilliseconds: options.maximumRetryMilliseconds,
				}), signal);
				failures += 1;
				continue;
			}

			failures = 0;
			// A platform that answers at once with nothing new, or with an old record, must not be asked in a tight loop.
			if (answer.type !== 'record' && this.parts.clock.now() - startedAt < options.watchMilliseconds / 2) {
				await this.parts.clock.wait(Math.random() * options.emptyResponseMilliseconds, signal);
			}
		}
	}

	/** Waits while neighbours bring news; otherwise reads after a wait with full jitter. */
	private async fallBack(key: string, signal: AbortSignal): Promise<void> {
		const {options, role, needsFallback} = this.parts;
		let dueAt: number | undefined;
		while (!signal.aborted && role() === 'other') {
			const needed = needsFallback();
			dueAt = needed ? dueAt ?? this.parts.clock.now() + (Math.random() * options.fallbackMilliseconds) : undefined;
			if (dueAt !== undefined && this.parts.clock.now() >= dueAt) {
				dueAt = undefined;
				this.parts.metrics.count('platform.read.fallback');
				await this.read(key, 0);
			}

			await this.parts.clock.wait(options.checkMilliseconds, signal);
		}
	}

	/** Returns undefined when the read failed or brought a record that is not newer. */
	private async read(key: string, waitMilliseconds: number): Promise<PlatformResponse | undefined> {
		const {store, platform, metrics, onAnswer} = this.parts;
		const askedAt = this.parts.clock.now();
		const reads = this.reads.signal;
		metrics.count('platform.read');
		try {
			const after = store.highestSeenRevision(key);
			const answer = await platform.read({
				key, after, waitMilliseconds, signal: reads,
			});
			this.answeredAt = this.parts.clock.now();
			onAnswer(askedAt);
			if (answer.type !== 'record') {
				return answer;
			}

			const {revision, value} = answer.record;
			if (revision <= after) {
				metrics.count('platform.record.older');
				return {type: 'unchanged'};
			}

			// A neighbour may have brought the record while the watch waited.
			if (revision <= store.highestSeenRevision(key)) {
				metrics.count('platform.record.known');
				return answer;
			}

			metrics.count(store.accept(key, revision, value) ? 'records.accepted' : 'records.refused');
			return answer;
		} catch {
			if (reads.aborted) {
				return {type: 'unchanged'};
			}

			metrics.count('platform.read.failed');
			return undefined;
		}
	}
}

