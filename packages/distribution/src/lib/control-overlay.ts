/**
 * The control connections of this node: one to each neighbour that it chose, kept open, and those that peers opened
 * because they chose this node.
 */
import {performance} from 'node:perf_hooks';
import type {Metrics} from '@hemlockthread/telemetry';
import {
	fullJitter, waitForAbort, abortableDelay, type PeerConnection,
} from '@hemlockthread/wire';
import type {DistributionOptions} from './distribution-options.js';

/** Opens a connection to a peer, or returns the open one. @public */
export type ConnectPeer = (address: string) => Promise<PeerConnection>;

/** A neighbour to keep connected; the instance is unknown for a bootstrap address. @internal */
export type Neighbour = {address: string; instance?: string};

type Task = {stop: AbortController; attempted: Promise<void>};

/**
 * Keeps neighbours connected. Two nodes that chose each other share one connection: an incoming connection is reused, and
 * of two connections both nodes keep the one that the node with the smaller name dialled.
 *
 * @internal
 */
export class ControlOverlay {
	/** Monotonic time of the last frame received on a control connection. */
	lastReceivedAt = Number.NEGATIVE_INFINITY;

	private readonly connections = new Map<string, Set<PeerConnection>>();
	private readonly tasks = new Map<string, Task>();
	/** Wakes the task of a neighbour when a connection to it becomes ready. */
	private readonly wakeControllers = new Map<string, AbortController>();
	/** Neighbours that each control connection is kept open for: a bootstrap peer may also be a chosen neighbour. */
	private readonly holders = new Map<PeerConnection, Set<Neighbour>>();

	constructor(
		private readonly self: {instance: string; peerAddress: string},
		private readonly metrics: Metrics,
		private readonly options: DistributionOptions,
	) {}

	/** Control connections, whichever side keeps them open. */
	get open(): PeerConnection[] {
		return [...this.connections.values()].flatMap(peers => [...peers]).filter(peer => peer.isControlConnection);
	}

	/** Keeps exactly these neighbours connected; resolves after one connection attempt to each new one. */
	async setNeighbours(neighbours: readonly Neighbour[], connect: ConnectPeer): Promise<void> {
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
		const controller = this.wakeControllers.get(name);
		this.wakeControllers.delete(name);
		controller?.abort();
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
			silentMilliseconds: Math.round(performance.now() - this.lastReceivedAt),
		};
	}

	/** A signal that aborts when the next connection to the neighbour becomes ready. */
	private wakeSignal({instance}: Neighbour): AbortSignal {
		if (instance === undefined) {
			return new AbortController().signal;
		}

		const controller = this.wakeControllers.get(instance) ?? new AbortController();
		this.wakeControllers.set(instance, controller);
		return controller.signal;
	}

	private acquire(peer: PeerConnection, neighbour: Neighbour): void {
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
		void this.maintainConnection(neighbour, connect, {signal: stop.signal, finishAttempt});
		return {stop, attempted};
	}

	private async maintainConnection(neighbour: Neighbour, connect: ConnectPeer, {signal, finishAttempt}: {signal: AbortSignal; finishAttempt(): void}): Promise<void> {
		let failures = 0;
		let current: PeerConnection | undefined;
		while (!signal.aborted) {
			const woken = this.wakeSignal(neighbour);
			const peer = this.preferred(neighbour) ?? await this.dial(neighbour, connect);
			if (current !== undefined && current !== peer) {
				this.release(current, neighbour);
			}

			current = peer;
			if (peer === undefined) {
				finishAttempt();
				await this.waitBeforeDial(failures, signal, woken);
				failures += 1;
				continue;
			}

			failures = 0;
			this.acquire(peer, neighbour);
			finishAttempt();
			await waitForAbort(signal, peer.closed, woken);
			if (peer.closed.aborted && !signal.aborted) {
				this.metrics.count('overlay.lost');
				await this.waitBeforeDial(failures, signal, woken);
			}
		}

		if (current !== undefined) {
			this.release(current, neighbour);
		}

		finishAttempt();
	}

	private async waitBeforeDial(failures: number, signal: AbortSignal, woken: AbortSignal): Promise<void> {
		const waitController = new AbortController();
		const wait = fullJitter(failures, {
			firstMilliseconds: this.options.redialMilliseconds, maximumMilliseconds: this.options.maximumRedialMilliseconds,
		});
		await Promise.race([abortableDelay(wait, waitController.signal), waitForAbort(signal, woken, waitController.signal)]);
		waitController.abort();
	}

	/** Returns the open connection to a neighbour that both ends prefer. */
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
			// Another instance may use the address by now.
			return peer.usable && remote !== this.self.instance && (instance === undefined || remote === instance) ? peer : undefined;
		} catch {
			this.metrics.count('overlay.dial.failed');
			return undefined;
		}
	}
}
