/**
 * Manages the links of a node: it dials the nodes of its neighbourhood and accepts links from other nodes. Requests are forwarded over
 * dialled links only, so that each side checks on its own whether the other responds.
 */
import {connect, createServer, type Server} from 'node:net';
import type {Clock} from './clock.js';
import {doNothing} from './do-nothing.js';
import {formatAddress, type Address} from './fleet-model.js';
import {FrameRole} from './frame-socket.js';
import {unsentOutcome, type RunOutcome} from './link-messages.js';
import type {RecordNeighbour} from './record-spread.js';
import {
	closeReasons, PeerLink, peerLinkOptions, type CancelForward, type ForwardedRequest, type PeerEvents, type PeerLocalState,
} from './peer-link.js';

/**
 * The links of a node.
 *
 * @public
 */
export class PeerLinks {
	private readonly dialled = new Map<string, PeerLink>();
	private readonly accepted = new Set<PeerLink>();
	/** Peers without an open link since the last one closed, with the earliest time of the next dial. */
	private readonly redialAt = new Map<string, number>();
	/** By peer, the time until which its link is kept although it carries no request. */
	private readonly wantedUntil = new Map<string, number>();
	private server: Server | undefined;
	private cancelCheck: (() => void) | undefined;

	constructor(private readonly local: PeerLocalState, private readonly events: PeerEvents, private readonly clock: Clock) {}

	async listen(address: Address): Promise<void> {
		const server = createServer({noDelay: true}, socket => {
			const link: PeerLink = new PeerLink(socket.remoteAddress ?? 'unknown', socket, FrameRole.accepting, this.local, this.events, this.clock, {
				onOpen: doNothing,
				onClosed: () => {
					this.accepted.delete(link);
				},
			});
			this.accepted.add(link);
		});
		this.server = server;
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(address.port, address.host, resolve);
		});
		this.scheduleCheck();
	}

	/** Dials a peer unless a link to it is open or opening. */
	ensureLink(address: Address): void {
		this.wantedUntil.set(formatAddress(address), this.clock.now() + peerLinkOptions.unusedLinkMilliseconds);
		this.linkTo(address);
	}

	/** Dials a peer and exchanges records with it. */
	ensureExchange(address: Address): void {
		this.ensureLink(address);
		this.dialled.get(formatAddress(address))?.exchangeRecords();
	}

	/** The open links on which records are exchanged. */
	* recordNeighbours(): Iterable<RecordNeighbour> {
		for (const link of [...this.dialled.values(), ...this.accepted]) {
			if (link.exchangesRecords && link.isOpen) {
				yield link;
			}
		}
	}

	/** Closes dialled links that have not been wanted for a while and carry no request. */
	closeUnused(): void {
		const now = this.clock.now();
		for (const [key, link] of this.dialled) {
			if ((this.wantedUntil.get(key) ?? 0) < now && link.isIdle) {
				link.close(closeReasons.unused);
				this.redialAt.delete(key);
			}
		}

		for (const [key, until] of this.wantedUntil) {
			if (until < now && !this.dialled.has(key)) {
				this.wantedUntil.delete(key);
				this.redialAt.delete(key);
			}
		}
	}

	/**
	 * True unless the peer is known to be unreachable, suspect or leaving; also true until its first dial has succeeded or failed. A
	 * peer is suspect if no data arrived for some time after a ping, and unreachable after a link closed or a dial failed until a link
	 * is open again. A request that is forwarded across a network partition is lost, and its caller cannot be told that it did not
	 * run; a request that waits for a connection across a partition loses the time in which another instance could serve it.
	 */
	isAvailable(address: Address): boolean {
		const key = formatAddress(address);
		const link = this.dialled.get(key);
		return link?.isOpen === true ? !link.isPeerLeaving && !link.isSuspect : !this.redialAt.has(key);
	}

	/** Forwards a request to a peer and calls `settle` once unless cancelled. The outcome is `not-run` if nothing was sent. */
	forward(address: Address, request: ForwardedRequest, settle: (outcome: RunOutcome) => void): CancelForward {
		this.wantedUntil.set(formatAddress(address), this.clock.now() + peerLinkOptions.unusedLinkMilliseconds);
		const link = this.linkTo(address);
		if (link === undefined) {
			settle(unsentOutcome('peer-unreachable'));
			return doNothing;
		}

		return link.forward(request, settle);
	}

	/** Notifies all peers immediately that this node is leaving. */
	announceLeaving(): void {
		for (const link of [...this.dialled.values(), ...this.accepted]) {
			link.ping();
		}
	}

	close(): void {
		this.cancelCheck?.();
		for (const link of [...this.dialled.values(), ...this.accepted]) {
			link.close(closeReasons.nodeStops);
		}

		this.server?.close();
	}

	dump(): unknown {
		return [...this.dialled.entries()].map(([peer, link]) => ({peer, open: link.isOpen, pending: link.pendingCount}));
	}

	private linkTo(address: Address): PeerLink | undefined {
		const key = formatAddress(address);
		const existing = this.dialled.get(key);
		if (existing !== undefined) {
			return existing;
		}

		if ((this.redialAt.get(key) ?? 0) > this.clock.now()) {
			return undefined;
		}

		const socket = connect({host: address.host, port: address.port, noDelay: true});
		const link: PeerLink = new PeerLink(key, socket, FrameRole.dialling, this.local, this.events, this.clock, {
			onOpen: () => {
				this.redialAt.delete(key);
			},
			onClosed: () => {
				this.dialled.delete(key);
				this.redialAt.set(key, this.clock.now() + peerLinkOptions.redialDelayMilliseconds);
			},
		});
		const cancelTimeout = this.clock.after(peerLinkOptions.connectTimeoutMilliseconds, () => {
			link.close(closeReasons.connectTimeout);
		});
		socket.once('connect', cancelTimeout);
		socket.once('close', cancelTimeout);
		this.dialled.set(key, link);
		return link;
	}

	private scheduleCheck(): void {
		this.cancelCheck = this.clock.after(peerLinkOptions.checkIntervalMilliseconds, () => {
			const {minimum, perLink, maximum} = peerLinkOptions.pingIntervalMilliseconds;
			const pingInterval = Math.min(maximum, Math.max(minimum, this.dialled.size * perLink));
			for (const link of this.dialled.values()) {
				link.check(pingInterval);
			}

			for (const link of this.accepted) {
				link.checkAccepted();
			}

			this.scheduleCheck();
		});
	}
}
