/**
 * The control connections of this node: one to each chosen neighbour, kept open, and those that peers chose.
 */
import {performance} from 'node:perf_hooks';
import type {Metrics} from '@hemlockthread/telemetry';
import {
	fullJitter, waitForAbort, abortableDelay, type PeerConnection,
} from '@hemlockthread/wire';
import type {DistributionOptions} from './distribution-options.js';

/** Opens a connection for control, or returns the one that is open. @public */
export type ConnectPeer = (address: string) => Promise<PeerConnection>;

/** A neighbour to keep connected; its name is unknown for a bootstrap address. @internal */
export type Neighbour = {address: string; instance?: string};

type Task = {stop: AbortController; attempted: Promise<void>};

/**
 * Keeps neighbours connected. A pair that chose each other shares one connection: an incoming one counts, and of two
 * the one dialled by the smaller name stays.
 *
 * @internal
 */
export class ControlOverlay {
	/** Monotonic time of the newest frame of a control connection. */
	heardAt = Number.NEGATIVE_INFINITY;

	private readonly connections = new Map<string, Set<PeerConnection>>();
	private readonly tasks = new Map<string, Task>();
	/** Wakes the task of a neighbour when a connection to it became ready. */
	private readonly changes = new Map<string, AbortController>();
	/** Which neighbours each control connection is kept for; a bootstrap peer may be a chosen neighbour too. */
	private readonly holders = new Map<PeerConnection, Set<Neighbour>>();

	constructor(
		private readonly self: {instance: string; peerAddress: string},
		private readonly metrics: Metrics,
		private readonly options: DistributionOptions,
	) {}

	/** Connections on which control frames go, whichever side chose them. */
	get open(): PeerConnection[] {
		return [...this.connections.values()].flatMap(peers => [...peers]).filter(peer => peer.isControlConnection);
	}

	/** Starts and stops tasks so that exactly these neighbours are kept; resolves after one attempt at each new one. */
	async keep(neighbours: readonly Neighbour[], connect: ConnectPeer): Promise<void> {
		const wanted = new Map(neighbours.filter(neighbour => neighbour.address !== this.self.peerAddress)
			.map(neighbour => [`${neighbour.address}\n${neighbour.instance ?? ''}`, neighbour]));
		for (const [identifier, task] of this.tasks) {
			if (!wanted.has(identifier)) {
				task.stop.abort();
				this.tasks.delete(identifier);
			}
		}

		for (const [identifier, neighbour] of wanted) {
			if (!this.tasks.has(identifier)) {
				this.tasks.set(identifier, this.startTask(neighbour, connect));
			}
		}

		await Promise.all([...this.tasks.values()].map(async task => task.attempted));
	}

	close(): void {
		for (const task of this.tasks.values()) {
			task.stop.abort();
		}

		this.tasks.clear();
	}

	peerReady(peer: PeerConnection): void {
		const name = peer.remote!.instance;
		const peers = this.connections.get(name) ?? new Set();
		peers.add(peer);
		this.connections.set(name, peers);
		const change = this.changes.get(name);
		this.changes.delete(name);
		change?.abort();
	}

	peerClosed(peer: PeerConnection): void {
		const name = peer.remote?.instance ?? '';
		const peers = this.connections.get(name);
		if (peers?.delete(peer) === true && peers.size === 0) {
			this.connections.delete(name);
		}
	}

	dump(): unknown {
		return {
			kept: this.tasks.size,
			control: this.open.map(peer => peer.remote?.instance),
			silentMilliseconds: Math.round(performance.now() - this.heardAt),
		};
	}

	/** Aborted at the next connection to the neighbour. */
	private changeOf({instance}: Neighbour): AbortSignal {
		if (instance === undefined) {
			return new AbortController().signal;
		}

		const change = this.changes.get(instance) ?? new AbortController();
		this.changes.set(instance, change);
		return change.signal;
	}

	private hold(peer: PeerConnection, neighbour: Neighbour): void {
		this.holders.set(peer, (this.holders.get(peer) ?? new Set()).add(neighbour));
		peer.setControl(true);
	}

	private release(peer: PeerConnection, neighbour: Neighbour): void {
		const holders = this.holders.get(peer);
		holders?.delete(neighbour);
		if (holders?.size === 0) {
			this.holders.delete(peer);
			peer.setControl(false);
		}
	}

	private startTask(neighbour: Neighbour, connect: ConnectPeer): Task {
		const stop = new AbortController();
		let finishAttempt!: () => void;
		const attempted = new Promise<void>(resolve => {
			finishAttempt = resolve;
		});
		void this.keepOne(neighbour, connect, {signal: stop.signal, finishAttempt});
		return {stop, attempted};
	}

	private async keepOne(neighbour: Neighbour, connect: ConnectPeer, {signal, finishAttempt}: {signal: AbortSignal; finishAttempt(): void}): Promise<void> {
		let failures = 0;
		let held: PeerConnection | undefined;
		while (!signal.aborted) {
			const changed = this.changeOf(neighbour);
			const peer = this.preferred(neighbour) ?? await this.dial(neighbour, connect);
			if (held !== undefined && held !== peer) {
				this.release(held, neighbour);
			}

			held = peer;
			if (peer === undefined) {
				finishAttempt();
				await this.waitBeforeDial(failures, signal, changed);
				failures += 1;
				continue;
			}

			failures = 0;
			this.hold(peer, neighbour);
			finishAttempt();
			await waitForAbort(signal, peer.closed, changed);
			if (peer.closed.aborted && !signal.aborted) {
				this.metrics.count('overlay.lost');
				await this.waitBeforeDial(failures, signal, changed);
			}
		}

		if (held !== undefined) {
			this.release(held, neighbour);
		}

		finishAttempt();
	}

	private async waitBeforeDial(failures: number, signal: AbortSignal, changed: AbortSignal): Promise<void> {
		const waiting = new AbortController();
		const wait = fullJitter(failures, {
			firstMilliseconds: this.options.redialMilliseconds, maximumMilliseconds: this.options.maximumRedialMilliseconds,
		});
		await Promise.race([abortableDelay(wait, waiting.signal), waitForAbort(signal, changed, waiting.signal)]);
		waiting.abort();
	}

	/** The open connection to a neighbour that both ends agree on. */
	private preferred({instance}: Neighbour): PeerConnection | undefined {
		if (instance === undefined) {
			return undefined;
		}

		const usable = [...this.connections.get(instance) ?? []].filter(peer => peer.usable);
		const dialledHere = this.self.instance < instance;
		return usable.find(peer => peer.dialled === dialledHere) ?? usable[0];
	}

	private async dial({address, instance}: Neighbour, connect: ConnectPeer): Promise<PeerConnection | undefined> {
		try {
			const peer = await connect(address);
			const remote = peer.remote?.instance;
			// Another instance may have taken the address over.
			return peer.usable && remote !== this.self.instance && (instance === undefined || remote === instance) ? peer : undefined;
		} catch {
			this.metrics.count('overlay.dial.failed');
			return undefined;
		}
	}
}
