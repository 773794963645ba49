/**
 * One link to another node. Messages are batched per turn of the event loop. A link on which nothing arrives after a ping is closed,
 * because a network partition or a power failure closes no connection.
 */
import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {LinkClock} from '@hemlockthread/wire';
import type {CallsByRoute} from './call-profile.js';
import type {Clock} from './clock.js';
import {doNothing} from './do-nothing.js';
import type {CompleteTo, RecordChanges} from './fleet-model.js';
import type {RevisionSummary} from './fleet-records.js';
import {FrameRole, FrameSocket, type FrameRoleName} from './frame-socket.js';
import {
	decodeMessages, encodeFrame, LinkMessageType, RunResult, unsentOutcome, type ForwardMessage, type LinkMessage, type LoadReport, type RunOutcome,
} from './link-messages.js';
import type {RecordNeighbour, RecordProgress} from './record-spread.js';
import type {RetriesByService} from './retry-budget.js';

/** @public */
export const peerLinkOptions = {
	/** Interval between checks of all links. */
	checkIntervalMilliseconds: 100,
	/** Silence on a link with pending requests after which the peer is pinged. */
	pingAfterMilliseconds: 300,
	/** Time without any data after a ping, after which a peer gets no new requests; it allows many round trips between failure domains. */
	suspectMilliseconds: 250,
	/**
	 * Interval between pings, which also exchange revisions and load reports: with many links longer, so that the messages of a node are
	 * bounded. While a request is in progress on a link, its peer is pinged much earlier.
	 */
	pingIntervalMilliseconds: {minimum: 1000, perLink: 40, maximum: 2000},
	/** Interval between reports of call counts, which change slowly. */
	callsIntervalMilliseconds: 5000,
	/** Minimum interval between load reports in results. With older reports, entry nodes choose the same instance at the same time. */
	reportIntervalMilliseconds: 5,
	/** Silence after a ping that closes the link, as in a network partition or at a peer without processor time. */
	silenceTimeoutMilliseconds: 1200,
	/** Timeout for connecting; it allows several round trips between failure domains. */
	connectTimeoutMilliseconds: 500,
	/** Delay before a peer is dialled again after its link closed or could not be opened. */
	redialDelayMilliseconds: 500,
	/** Time after which a link that is not wanted and carries no request is closed; longer than most requests and pauses between them. */
	unusedLinkMilliseconds: 10_000,
	/** Maximum number of bytes buffered in a socket before further requests are refused. */
	maximumBufferedBytes: 8 * 1024 * 1024,
	/** Maximum size of a batch of messages; several responses of the maximum size fit in it. */
	maximumFrameBytes: 80 * 1024 * 1024,
	/** Delay before the records of a peer with newer revisions are requested; neighbours usually deliver them sooner. */
	recordFetchDelayMilliseconds: 250,
} as const;

/** @public */
export type ForwardedRequest = Omit<ForwardMessage, 'type' | 'id' | 'sentAt' | 'heard'>;

/** Handlers for messages from peers and for changes of their links. @public */
export type PeerEvents = {
	onForwardedRequest(request: ForwardedRequest, ageMilliseconds: number, settle: (outcome: RunOutcome) => void): CancelForward;
	onLoad(peer: string, load: LoadReport): void;
	onCalls(peer: string, calls: CallsByRoute): void;
	/** `messageAge` is an upper bound of the time since the message was sent. */
	onProgress(source: RecordNeighbour, progress: RecordProgress, messageAge: number): void;
	onRecords(source: RecordNeighbour, changes: RecordChanges): void;
	/** Called when the peer has records with newer revisions. */
	onNewerRecords(source: RecordNeighbour): void;
	/** Returns the retries that the node grants to a peer that reported a shortfall. */
	onRetryShortfall(shortfall: RetriesByService): RetriesByService | undefined;
	onGrant(retries: RetriesByService, ageMilliseconds: number): void;
	onLinkChange(peer: string, state: 'open' | 'closed', detail: string): void;
};

/** Cancels a forwarded request at the node that runs it. @public */
export type CancelForward = () => void;

/** Local state that is sent to peers. @public */
export type PeerLocalState = {
	isLeaving(): boolean;
	revisions(): RevisionSummary;
	load(): LoadReport;
	calls(): CallsByRoute;
	/** Recent shortfall of the local retry budget. */
	retryShortfall(): RetriesByService | undefined;
	changesSince(after: CompleteTo): RecordChanges;
	progress(): RecordProgress;
};

/** Lifecycle events for the owner of a link. @internal */
export type LinkLifecycle = {
	/** Called for a dialled link once it is open. */
	onOpen(): void;
	onClosed(): void;
};

type Pending = {settle(outcome: RunOutcome): void};
type Handlers = {[Message in LinkMessage as Message['type']]: (message: Message) => void};

/**
 * Reasons for which this side closes links. On `nodeStops` and `unused`, frames that wait in the socket are still sent, but messages in the outbox
 * are dropped; for any other reason, both are dropped.
 *
 * @internal
 */
export const closeReasons = {
	nodeStops: 'local node is stopping', unused: 'not in use', silent: 'silent', connectTimeout: 'connection timed out',
} as const;

const linkLost: RunOutcome = {result: RunResult.mayHaveRun, reason: 'link-lost'};

/**
 * A link to one peer.
 *
 * @internal
 */
export class PeerLink implements RecordNeighbour {
	isPeerLeaving = false;
	/** True if this link exchanges records: this node chose the peer as a neighbour, or the peer chose this node. */
	exchangesRecords = false;
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
	private loadReportedAt = Number.NEGATIVE_INFINITY;
	private callsReportedAt = Number.NEGATIVE_INFINITY;
	private silentSincePingAt: number | undefined;
	private sentSecondPing = false;
	/** True while the delay before requesting newer records from the peer runs. */
	private isRecordFetchScheduled = false;

	private readonly handlers: Handlers = {
		[LinkMessageType.forward]: message => {
			this.receiveForward(message);
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
				type: LinkMessageType.pong, ...this.stamp(), leaving: this.local.isLeaving(), revisions: this.local.revisions(), load: this.local.load(), calls: this.dueCalls(),
				retryShortfall: this.local.retryShortfall(),
			});
		},
		[LinkMessageType.pong]: message => {
			this.receiveState(message);
			if (!this.sentSecondPing) {
				// Pings again at once: the peer can compute the age of requests only after it has received one of its own timestamps.
				this.sentSecondPing = true;
				this.ping();
			}

			this.events.onLoad(this.peer, message.load);
			if (message.calls !== undefined) {
				this.events.onCalls(this.peer, message.calls);
			}

			const retries = message.retryShortfall === undefined ? undefined : this.events.onRetryShortfall(message.retryShortfall);
			if (retries !== undefined) {
				this.send({type: LinkMessageType.grant, ...this.stamp(), retries});
			}
		},
		[LinkMessageType.requestRecords]: ({after}) => {
			this.send({type: LinkMessageType.records, ...this.local.changesSince(after)});
			this.sendProgress(this.local.progress());
		},
		[LinkMessageType.records]: ({records, completeTo, after}) => {
			this.events.onRecords(this, {records, completeTo, after});
		},
		[LinkMessageType.progress]: ({sentAt, heard, completeTo, confirmedAge, attemptAge}) => {
			const age = this.boundedAge(sentAt, heard);
			if (!this.exchangesRecords) {
				this.exchangesRecords = true;
				this.sendProgress(this.local.progress());
			}

			this.events.onProgress(this, {completeTo, confirmedAge, attemptAge}, age);
		},
		[LinkMessageType.grant]: ({sentAt, heard, retries}) => {
			this.events.onGrant(retries, this.linkClock.recordFrame(sentAt, heard, this.lastReceivedAt));
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
					if (this.exchangesRecords) {
						this.sendProgress(this.local.progress());
					}

					this.flush();
				}
			},
			onBytes: () => {
				this.lastReceivedAt = clock.now();
				this.silentSincePingAt = undefined;
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
		return this.silentSincePingAt !== undefined && this.clock.now() - this.silentSincePingAt > peerLinkOptions.suspectMilliseconds;
	}

	/** True if no request is in progress on the link in either direction. */
	get isIdle(): boolean {
		return this.pending.size === 0 && this.running.size === 0;
	}

	get pendingCount(): number {
		return this.pending.size;
	}

	forward(request: ForwardedRequest, settle: (outcome: RunOutcome) => void): CancelForward {
		if (this.socket.bufferedBytes > peerLinkOptions.maximumBufferedBytes) {
			settle(unsentOutcome('link-full'));
			return doNothing;
		}

		this.nextId += 1;
		const id = this.nextId;
		this.pending.set(id, {settle});
		this.send({
			type: LinkMessageType.forward, id, ...request, ...this.stamp(),
		});
		return () => {
			if (this.pending.delete(id)) {
				this.send({type: LinkMessageType.cancel, id});
			}
		};
	}

	ping(): void {
		this.lastPingAt = this.clock.now();
		this.silentSincePingAt ??= this.lastPingAt;
		this.send({
			type: LinkMessageType.ping, ...this.stamp(), leaving: this.local.isLeaving(), revisions: this.local.revisions(),
		});
	}

	requestChanges(after: CompleteTo): void {
		this.send({type: LinkMessageType.requestRecords, after});
	}

	sendProgress(progress: RecordProgress): void {
		if (this.isOpen) {
			this.send({type: LinkMessageType.progress, ...this.stamp(), ...progress});
		}
	}

	/** Starts the exchange of records on a dialled link. */
	exchangeRecords(): void {
		if (!this.exchangesRecords) {
			this.exchangesRecords = true;
			this.sendProgress(this.local.progress());
		}
	}

	/**
	 * Closes a dialled link if nothing arrived for too long after a ping. Otherwise pings, unless nothing has arrived since the last
	 * ping: at the regular interval, and earlier if results are pending and nothing arrived for a while.
	 */
	check(pingIntervalMilliseconds: number): void {
		if (!this.isOpen) {
			return;
		}

		const now = this.clock.now();
		const silence = now - this.lastReceivedAt;
		if (this.silentSincePingAt !== undefined && now - this.silentSincePingAt > peerLinkOptions.silenceTimeoutMilliseconds && silence > peerLinkOptions.silenceTimeoutMilliseconds) {
			this.close(closeReasons.silent);
			return;
		}

		const awaitsResult = this.pending.size > 0 && silence >= peerLinkOptions.pingAfterMilliseconds;
		if (this.silentSincePingAt === undefined && (awaitsResult || now - this.lastPingAt >= pingIntervalMilliseconds)) {
			this.ping();
		}
	}

	/** Closes an accepted link whose peer has stopped pinging. */
	checkAccepted(): void {
		if (this.clock.now() - this.lastReceivedAt > (peerLinkOptions.pingIntervalMilliseconds.maximum + peerLinkOptions.silenceTimeoutMilliseconds) * 2) {
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
		if (reason === closeReasons.nodeStops || reason === closeReasons.unused) {
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
			settle(wasOpen ? linkLost : unsentOutcome('peer-unreachable'));
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

	private receiveForward(message: ForwardMessage): void {
		const age = this.boundedAge(message.sentAt, message.heard);
		const {id} = message;
		let settled = false;
		const cancel = this.events.onForwardedRequest(message, age, outcome => {
			settled = true;
			this.running.delete(id);
			this.send({
				type: LinkMessageType.result, id, outcome, load: this.dueLoadReport(outcome),
			});
		});
		if (!settled) {
			this.running.set(id, cancel);
		}
	}

	/** Upper bound of the age of a message. */
	private boundedAge(sentAt: number, heard: number | undefined): number {
		const bound = this.linkClock.recordFrame(sentAt, heard, this.lastReceivedAt);
		// Until the clock offset is known, a message is at most as old as the connection: nothing is stamped before it is open.
		return Number.isFinite(bound) ? bound : this.lastReceivedAt - this.startedAt;
	}

	private receiveState(message: {sentAt: number; heard: number | undefined; leaving: boolean; revisions: RevisionSummary}): void {
		this.linkClock.recordFrame(message.sentAt, message.heard, this.lastReceivedAt);
		this.isPeerLeaving = message.leaving;
		if (isBehind(this.local.revisions(), message.revisions) && !this.isRecordFetchScheduled) {
			this.isRecordFetchScheduled = true;
			this.clock.after(peerLinkOptions.recordFetchDelayMilliseconds, () => {
				this.isRecordFetchScheduled = false;
				if (this.isOpen && isBehind(this.local.revisions(), message.revisions)) {
					this.events.onNewerRecords(this);
				}
			});
		}
	}

	private dueCalls(): CallsByRoute | undefined {
		const now = this.clock.now();
		if (now - this.callsReportedAt < peerLinkOptions.callsIntervalMilliseconds) {
			return undefined;
		}

		const calls = this.local.calls();
		// The first counts are reported as soon as there are any.
		if (Object.keys(calls).length > 0) {
			this.callsReportedAt = now;
		}

		return calls;
	}

	/** Returns the local load if a report is due; a refusal always reports the load that caused it. */
	private dueLoadReport(outcome: RunOutcome): LoadReport | undefined {
		const now = this.clock.now();
		if (outcome.result === RunResult.answered && now - this.loadReportedAt < peerLinkOptions.reportIntervalMilliseconds) {
			return undefined;
		}

		this.loadReportedAt = now;
		return this.local.load();
	}

	/** Updates the time remaining of a request that waited for the connection. */
	private restamped(message: LinkMessage): LinkMessage {
		if (message.type !== LinkMessageType.forward) {
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

function isBehind(local: RevisionSummary, other: RevisionSummary): boolean {
	return other.policyVersion > local.policyVersion || other.fleetRevision > local.fleetRevision;
}
