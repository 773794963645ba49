/**
 * This node's reads of the configuration service: initial reads at start, long polls of a watcher, and rare fallback
 * reads of a node whose neighbours deliver no updates. Few nodes watch, which bounds the load on the service.
 */
import type {Metrics} from '@hemlockthread/telemetry';
import {fullJitter} from '@hemlockthread/wire';
import type {DistributionOptions} from './distribution-options.js';
import type {PlatformResponse, PlatformClient} from './platform-client.js';
import type {RecordStore} from './record-store.js';

/** Monotonic time, and waits that end early when the signal aborts. @internal */
export type WatcherClock = {now(): number; wait(milliseconds: number, signal: AbortSignal): Promise<void>};

/** @internal */
export type PlatformWatcherDependencies = {
	store: RecordStore;
	platform: Pick<PlatformClient, 'read'>;
	metrics: Metrics;
	options: DistributionOptions;
	clock: WatcherClock;
	/** Whether this node is a watcher, reads only as a fallback, or has no fleet list yet. */
	role(): PlatformRole;
	/** True when neighbours deliver no updates, so that this node must read the service itself. */
	needsFallback(): boolean;
	/** Called after each response, with the monotonic time at which its read started. */
	onResponse(startedAt: number): void;
};

/** @internal */
export type PlatformRole = 'starting' | 'watcher' | 'other';

/**
 * Runs one read loop per key.
 *
 * @internal
 */
export class PlatformWatcher {
	/** Monotonic time of the newest response to this node, or to any other node that a neighbour reported. */
	lastResponseAt = Number.NEGATIVE_INFINITY;
	/** Replaced when all reads in progress are aborted. */
	private reads = new AbortController();

	constructor(private readonly dependencies: PlatformWatcherDependencies) {}

	/** Makes the first read of each key after a random delay, so that nodes that start together don't read at the same time. */
	async readInitial(signal: AbortSignal): Promise<void> {
		signal.addEventListener('abort', () => {
			this.reads.abort();
		}, {once: true});
		await Promise.all(this.dependencies.options.keys.map(async key => {
			await this.dependencies.clock.wait(Math.random() * this.dependencies.options.startSpreadMilliseconds, signal);
			await this.read(key, 0);
		}));
	}

	/** Reads as this node's role requires, until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all(this.dependencies.options.keys.map(async key => this.runKey(key, signal)));
	}

	/** Aborts the reads in progress, which may be stale after a pause of this process; watchers read again at once. */
	abortReads(): void {
		const {reads} = this;
		this.reads = new AbortController();
		reads.abort();
	}

	/** Records the age of the newest response that a neighbour reports. */
	recordPlatformAge(milliseconds: number): void {
		this.lastResponseAt = Math.max(this.lastResponseAt, this.dependencies.clock.now() - Math.max(0, milliseconds));
	}

	private async runKey(key: string, signal: AbortSignal): Promise<void> {
		const {options} = this.dependencies;
		const loops: Record<PlatformRole, () => Promise<void>> = {
			starting: async () => this.poll(key, signal),
			watcher: async () => this.watch(key, signal),
			other: async () => this.runFallback(key, signal),
		};
		while (!signal.aborted) {
			await loops[this.dependencies.role()]();
		}
	}

	/** Reads with increasing waits until a fleet list is known. */
	private async poll(key: string, signal: AbortSignal): Promise<void> {
		const {options, role} = this.dependencies;
		for (let reads = 0; !signal.aborted && role() === 'starting'; reads += 1) {
			const dueAt = this.dependencies.clock.now() + fullJitter(reads, {
				firstMilliseconds: options.startRetryMilliseconds, maximumMilliseconds: options.fallbackMilliseconds,
			});
			while (!signal.aborted && role() === 'starting' && this.dependencies.clock.now() < dueAt) {
				await this.dependencies.clock.wait(Math.min(options.checkMilliseconds, dueAt - this.dependencies.clock.now()), signal);
			}

			if (!signal.aborted && role() === 'starting') {
				await this.read(key, 0);
			}
		}
	}

	/** Makes one long poll after the other. */
	private async watch(key: string, signal: AbortSignal): Promise<void> {
		const {options, role} = this.dependencies;
		let failures = 0;
		while (!signal.aborted && role() === 'watcher') {
			const startedAt = this.dependencies.clock.now();
			const response = await this.read(key, options.watchMilliseconds);
			if (response === undefined) {
				await this.dependencies.clock.wait(fullJitter(failures, {
					firstMilliseconds: options.retryMilliseconds, maximumMilliseconds: options.maximumRetryMilliseconds,
				}), signal);
				failures += 1;
				continue;
			}

			failures = 0;
			// Prevents a tight loop while the platform responds at once with no record or with an old one.
			if (response.type !== 'record' && this.dependencies.clock.now() - startedAt < options.watchMilliseconds / 2) {
				await this.dependencies.clock.wait(Math.random() * options.emptyResponseMilliseconds, signal);
			}
		}
	}

	/** Waits while neighbours deliver updates; otherwise reads after a wait with full jitter. */
	private async runFallback(key: string, signal: AbortSignal): Promise<void> {
		const {options, role, needsFallback} = this.dependencies;
		let dueAt: number | undefined;
		while (!signal.aborted && role() === 'other') {
			const needed = needsFallback();
			dueAt = needed ? dueAt ?? this.dependencies.clock.now() + (Math.random() * options.fallbackMilliseconds) : undefined;
			if (dueAt !== undefined && this.dependencies.clock.now() >= dueAt) {
				dueAt = undefined;
				this.dependencies.metrics.count('platform.read.fallback');
				await this.read(key, 0);
			}

			await this.dependencies.clock.wait(options.checkMilliseconds, signal);
		}
	}

	/** Reads a key once. A record that is not newer and an aborted read give `unchanged`; a failed read gives undefined. */
	private async read(key: string, waitMilliseconds: number): Promise<PlatformResponse | undefined> {
		const {store, platform, metrics, onResponse: onAnswer} = this.dependencies;
		const startedAt = this.dependencies.clock.now();
		const reads = this.reads.signal;
		metrics.count('platform.read');
		try {
			const after = store.highestSeenRevision(key);
			const response = await platform.read({
				key, after, waitMilliseconds, signal: reads,
			});
			this.lastResponseAt = this.dependencies.clock.now();
			onAnswer(startedAt);
			if (response.type !== 'record') {
				return response;
			}

			const {revision, value} = response.record;
			if (revision <= after) {
				metrics.count('platform.record.older');
				return {type: 'unchanged'};
			}

			// A neighbour may have delivered the record during the long poll.
			if (revision <= store.highestSeenRevision(key)) {
				metrics.count('platform.record.known');
				return response;
			}

			metrics.count(store.accept(key, revision, value) ? 'records.accepted' : 'records.refused');
			return response;
		} catch {
			if (reads.aborted) {
				return {type: 'unchanged'};
			}

			metrics.count('platform.read.failed');
			return undefined;
		}
	}
}

