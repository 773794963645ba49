/**
 * One connection to a peer node. Its only task (`run`) exchanges hello frames and then monitors that the peer is alive
 * until the connection ends.
 */
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {
	CallError, RefusalReason, Verdict, type RefusalReasonName, type VerdictName,
} from '@hemlockthread/verdict';
import type {Metrics} from '@hemlockthread/telemetry';
import type {RawData, WebSocket} from 'ws';
import {decodeFrame, encodeFrame} from './codec.js';
import {
	protocolVersions, type ResponseFrame, type Frame, type HelloFrame, type RequestFrame, type Revisions,
} from './frames.js';
import {LinkClock} from './link-clock.js';

/** @public */
export const connectionOptions = {
	/** Time between heartbeats on control connections. */
	heartbeatMilliseconds: 1000,
	/** Time without a received frame on a control connection after which the peer is asked for a heartbeat. */
	echoAfterMilliseconds: 1500,
	/** Time after which a connection is closed when the peer is expected to send something and sends nothing. */
	silenceTimeoutMilliseconds: 3000,
	/** Longest wait for the peer's hello. */
	helloTimeoutMilliseconds: 2000,
	/** Unsent bytes in the socket above which further requests are refused. */
	maximumBufferedBytes: 8 * 1024 * 1024,
	/** Requests in progress on one connection, in each direction. */
	maximumRequests: 4096,
} as const;

/** @public */
export type ConnectionOptions = Record<keyof typeof connectionOptions, number>;

/** State of the local node that is sent to its peers. @public */
export type LocalPeer = {
	instance: string;
	incarnation: string;
	service: string;
	failureDomain: string;
	isLeaving(): boolean;
	revisions(): Revisions;
	/** Time since the newest known response of the configuration service; undefined when there was none. */
	platformAge?(): number | undefined;
};

/** Frames and payload bytes of one connection. @public */
export type PeerTraffic = {sentFrames: number; sentBytes: number; receivedFrames: number; receivedBytes: number};

/** @public */
export type RequestPayload = Omit<RequestFrame, 'type' | 'identifier' | 'sentAt' | 'heard'>;

/** @public */
export type ResponsePayload = Omit<ResponseFrame, 'type' | 'identifier' | 'sentAt' | 'heard' | 'leaving'>;

/** A received request, with its longest possible transit time. @public */
export type IncomingRequest = {
	frame: RequestFrame;
	ageMilliseconds: number;
	/** Aborted when the peer cancels the call or the connection ends. */
	signal: AbortSignal;
	peer: PeerConnection;
};

/** @public */
export type PeerHandlers = {
	onRequest(request: IncomingRequest): Promise<ResponsePayload>;
	/** Receives announce, fetch, record, hello and heartbeat frames. */
	onControl(frame: Frame, peer: PeerConnection): void;
	onReady?(peer: PeerConnection): void;
	onLeaving?(peer: PeerConnection): void;
	onClosed?(peer: PeerConnection): void;
};

type PendingCall = {
	resolve(response: ResponseFrame): void;
	reject(error: Error): void;
};

type FrameHandlers = {[Type in Frame['type']]: (frame: Extract<Frame, {type: Type}>, receivedAt: number) => void};

/**
 * A connection between two nodes that carries calls in both directions and control frames.
 *
 * @public
 */
export class PeerConnection {
	/** The peer's hello; undefined until it arrives. */
	remote: HelloFrame | undefined;
	/** True once hello frames were exchanged, just before `onReady` is called. */
	helloExchanged = false;
	/** True once the peer reported that it is leaving the fleet. */
	remoteLeaving = false;
	/** True if this side keeps the connection open for control. */
	localControl = false;
	/** True if the peer keeps the connection open for control. */
	peerControl = false;
	readonly traffic: PeerTraffic = {
		sentFrames: 0, sentBytes: 0, receivedFrames: 0, receivedBytes: 0,
	};

	/** Monotonic time of the last call on this connection. */
	lastUsedAt = performance.now();

	private nextIdentifier = 0;
	private lastReceivedAt = performance.now();
	/** Time since which the peer is expected to send something. */
	private awaitingResponseSince = performance.now();
	private readonly pending = new Map<number, PendingCall>();
	private readonly incoming = new Map<number, AbortController>();
	private readonly clock = new LinkClock();
	private readonly closing = new AbortController();
	private readonly helloReceived: Promise<HelloFrame>;
	private resolveHello!: (hello: HelloFrame) => void;

	private readonly frameHandlers: FrameHandlers = {
		hello: frame => {
			this.receiveHello(frame);
		},
		request: (frame, receivedAt) => {
			void this.receiveRequest(frame, receivedAt);
		},
		cancel: frame => {
			this.incoming.get(frame.identifier)?.abort();
		},
		answer: (frame, receivedAt) => {
			this.clock.recordFrame(frame.sentAt, frame.heard, receivedAt);
			this.receiveResponse(frame);
		},
		heartbeat: (frame, receivedAt) => {
			this.clock.recordFrame(frame.sentAt, frame.heard, receivedAt);
			this.peerControl = frame.control === true;
			this.recordLeaving(frame.leaving);
			if (frame.echo) {
				this.sendHeartbeat(false);
			}

			this.handlers.onControl(frame, this);
		},
		announce: frame => {
			this.handlers.onControl(frame, this);
		},
		fetch: frame => {
			this.handlers.onControl(frame, this);
		},
		record: frame => {
			this.handlers.onControl(frame, this);
		},
	};

	constructor(
		private readonly socket: WebSocket,
		private readonly local: LocalPeer,
		private readonly handlers: PeerHandlers,
		private readonly metrics: Metrics,
		/** True on the side that opened the connection. */
		readonly dialled: boolean,
		private readonly options: ConnectionOptions = connectionOptions,
	) {
		this.helloReceived = new Promise(resolve => {
			this.resolveHello = resolve;
		});
		socket.binaryType = 'nodebuffer';
		socket.on('message', (data: RawData) => {
			this.receive(data as Uint8Array);
		});
		socket.on('close', () => {
			this.end();
		});
		socket.on('error', () => {
			socket.terminate();
		});
	}

	/** Aborted when the connection ends. */
	get closed(): AbortSignal {
		return this.closing.signal;
	}

	get pendingCalls(): number {
		return this.pending.size;
	}

	get usable(): boolean {
		return this.socket.readyState === 1 && this.remote !== undefined && !this.closing.signal.aborted;
	}

	/** True while either side keeps the connection open for control, which carries heartbeats continuously. */
	get isControlConnection(): boolean {
		return this.localControl || this.peerControl;
	}

	/** Bytes that are not yet written to the network. */
	get bufferedBytes(): number {
		return this.socket.bufferedAmount;
	}

	/** Sets whether this side keeps the connection open for control, and notifies the peer. */
	setControl(hold: boolean): void {
		if (this.localControl !== hold) {
			this.localControl = hold;
			this.awaitingResponseSince = performance.now();
			this.sendHeartbeat(false);
		}
	}

	/** Exchanges hello frames, then monitors the peer until the connection ends. */
	async run(): Promise<void> {
		try {
			// The dialling side sends its hello after the other side's, so that it carries a stamp that bounds the clock difference.
			if (this.dialled) {
				await this.ready();
				this.sendHello();
			} else {
				this.sendHello();
				await this.ready();
			}

			this.helloExchanged = true;
			this.handlers.onReady?.(this);
			await this.monitorPeer();
		} catch {
			// The connection ended or the peer sent no hello in time. Both are handled by closing.
		} finally {
			this.close();
		}
	}

	/** Waits for the peer's hello. */
	async ready(): Promise<HelloFrame> {
		return Promise.race([
			this.helloReceived,
			this.failAfter(this.options.helloTimeoutMilliseconds),
		]);
	}

	/**
	 * Sends a call and waits for its response.
	 *
	 * @throws CallError with `did-not-run` when nothing was sent, otherwise with `may-have-run`.
	 */
	async call(body: RequestPayload, signal: AbortSignal): Promise<ResponseFrame> {
		if (!this.usable || this.pending.size >= this.options.maximumRequests
			|| this.socket.bufferedAmount > this.options.maximumBufferedBytes) {
			throw callError('no usable connection to the peer', Verdict.didNotRun, RefusalReason.connectionLost);
		}

		if (signal.aborted) {
			throw callError('call was cancelled before it was sent', Verdict.didNotRun, RefusalReason.cancelled);
		}

		const identifier = this.nextIdentifier++;
		this.lastUsedAt = performance.now();
		if (this.pending.size === 0) {
			this.awaitingResponseSince = this.lastUsedAt;
		}

		return new Promise<ResponseFrame>((resolve, reject) => {
			const onAbort = () => {
				this.pending.delete(identifier);
				this.send({type: 'cancel', identifier});
				reject(callError('call was cancelled after it was sent to the peer', Verdict.mayHaveRun, RefusalReason.cancelled));
			};

			signal.addEventListener('abort', onAbort, {once: true});
			this.pending.set(identifier, {
				resolve(response) {
					signal.removeEventListener('abort', onAbort);
					resolve(response);
				},
				reject(error) {
					signal.removeEventListener('abort', onAbort);
					reject(error);
				},
			});
			this.send({
				type: 'request', identifier, ...body, sentAt: performance.now(), heard: this.clock.lastReceived,
			});
		});
	}

	send(frame: Frame): void {
		if (this.socket.readyState === 1) {
			const bytes = encodeFrame(frame);
			this.traffic.sentFrames += 1;
			this.traffic.sentBytes += bytes.length;
			this.socket.send(bytes);
		}
	}

	/** Sends the current revisions and whether this node is leaving. */
	sendHeartbeat(echo: boolean): void {
		const age = this.local.platformAge?.();
		this.send({
			type: 'heartbeat',
			revisions: this.local.revisions(),
			leaving: this.local.isLeaving(),
			echo,
			control: this.localControl,
			platformAgeMilliseconds: age === undefined ? undefined : Math.round(age),
			sentAt: performance.now(),
			heard: this.clock.lastReceived,
		});
	}

	/** Closes the connection; pending calls fail with `may-have-run`. */
	close(): void {
		this.socket.close();
		// An unreachable peer never completes the closing handshake.
		this.socket.terminate();
		this.end();
	}

	private sendHello(): void {
		this.send({
			type: 'hello',
			protocolVersions: [...protocolVersions],
			instance: this.local.instance,
			incarnation: this.local.incarnation,
			service: this.local.service,
			failureDomain: this.local.failureDomain,
			leaving: this.local.isLeaving(),
			revisions: this.local.revisions(),
			sentAt: performance.now(),
			heard: this.clock.lastReceived,
		});
	}

	private receive(data: Uint8Array): void {
		const receivedAt = performance.now();
		this.lastReceivedAt = receivedAt;
		this.traffic.receivedFrames += 1;
		this.traffic.receivedBytes += data.length;
		try {
			const frame = decodeFrame(data);
			if (frame === undefined) {
				this.metrics.count('peer.frame.unknown');
				return;
			}

			const handler = this.frameHandlers[frame.type] as (frame: Frame, receivedAt: number) => void;
			handler(frame, receivedAt);
		} catch {
			this.metrics.count('peer.frame.malformed');
			this.close();
		}
	}

	private receiveHello(frame: HelloFrame): void {
		if (!frame.protocolVersions.some(version => protocolVersions.includes(version))) {
			this.metrics.count('peer.version.unsupported');
			this.close();
			return;
		}

		this.remote = frame;
		this.clock.recordFrame(frame.sentAt, frame.heard, performance.now());
		this.recordLeaving(frame.leaving);
		this.resolveHello(frame);
		this.handlers.onControl(frame, this);
	}

	private async receiveRequest(frame: RequestFrame, receivedAt: number): Promise<void> {
		const ageMilliseconds = this.clock.recordFrame(frame.sentAt, frame.heard, receivedAt);
		if (this.incoming.has(frame.identifier) || this.incoming.size >= this.options.maximumRequests) {
			this.metrics.count('peer.request.dropped');
			return;
		}

		const controller = new AbortController();
		this.incoming.set(frame.identifier, controller);
		try {
			const response = await this.handlers.onRequest({
				frame, ageMilliseconds, signal: controller.signal, peer: this,
			});
			this.send({
				type: 'answer', identifier: frame.identifier, ...response, leaving: this.local.isLeaving(), sentAt: performance.now(), heard: this.clock.lastReceived,
			});
		} catch {
			// The handler failed at an unknown point, so the call may have run.
			this.metrics.count('peer.request.failed');
			this.send({
				type: 'answer', identifier: frame.identifier, verdict: Verdict.mayHaveRun, reason: RefusalReason.targetFailed, status: 0,
				headers: {}, body: new Uint8Array(0), retriesReturned: 0, level: 0,
				leaving: this.local.isLeaving(), sentAt: performance.now(), heard: this.clock.lastReceived,
			});
		} finally {
			this.incoming.delete(frame.identifier);
		}
	}

	private receiveResponse(frame: ResponseFrame): void {
		this.recordLeaving(frame.leaving);
		const call = this.pending.get(frame.identifier);
		if (call === undefined) {
			// The call was cancelled, or the response is a duplicate.
			this.metrics.count('peer.answer.unmatched');
			return;
		}

		this.pending.delete(frame.identifier);
		call.resolve(frame);
	}

	private recordLeaving(leaving: boolean): void {
		if (leaving && !this.remoteLeaving) {
			this.remoteLeaving = true;
			this.handlers.onLeaving?.(this);
		}
	}

	private async monitorPeer(): Promise<void> {
		let checkedAt = performance.now();
		while (!this.closing.signal.aborted) {
			await delay(this.options.heartbeatMilliseconds, undefined, {signal: this.closing.signal, ref: false});
			const now = performance.now();
			const processWasPaused = now - checkedAt > 2 * this.options.heartbeatMilliseconds;
			checkedAt = now;
			if (!this.isControlConnection && this.pending.size === 0) {
				continue;
			}

			// Counts only the time in which the peer was expected to send something.
			const silence = now - Math.max(this.lastReceivedAt, this.awaitingResponseSince);
			// After a pause of this process, received frames may not be processed yet, so the peer is not at fault.
			if (!processWasPaused && silence > this.options.silenceTimeoutMilliseconds) {
				this.metrics.count('peer.silent');
				return;
			}

			if (this.isControlConnection) {
				// A peer of a version without the `control` field sends no heartbeats by itself, but responds to `echo`.
				this.sendHeartbeat(silence > this.options.echoAfterMilliseconds);
			} else if (silence > this.options.heartbeatMilliseconds) {
				this.sendHeartbeat(true);
			}
		}
	}

	private async failAfter(milliseconds: number): Promise<never> {
		await delay(milliseconds, undefined, {signal: this.closing.signal, ref: false});
		throw callError('peer sent no hello', Verdict.didNotRun, RefusalReason.connectionLost);
	}

	private end(): void {
		if (this.closing.signal.aborted) {
			return;
		}

		this.closing.abort();
		for (const call of this.pending.values()) {
			call.reject(callError('connection to the peer was lost', Verdict.mayHaveRun, RefusalReason.connectionLost));
		}

		this.pending.clear();
		for (const controller of this.incoming.values()) {
			controller.abort();
		}

		this.handlers.onClosed?.(this);
	}
}

function callError(message: string, verdict: VerdictName, reason: RefusalReasonName): Error {
	return new CallError(message, {props: {verdict, reason}});
}
