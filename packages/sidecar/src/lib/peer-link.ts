/**
 * One link to another node, whose messages are batched per turn of the event loop. A link that owes an answer
 * and stays silent is closed, because a cut or a machine without power closes nothing.
 */
import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {LinkClock} from '@hemlockthread/wire';
import type {CallsByRoute} from './call-profile.js';
import type {Clock} from './clock.js';
import {doNothing} from './do-nothing.js';
import type {RecordSnapshot} from './fleet-model.js';
import type {RevisionSummary} from './fleet-records.js';
import {FrameRole, FrameSocket, type FrameRoleName} from './frame-socket.js';
import {
	decodeMessages, encodeFrame, LinkMessageType, neverSent, RunResult, type HandOverMessage, type LinkMessage, type LoadReport, type RunOutcome,
} from './link-messages.js';
import type {RepeatsByService} from './retry-budget.js';

/** @public */
export const peerLinkOptions = {
	/** Time between two checks of all links. */
	checkMilliseconds: 100,
	/** Silence on a link that owes an answer after which the peer is asked for a sign of life. */
	pingAfterMilliseconds: 300,
	/** Time without an answer to a ping after which a peer gets no new requests: many round trips between domains. */
	suspectMilliseconds: 250,
	/** Time between pings: what peers believe and learn travels with them. */
	pingMilliseconds: 1000,
	/** Least time between load reports in results. With older reports, entry nodes choose the same instance in step. */
	reportMilliseconds: 5,
	/** Silence after a ping that ends the link: a cut, or a peer without processor time. */
	silenceLimitMilliseconds: 1200,
	/** Longest wait for a connection: several round trips between domains. */
	connectTimeoutMilliseconds: 500,
	/** Wait before a peer that could not be reached is dialled again. */
	redialMilliseconds: 500,
	/** Bytes that may wait in a socket before further requests are refused. */
	maximumBufferedBytes: 8 * 1024 * 1024,
	/** Longest batch of messages: some answers of the largest size. */
	maximumFrameBytes: 80 * 1024 * 1024,
	/** How long a peer may be ahead in revisions before its records are fetched: the service's own notice comes sooner as a rule. */
	behindMilliseconds: 250,
} as const;

/** @public */
export type ForwardedRequest = Omit<HandOverMessage, 'type' | 'id' | 'sentAt' | 'heard'>;

/** What arrives for the node from its peers. @public */
export type PeerEvents = {
	onForwardedRequest(request: ForwardedRequest, ageMilliseconds: number, answer: (outcome: RunOutcome) => void): CancelForward;
	onLoad(peer: string, load: LoadReport): void;
	onCalls(peer: string, calls: CallsByRoute): void;
	onRecords(snapshot: RecordSnapshot): void;
	/** Returns what the node gives to a peer that lacks repeats. */
	onRetryShortfall(lacks: RepeatsByService): RepeatsByService | undefined;
	onGrant(repeats: RepeatsByService, ageMilliseconds: number): void;
	onLinkChange(peer: string, state: 'open' | 'closed', detail: string): void;
};

/** Ends a request at the node that runs it. @public */
export type CancelForward = () => void;

/** @public */
export type PeerLocalState = {
	isLeaving(): boolean;
	revisions(): RevisionSummary;
	load(): LoadReport;
	calls(): CallsByRoute;
	/** Repeats that the retry budget lacked lately. */
	retryShortfall(): RepeatsByService | undefined;
	records(): RecordSnapshot;
};

/** What the owner of a link is told. @internal */
export type LinkLifecycle = {
	/** Called for a dialled link once it stands. */
	onOpen(): void;
	onClosed(): void;
};

type Pending = {settle(outcome: RunOutcome): void};
type Handlers = {[Message in LinkMessage as Message['type']]: (message: Message) => void};

/** Reasons for which this side closes links; the first lets what was sent arrive. @internal */
export const closeReasons = {nodeStops: 'node stops', silent: 'silent', connectTimeout: 'connecting took too long'} as const;

const lost: RunOutcome = {result: RunResult.mayHaveRun, reason: 'link-lost'};

/**
 * One link.
 *
 * @internal
 */
export class PeerLink {
	remoteLeaving = false;
	private readonly pending = new Map<number, Pending>();
	private readonly running = new Map<number, CancelForward>();
	private readonly linkClock = new LinkClock();
	private outbox: LinkMessage[] = [];
	private nextId = 0;
	private open = false;
	private readonly socket: FrameSocket;
	private closed = false;
	private lastReceivedAt: number;
	private readonly startedAt: number;
	private lastPingAt = 0;
	private reportedAt = Number.NEGATIVE_INFINITY;
	private pingedAt: number | undefined;
	private answeredPong = false;
	/** True while it is awaited whether the service's own notice of what the peer is ahead by comes. */
	private isCatchingUp = false;

	private readonly handlers: Handlers = {
		[LinkMessageType.handOver]: message => {
			this.receiveHandOver(message);
		},
		[LinkMessageType.cancel]: ({id}) => {
			this.running.get(id)?.();
			this.running.delete(id);
		},
		[LinkMessageType.result]: ({id, outcome, load}) => {
			if (load !== undefined) {
				this.events.onLoad(this.peer, load);
			}

			const pending = this.pending.get(id);
			this.pending.delete(id);
			pending?.settle(outcome);
		},
		[LinkMessageType.ping]: message => {
			this.receiveState(message);
			this.send({
				type: LinkMessageType.pong, ...this.stamp(), leaving: this.local.isLeaving(), revisions: this.local.revisions(), load: this.local.load(), calls: this.local.calls(),
				lacks: this.local.retryShortfall(),
			});
		},
		[LinkMessageType.pong]: message => {
			this.receiveState(message);
			if (!this.answeredPong) {
				// Without a prompt stamp after its own, the peer could bound the age of requests only by the time between pings.
				this.answeredPong = true;
				this.ping();
			}

			this.events.onLoad(this.peer, message.load);
			this.events.onCalls(this.peer, message.calls ?? {});
			const repeats = message.lacks === undefined ? undefined : this.events.onRetryShortfall(message.lacks);
			if (repeats !== undefined) {
				this.send({type: LinkMessageType.grant, ...this.stamp(), repeats});
			}
		},
		[LinkMessageType.wantRecords]: () => {
			this.send({type: LinkMessageType.records, ...this.local.records()});
		},
		[LinkMessageType.records]: ({records, completeTo}) => {
			this.events.onRecords({records, completeTo});
		},
		[LinkMessageType.grant]: ({sentAt, heard, repeats}) => {
			this.events.onGrant(repeats, this.linkClock.age(sentAt, heard, this.lastReceivedAt));
		},
	};

	constructor(
		private readonly peer: string,
		socket: Socket,
		role: FrameRoleName,
		private readonly local: PeerLocalState,
		private readonly events: PeerEvents,
		private readonly clock: Clock,
		private readonly lifecycle: LinkLifecycle,
	) {
		this.startedAt = clock.now();
		this.lastReceivedAt = this.startedAt;
		this.socket = new FrameSocket(socket, role, {
			onOpen: () => {
				this.open = true;
				this.lastReceivedAt = clock.now();
				if (role === FrameRole.dialling) {
					this.lifecycle.onOpen();
					this.events.onLinkChange(peer, 'open', '');
					this.outbox = this.outbox.map(message => this.restamped(message));
					this.ping();
					this.flush();
				}
			},
			onBytes: () => {
				this.lastReceivedAt = clock.now();
				this.pingedAt = undefined;
			},
			onFrame: bytes => {
				this.receive(bytes);
			},
			onClosed: reason => {
				this.close(reason);
			},
		}, peerLinkOptions.maximumFrameBytes);
	}

	get isOpen(): boolean {
		return this.open && !this.closed;
	}

	get isSuspect(): boolean {
		return this.pingedAt !== undefined && this.clock.now() - this.pingedAt > peerLinkOptions.suspectMilliseconds;
	}

	get pendingCount(): number {
		return this.pending.size;
	}

	handOver(request: ForwardedRequest, settle: (outcome: RunOutcome) => void): CancelForward {
		if (this.socket.bufferedBytes > peerLinkOptions.maximumBufferedBytes) {
			settle(neverSent('link-full'));
			return doNothing;
		}

		this.nextId += 1;
		const id = this.nextId;
		this.pending.set(id, {settle});
		this.send({
			type: LinkMessageType.handOver, id, ...request, ...this.stamp(),
		});
		return () => {
			if (this.pending.delete(id)) {
				this.send({type: LinkMessageType.cancel, id});
			}
		};
	}

	ping(): void {
		this.lastPingAt = this.clock.now();
		this.pingedAt ??= this.lastPingAt;
		this.send({
			type: LinkMessageType.ping, ...this.stamp(), leaving: this.local.isLeaving(), revisions: this.local.revisions(),
		});
	}

	requestRecords(): void {
		this.send({type: LinkMessageType.wantRecords});
	}

	/** Pings or closes a dialled link, by what it owes and how long it has been silent. */
	check(): void {
		if (!this.isOpen) {
			return;
		}

		const now = this.clock.now();
		const silence = now - this.lastReceivedAt;
		if (this.pingedAt !== undefined && now - this.pingedAt > peerLinkOptions.silenceLimitMilliseconds && silence > peerLinkOptions.silenceLimitMilliseconds) {
			this.close(closeReasons.silent);
			return;
		}

		const isOwed = this.pending.size > 0 && silence >= peerLinkOptions.pingAfterMilliseconds;
		if (this.pingedAt === undefined && (isOwed || now - this.lastPingAt >= peerLinkOptions.pingMilliseconds)) {
			this.ping();
		}
	}

	/** Ends an accepted link whose peer no longer pings. */
	checkAccepted(): void {
		if (this.clock.now() - this.lastReceivedAt > (peerLinkOptions.pingMilliseconds + peerLinkOptions.silenceLimitMilliseconds) * 2) {
			this.close(closeReasons.silent);
		}
	}

	close(reason: string): void {
		if (this.closed) {
			return;
		}

		this.closed = true;
		this.lifecycle.onClosed();
		this.events.onLinkChange(this.peer, 'closed', reason);
		const wasOpen = this.open;
		if (reason === closeReasons.nodeStops) {
			this.socket.end();
		} else {
			this.socket.destroy();
		}

		for (const cancel of this.running.values()) {
			cancel();
		}

		this.running.clear();
		const pending = [...this.pending.values()];
		this.pending.clear();
		for (const {settle} of pending) {
			settle(wasOpen ? lost : neverSent('peer-unreachable'));
		}
	}

	private receive(data: Buffer): void {
		try {
			for (const message of decodeMessages(data)) {
				(this.handlers[message.type] as (message: LinkMessage) => void)(message);
			}
		} catch (error) {
			this.close(`protocol error: ${(error as Error).message}`);
		}
	}

	private receiveHandOver(message: HandOverMessage): void {
		const bound = this.linkClock.age(message.sentAt, message.heard, this.lastReceivedAt);
		// Before the clocks are related, a message is at most as old as the connection: nothing is stamped before it stands.
		const age = Number.isFinite(bound) ? bound : this.lastReceivedAt - this.startedAt;
		const {id} = message;
		let answered = false;
		const cancel = this.events.onForwardedRequest(message, age, outcome => {
			answered = true;
			this.running.delete(id);
			this.send({
				type: LinkMessageType.result, id, outcome, load: this.freshLoad(outcome),
			});
		});
		if (!answered) {
			this.running.set(id, cancel);
		}
	}

	private receiveState(message: {sentAt: number; heard: number | undefined; leaving: boolean; revisions: RevisionSummary}): void {
		this.linkClock.age(message.sentAt, message.heard, this.lastReceivedAt);
		this.remoteLeaving = message.leaving;
		const mine = this.local.revisions();
		const behind = isBehind(mine, message.revisions);
		if (behind && mine.policyVersion === 0) {
			this.requestRecords();
		} else if (behind && !this.isCatchingUp) {
			this.isCatchingUp = true;
			this.clock.after(peerLinkOptions.behindMilliseconds, () => {
				this.isCatchingUp = false;
				if (this.isOpen && isBehind(this.local.revisions(), message.revisions)) {
					this.requestRecords();
				}
			});
		}
	}

	/** The own load, where a report is due; a refusal always tells the load that caused it. */
	private freshLoad(outcome: RunOutcome): LoadReport | undefined {
		const now = this.clock.now();
		if (outcome.result === RunResult.answered && now - this.reportedAt < peerLinkOptions.reportMilliseconds) {
			return undefined;
		}

		this.reportedAt = now;
		return this.local.load();
	}

	/** A request that waited for the connection is sent with the time that it has left then. */
	private restamped(message: LinkMessage): LinkMessage {
		if (message.type !== LinkMessageType.handOver) {
			return message;
		}

		const waited = this.clock.now() - message.sentAt;
		return {
			...message, ...this.stamp(), remainingMilliseconds: message.remainingMilliseconds - waited, startTimeoutMilliseconds: message.startTimeoutMilliseconds - waited,
		};
	}

	private stamp(): {sentAt: number; heard: number | undefined} {
		return {sentAt: this.clock.now(), heard: this.linkClock.lastReceived};
	}

	private send(message: LinkMessage): void {
		if (this.closed) {
			return;
		}

		this.outbox.push(message);
		if (this.outbox.length === 1) {
			setImmediate(() => {
				this.flush();
			});
		}
	}

	private flush(): void {
		if (this.closed || !this.open || this.outbox.length === 0) {
			return;
		}

		const messages = this.outbox;
		this.outbox = [];
		this.socket.send(encodeFrame(messages));
	}
}

function isBehind(mine: RevisionSummary, other: RevisionSummary): boolean {
	return other.policyVersion > mine.policyVersion || other.fleetRevision > mine.fleetRevision;
}
