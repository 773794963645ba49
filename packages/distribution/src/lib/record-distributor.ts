/**
 * Gets records from the configuration service and from neighbours and forwards them to other neighbours, so that records
 * reach nodes that can't reach the service.
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

const startupPollMilliseconds = 20;

/** @public */
export type RecordDistributorDependencies = {
	self: {instance: string; peerAddress: string};
	store: RecordStore;
	fleet: FleetView;
	platform: Pick<PlatformClient, 'read'>;
	metrics: Metrics;
	/** Addresses of peers to connect to before a fleet list is known. */
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
	/** Frames sent before this time may have waited in a socket while this process was paused, so they confirm nothing. */
	private untrustedBefore = Number.NEGATIVE_INFINITY;
	private deferredActivatedAt: number | undefined;

	constructor(private readonly dependencies: RecordDistributorDependencies) {
		const {self, store, platform, metrics} = dependencies;
		this.options = {...distributionOptions, ...dependencies.options};
		this.exchange = new RecordExchange(store, metrics, this.options);
		this.overlay = new ControlOverlay(self, metrics, this.options);
		this.watcher = new PlatformWatcher({
			store, platform, metrics, options: this.options, clock: {now: () => performance.now(), wait: abortableDelay},
			role: () => this.role(), needsFallback: () => this.needsFallback(),
			onResponse: startedAt => {
				this.confirm(startedAt);
			},
		});
		store.onChange(record => {
			this.exchange.announce(record.key);
		});
	}

	/** Time since the newest response of the configuration service, to this node or to one that a neighbour reported. */
	platformAge(): number | undefined {
		const age = performance.now() - this.watcher.lastResponseAt;
		return Number.isFinite(age) ? age : undefined;
	}

	/** Distributes records until the signal aborts. */
	async run(signal: AbortSignal, connect: ConnectPeer): Promise<void> {
		const updateNeighbours = async () => this.overlay.setNeighbours(signal.aborted ? [] : this.neighbours(), connect);
		this.dependencies.fleet.onReplaced(() => {
			void updateNeighbours();
		});
		signal.addEventListener('abort', () => {
			this.exchange.close();
			this.overlay.close();
		}, {once: true});
		await Promise.all([updateNeighbours(), this.watcher.readInitial(signal)]);
		await Promise.all([this.activateDeferredRecords(updateNeighbours, signal), this.watcher.run(signal)]);
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
			this.overlay.lastReceivedAt = performance.now();
		}

		if (frame.type === 'heartbeat' && frame.platformAgeMilliseconds !== undefined) {
			this.watcher.recordPlatformAge(frame.platformAgeMilliseconds);
		}

		this.exchange.receive(frame, peer);
	}

	peerReady(peer: PeerConnection): void {
		this.overlay.peerReady(peer);
	}

	peerClosed(peer: PeerConnection): void {
		this.overlay.peerClosed(peer);
		this.exchange.removePeer(peer);
	}

	/**
	 * After a long pause of this process, asks peers and the platform again. Only what they send from now on confirms the
	 * fleet list.
	 */
	recordPause(milliseconds: number): void {
		if (milliseconds < membershipOptions.pauseThresholdMilliseconds) {
			return;
		}

		this.dependencies.fleet.recordPause(milliseconds);
		this.untrustedBefore = performance.now();
		this.watcher.abortReads();
		for (const peer of this.overlay.open) {
			peer.sendHeartbeat(true);
		}
	}

	dump(): unknown {
		return {
			settled: this.deferredActivatedAt !== undefined, role: this.role(), platformAgeMilliseconds: Math.round(this.platformAge() ?? -1),
			overlay: this.overlay.dump(),
		};
	}

	private confirm(earliestSentAt: number): void {
		if (earliestSentAt >= this.untrustedBefore) {
			this.dependencies.fleet.confirm();
		}
	}

	private neighbours(): Neighbour[] {
		const {fleet, bootstrapPeers = []} = this.dependencies;
		return fleet.size === 0
			? bootstrapPeers.map(address => ({address}))
			: fleet.neighbours().map(({name, peerAddress}) => ({instance: name, address: peerAddress}));
	}

	private role(): PlatformRole {
		if (this.dependencies.fleet.size === 0) {
			return 'starting';
		}

		return this.dependencies.fleet.isWatcher() ? 'watcher' : 'other';
	}

	private needsFallback(): boolean {
		return performance.now() - this.overlay.lastReceivedAt > this.options.neighbourSilenceMilliseconds
			|| (this.platformAge() ?? Number.POSITIVE_INFINITY) > this.options.platformSilenceMilliseconds;
	}

	/**
	 * Activates deferred records after the platform and the neighbours were asked, so that a node that got a stale response
	 * from the platform at start does not apply an older policy than its neighbours.
	 */
	private async activateDeferredRecords(updateNeighbours: () => Promise<void>, signal: AbortSignal): Promise<void> {
		let recordsKnownAt: number | undefined;
		while (!signal.aborted) {
			if (this.options.deferredKeys.every(key => this.dependencies.store.get(key) !== undefined)) {
				recordsKnownAt ??= performance.now();
				const timedOut = performance.now() - recordsKnownAt > this.options.startupSyncTimeoutMilliseconds;
				const waitController = new AbortController();
				await Promise.race([updateNeighbours(), abortableDelay(this.options.startupSyncTimeoutMilliseconds, waitController.signal)]);
				waitController.abort();
				if (this.exchange.idle || timedOut) {
					this.deferredActivatedAt = performance.now();
					this.dependencies.store.activateDeferred();
					return;
				}
			}

			await abortableDelay(startupPollMilliseconds, signal);
		}
	}
}
