/**
 * All links of a node: it dials the node beside each instance, and accepts the links of others. Requests go over dialled links
 * only, so that each side has its own view of whether the other answers.
 */
import {connect, createServer, type Server} from 'node:net';
import type {Clock} from './clock.js';
import {doNothing} from './do-nothing.js';
import {formatAddress, type Address} from './fleet-model.js';
import {FrameRole} from './frame-socket.js';
import {neverSent, type RunOutcome} from './link-messages.js';
import {
	closeReasons, PeerLink, peerLinkOptions, type CancelForward, type ForwardedRequest, type PeerEvents, type PeerLocalState,
} from './peer-link.js';

/**
 * All links of a node.
 *
 * @public
 */
export class PeerLinks {
	private readonly dialled = new Map<string, PeerLink>();
	private readonly accepted = new Set<PeerLink>();
	/** Peers whose last link ended and to which none stands since, with the time from which they are dialled again. */
	private readonly redialAt = new Map<string, number>();
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

	/** Dials a peer where no link to it is open or being opened. */
	ensureLink(address: Address): void {
		this.linkTo(address);
	}

	/**
	 * True unless the peer leaves, owes an answer to a ping, or has no link since the last one ended. What is handed over into
	 * a cut is lost, and its caller can't be told that it did not run; a request that waits for a connection into a cut loses
	 * the time in which another instance could serve it.
	 */
	accepts(address: Address): boolean {
		const key = formatAddress(address);
		const link = this.dialled.get(key);
		return link?.isOpen === true ? !link.remoteLeaving && !link.isSuspect : !this.redialAt.has(key);
	}

	/** Hands a request to a peer; settles once unless cancelled. Nothing was sent where it settles with `not-run`. */
	forward(address: Address, request: ForwardedRequest, settle: (outcome: RunOutcome) => void): CancelForward {
		const link = this.linkTo(address);
		if (link === undefined) {
			settle(neverSent('peer-unreachable'));
			return doNothing;
		}

		return link.handOver(request, settle);
	}

	/** Tells all peers at once that this node leaves. */
	announceLeaving(): void {
		for (const link of [...this.dialled.values(), ...this.accepted]) {
			link.ping();
		}
	}

	/** Asks a peer for its records, while the node knows no policy. */
	requestRecords(): void {
		const link = [...this.dialled.values()].find(candidate => candidate.isOpen);
		link?.requestRecords();
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
		const held = this.dialled.get(key);
		if (held !== undefined) {
			return held;
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
				this.redialAt.set(key, this.clock.now() + peerLinkOptions.redialMilliseconds);
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
		this.cancelCheck = this.clock.after(peerLinkOptions.checkMilliseconds, () => {
			for (const link of this.dialled.values()) {
				link.check();
			}

			for (const link of this.accepted) {
				link.checkAccepted();
			}

			this.scheduleCheck();
		});
	}
}
