/**
 * Brings records to this node, from the configuration service and from neighbours, and passes them on.
 */
import {performance} from 'node:perf_hooks';
import {membershipOptions, type FleetView} from '@hemlockthread/membership';
import type {Metrics} from '@hemlockthread/telemetry';
import {abortableDelay, type Frame, type PeerConnection} from '@hemlockthread/wire';
import {ControlOverlay, type ConnectPeer, type Neighbour} from './control-overlay.js';
import {distributionOptions, type DistributionOptions} from './distribution-options.js';
import type {PlatformClient} from './platform-client.js';
import {PlatformWatcher, type PlatformRole} from './platform-watcher.js';
import {RecordExchange} from './record-exchange.js';
import type {RecordStore} from './record-store.js';

const settlePollMilliseconds = 20;

/** @public */
export type RecordDistributorDependencies = {
	self: {instance: string; peerAddress: string};
	store: RecordStore;
	fleet: FleetView;
	platform: Pick<PlatformClient, 'read'>;
	metrics: Metrics;
	/** Peers to ask before a fleet list is known. */
	bootstrapPeers?: readonly string[];
	options?: Partial<DistributionOptions>;
};

/**
 * Owns the control connections and the reads of the configuration service.
 *
 * @public
 */
export class RecordDistributor {
	private readonly options: DistributionOptions;
	private readonly exchange: RecordExchange;
	private readonly overlay: ControlOverlay;
	private readonly watcher: PlatformWatcher;
	/** Frames sent before this time may have waited in a socket while this process was paused. */
	private doubtedBefore = Number.NEGATIVE_INFINITY;
	private settledAt: number | undefined;

	constructor(private readonly parts: RecordDistributorDependencies) {
		const {self, store, platform, metrics} = parts;
		this.options = {...distributionOptions, ...parts.options};
		this.exchange = new RecordExchange(store, metrics, this.options);
		this.overlay = new ControlOverlay(self, metrics, this.options);
		this.watcher = new PlatformWatcher({
			store, platform, metrics, options: this.options, clock: {now: () => performance.now(), wait: abortableDelay},
			role: () => this.role(), needsFallback: () => this.needsFallback(),
			onAnswer: askedAt => {
				this.confirm(askedAt);
			},
		});
		store.onChange(record => {
			this.exchange.announce(record.key);
		});
	}

	/** Time since the newest answer of the configuration service that this node knows of. */
	platformAge(): number | undefined {
		const age = performance.now() - this.watcher.answeredAt;
		return Number.isFinite(age) ? age : undefined;
	}

	/** Spreads records until the signal aborts. */
	async run(signal: AbortSignal, connect: ConnectPeer): Promise<void> {
		const keep = async () => this.overlay.keep(signal.aborted ? [] : this.neighbours(), connect);
		this.parts.fleet.onReplaced(() => {
			void keep();
		});
		signal.addEventListener('abort', () => {
			this.exchange.close();
			this.overlay.close();
		}, {once: true});
		await Promise.all([keep(), this.watcher.readFirst(signal)]);
		await Promise.all([this.settle(keep, signal), this.watcher.run(signal)]);
	}

	/** Handles announce, fetch and record frames, and the revisions in hello and heartbeat frames. */
	receive(frame: Frame, peer: PeerConnection): void {
		if (peer.closed.aborted) {
			return;
		}

		if (frame.type === 'hello' || frame.type === 'heartbeat') {
			this.confirm(frame.heard ?? Number.NEGATIVE_INFINITY);
		}

		if (peer.isControlConnection) {
			this.overlay.heardAt = performance.now();
		}

		if (frame.type === 'heartbeat' && frame.platformAgeMilliseconds !== undefined) {
			this.watcher.noteAge(frame.platformAgeMilliseconds);
		}

		this.exchange.receive(frame, peer);
	}

	peerReady(peer: PeerConnection): void {
		this.overlay.peerReady(peer);
	}

	peerClosed(peer: PeerConnection): void {
		this.overlay.peerClosed(peer);
		this.exchange.forget(peer);
	}

	/** After a pause of this process: asks peers and platform again, and believes only what is sent from now on. */
	notePause(milliseconds: number): void {
		if (milliseconds < membershipOptions.pauseThresholdMilliseconds) {
			return;
		}

		this.parts.fleet.notePause(milliseconds);
		this.doubtedBefore = performance.now();
		this.watcher.restart();
		for (const peer of this.overlay.open) {
			peer.sendHeartbeat(true);
		}
	}

	dump(): unknown {
		return {
			settled: this.settledAt !== undefined, role: this.role(), platformAgeMilliseconds: Math.round(this.platformAge() ?? -1),
			overlay: this.overlay.dump(),
		};
	}

	private confirm(provenAt: number): void {
		if (provenAt >= this.doubtedBefore) {
			this.parts.fleet.confirm();
		}
	}

	private neighbours(): Neighbour[] {
		const {fleet, bootstrapPeers = []} = this.parts;
		return fleet.size === 0
			? bootstrapPeers.map(address => ({address}))
			: fleet.neighbours().map(({name, peerAddress}) => ({instance: name, address: peerAddress}));
	}

	private role(): PlatformRole {
		if (this.parts.fleet.size === 0) {
			return 'starting';
		}

		return this.parts.fleet.isWatcher() ? 'watcher' : 'other';
	}

	private needsFallback(): boolean {
		return performance.now() - this.overlay.heardAt > this.options.neighbourSilenceMilliseconds
			|| (this.platformAge() ?? Number.POSITIVE_INFINITY) > this.options.platformSilenceMilliseconds;
	}

	/**
	 * Brings deferred records in force once the platform and the neighbours were asked, so that a process that starts with
	 * a stale answer of the platform does not serve under an older policy than its neighbours hold.
	 */
	private async settle(keep: () => Promise<void>, signal: AbortSignal): Promise<void> {
		let heldAt: number | undefined;
		while (!signal.aborted) {
			if (this.options.deferredKeys.every(key => this.parts.store.get(key) !== undefined)) {
				heldAt ??= performance.now();
				const waited = performance.now() - heldAt > this.options.startupSyncTimeoutMilliseconds;
				const waiting = new AbortController();
				await Promise.race([keep(), abortableDelay(this.options.startupSyncTimeoutMilliseconds, waiting.signal)]);
				waiting.abort();
				if (this.exchange.idle || waited) {
					this.settledAt = performance.now();
					this.parts.store.activateDeferred();
					return;
				}
			}

			await abortableDelay(settlePollMilliseconds, signal);
		}
	}
}
