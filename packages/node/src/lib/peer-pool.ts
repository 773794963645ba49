/**
 * Outgoing connections to peers, opened on demand and closed when idle.
 */
import {performance} from 'node:perf_hooks';
import {CallError, RefusalReason, Verdict} from '@hemlockthread/verdict';
import type {Metrics} from '@hemlockthread/telemetry';
import {
	dialPeer, type LocalPeer, type PeerConnection, type PeerHandlers,
} from '@hemlockthread/wire';

/** @public */
export const peerPoolOptions = {
	maximumConnections: 160,
	idleMilliseconds: 60_000,
	sweepMilliseconds: 5000,
} as const;

/**
 * Holds at most one connection per peer address.
 *
 * @public
 */
export class PeerPool {
	private readonly connections = new Map<string, PeerConnection>();
	private readonly dialling = new Map<string, Promise<PeerConnection>>();
	private readonly sweeper = setInterval(() => {
		this.closeIdle();
	}, peerPoolOptions.sweepMilliseconds);

	constructor(
		private readonly local: LocalPeer,
		private readonly handlers: PeerHandlers,
		private readonly metrics: Metrics,
	) {
		this.sweeper.unref();
	}

	get open(): Iterable<PeerConnection> {
		return this.connections.values();
	}

	/**
	 * Returns the connection to an address, opening it if needed.
	 *
	 * @throws CallError with `did-not-run` if the peer can't be reached.
	 */
	async connect(address: string, purpose: 'calls' | 'control' = 'calls'): Promise<PeerConnection> {
		const existing = this.connections.get(address);
		if (existing?.usable === true) {
			return existing;
		}

		const pendingDial = this.dialling.get(address);
		if (pendingDial !== undefined) {
			return pendingDial;
		}

		// Control connections are few and are exempt, because they must not wait for calls to end.
		if (purpose === 'calls' && this.connections.size >= peerPoolOptions.maximumConnections) {
			this.metrics.count('peer.pool.full');
			throw new CallError('maximum number of outgoing peer connections reached', {
				props: {verdict: Verdict.didNotRun, reason: RefusalReason.connectionLost},
			});
		}

		const dial = this.dial(address);
		this.dialling.set(address, dial);
		try {
			return await dial;
		} finally {
			this.dialling.delete(address);
		}
	}

	close(): void {
		clearInterval(this.sweeper);
		for (const connection of this.connections.values()) {
			connection.close();
		}
	}

	dump(): unknown {
		return {connections: this.connections.size, dialling: this.dialling.size};
	}

	private async dial(address: string): Promise<PeerConnection> {
		const connection = await dialPeer(address, this.local, this.handlers, this.metrics);
		this.connections.set(address, connection);
		connection.closed.addEventListener('abort', () => {
			if (this.connections.get(address) === connection) {
				this.connections.delete(address);
			}
		}, {once: true});
		return connection;
	}

	private closeIdle(): void {
		const now = performance.now();
		for (const connection of this.connections.values()) {
			if (!connection.isControlConnection && connection.pendingCalls === 0 && now - connection.lastUsedAt > peerPoolOptions.idleMilliseconds) {
				connection.close();
			}
		}
	}
}
