/**
 * Brings records to this node: from the configuration service and from neighbours.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {Metrics} from '@hemlockthread/telemetry';
import type {Frame, PeerConnection} from '@hemlockthread/wire';
import type {PlatformClient} from './platform-client.js';
import type {RecordStore} from './record-store.js';

/** @public */
export const distributionOptions = {
	keys: ['policy', 'fleet'],
	/** Longest wait of one watch. */
	watchMilliseconds: 20_000,
	/** Wait after a failed read. */
	retryMilliseconds: 500,
} as const;

/**
 * Watches the configuration service and exchanges records with neighbours.
 *
 * @public
 */
export class RecordDistributor {
	constructor(
		private readonly store: RecordStore,
		private readonly platform: PlatformClient,
		private readonly metrics: Metrics,
	) {}

	/** Runs one watch per key until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all(distributionOptions.keys.map(async key => this.watch(key, signal)));
	}

	/** Handles announce, fetch and record frames, and the revisions in hello and heartbeat frames. */
	receive(_frame: Frame, _peer: PeerConnection): void {
		this.metrics.count('records.frame');
	}

	private async watch(key: string, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			try {
				const record = await this.platform.read(key, this.store.get(key)?.revision ?? 0, distributionOptions.watchMilliseconds, signal);
				if (record !== undefined) {
					this.store.accept(record.key, record.revision, record.value);
				}
			} catch {
				this.metrics.count('platform.read.failed');
				await delay(distributionOptions.retryMilliseconds, undefined, {signal}).catch(() => undefined);
			}
		}
	}
}
