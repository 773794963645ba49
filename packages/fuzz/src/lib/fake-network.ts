/**
 * In-memory network between simulated nodes, whose connections delay, reorder, duplicate and drop frames, and break.
 */
import type {NodePeerHandlers, PeerPoolApi, PeerConnectionApi} from '@hemlockthread/node';
import {CallError, RefusalReason, Verdict} from '@hemlockthread/verdict';
import {
	LinkClock, type ResponseFrame, type HelloFrame, type IncomingRequest, type PeerConnection, type RequestPayload, type RequestFrame,
} from '@hemlockthread/wire';
import type {RandomSource, SimulatedProcess} from './virtual-time.js';

/** A node, as the network sees it. @public */
export type NetworkEndpoint = {
	readonly name: string;
	readonly service: string;
	readonly failureDomain: string;
	readonly incarnation: string;
	readonly process: SimulatedProcess;
	readonly handlers: Pick<NodePeerHandlers, 'onRequest'>;
	readonly isLeaving: () => boolean;
};

/** Probabilities that a frame is delayed, dropped or duplicated. @public */
export type NetworkConditions = {slow: number; lost: number; duplicated: number};

/** @public */
export const networkConditions: readonly NetworkConditions[] = [
	{slow: 0, lost: 0, duplicated: 0},
	{slow: 0.1, lost: 0.02, duplicated: 0.1},
	{slow: 0.4, lost: 0.15, duplicated: 0.3},
];

const dialTimeoutMilliseconds = 2000;
const longestDelayMilliseconds = 4000;
const longestDetectionMilliseconds = 3000;

/** Transmits frames between the nodes of one world. @public */
export class FakeNetwork {
	conditions: NetworkConditions = networkConditions[0]!;
	private readonly endpoints = new Map<string, NetworkEndpoint>();
	private readonly partitionedPairs = new Set<string>();
	private readonly links = new Map<string, FakeLink>();

	constructor(private readonly random: RandomSource) {}

	attach(endpoint: NetworkEndpoint): void {
		this.endpoints.set(endpoint.name, endpoint);
	}

	/** Partitions two nodes: breaks their connections and prevents new ones until `heal` is called. */
	partition(first: string, second: string): void {
		this.partitionedPairs.add(pairOf(first, second));
		for (const link of this.links.values()) {
			if (pairOf(link.near.name, link.far.name) === pairOf(first, second)) {
				link.break();
			}
		}
	}

	heal(): void {
		this.partitionedPairs.clear();
	}

	/** Breaks all connections of an ended process. */
	detach(name: string): void {
		for (const link of this.links.values()) {
			if (link.near.name === name || link.far.name === name) {
				link.break();
			}
		}
	}

	directoryOf(near: NetworkEndpoint): PeerPoolApi {
		return {connect: async address => this.connect(near, address)};
	}

	/** Schedules the delivery of a frame under the current conditions: never, once, or twice. */
	transmit(to: SimulatedProcess, mayDuplicate: boolean, deliver: () => void): void {
		if (this.random.nextBoolean(this.conditions.lost)) {
			return;
		}

		to.after(this.delay(), deliver);
		if (mayDuplicate && this.random.nextBoolean(this.conditions.duplicated)) {
			to.after(this.delay(), deliver);
		}
	}

	detectionDelay(): number {
		return this.random.between(0, longestDetectionMilliseconds);
	}

	private delay(): number {
		return this.random.nextBoolean(this.conditions.slow) ? this.random.between(0, longestDelayMilliseconds) : this.random.between(0.2, 3);
	}

	private async connect(near: NetworkEndpoint, address: string): Promise<PeerConnectionApi> {
		const far = this.endpoints.get(address);
		const key = `${near.incarnation} to ${far?.incarnation}`;
		const existing = this.links.get(key);
		if (existing?.open === true) {
			return existing;
		}

		return new Promise((resolve, reject) => {
			const fail = () => {
				reject(callError(RefusalReason.connectionLost, Verdict.didNotRun));
			};

			if (far === undefined || this.partitionedPairs.has(pairOf(near.name, far.name)) || !far.process.alive) {
				near.process.after(1, fail);
				return;
			}

			const link = new FakeLink(this, near, far);
			near.process.after(dialTimeoutMilliseconds, fail);
			link.handshake(this.delay(), () => {
				this.links.set(key, link);
				resolve(link);
			});
		});
	}
}

type PendingCall = {resolve(response: ResponseFrame): void; reject(error: Error): void};

/** A connection, with the interface of its dialling side (near). */
class FakeLink implements PeerConnectionApi {
	remote: HelloFrame | undefined;
	private nearOpen = true;
	private farOpen = true;
	private nextIdentifier = 0;
	private readonly nearClock = new LinkClock();
	private readonly farClock = new LinkClock();
	private readonly pending = new Map<number, PendingCall>();
	private readonly incoming = new Map<number, AbortController>();

	constructor(private readonly network: FakeNetwork, readonly near: NetworkEndpoint, readonly far: NetworkEndpoint) {}

	get open(): boolean {
		return this.nearOpen && this.remote !== undefined;
	}

	get remoteLeaving(): boolean {
		return this.far.isLeaving();
	}

	/** Exchanges hellos, the far side's first, so that the near side's hello lets the far side bound the clock difference. */
	handshake(delay: number, ready: () => void): void {
		this.far.process.run(() => {
			const farSentAt = this.far.process.now();
			this.near.process.after(delay, () => {
				this.nearClock.recordFrame(farSentAt, undefined, this.near.process.now());
				const nearSentAt = this.near.process.now();
				this.far.process.after(delay, () => {
					this.farClock.recordFrame(nearSentAt, farSentAt, this.far.process.now());
				});
				this.remote = {
					type: 'hello', protocolVersions: [1], instance: this.far.name, incarnation: this.far.incarnation, service: this.far.service,
					failureDomain: this.far.failureDomain, leaving: false, revisions: {}, sentAt: farSentAt,
				};
				ready();
			});
		});
	}

	async call(body: RequestPayload, signal: AbortSignal): Promise<ResponseFrame> {
		if (!this.open || signal.aborted) {
			throw callError(signal.aborted ? RefusalReason.cancelled : RefusalReason.connectionLost, Verdict.didNotRun);
		}

		const identifier = this.nextIdentifier++;
		return new Promise((resolve, reject) => {
			this.pending.set(identifier, {resolve, reject});
			signal.addEventListener('abort', () => {
				if (this.pending.delete(identifier)) {
					this.network.transmit(this.far.process, false, () => {
						this.incoming.get(identifier)?.abort();
					});
					reject(callError(RefusalReason.cancelled, Verdict.mayHaveRun));
				}
			}, {once: true});
			const frame: RequestFrame = {
				type: 'request', identifier, ...body, sentAt: this.near.process.now(), heard: this.nearClock.lastReceived,
			};
			// Only requests with an identity may be duplicated: a duplicate of a reversible one would be an attempt that no node made.
			this.network.transmit(this.far.process, body.identity !== undefined, () => {
				void this.receive(frame);
			});
		});
	}

	/** Ends the connection. Each side detects it after a separate delay, and frames in transit may still arrive. */
	break(): void {
		this.near.process.after(this.network.detectionDelay(), () => {
			this.nearOpen = false;
			for (const call of this.pending.values()) {
				call.reject(callError(RefusalReason.connectionLost, Verdict.mayHaveRun));
			}

			this.pending.clear();
		});
		this.far.process.after(this.network.detectionDelay(), () => {
			this.farOpen = false;
			for (const controller of this.incoming.values()) {
				controller.abort();
			}
		});
	}

	private async receive(frame: RequestFrame): Promise<void> {
		if (!this.farOpen || this.incoming.has(frame.identifier)) {
			return;
		}

		const controller = new AbortController();
		this.incoming.set(frame.identifier, controller);
		const request: IncomingRequest = {
			frame, ageMilliseconds: this.farClock.recordFrame(frame.sentAt, frame.heard, this.far.process.now()), signal: controller.signal,
			peer: this as unknown as PeerConnection,
		};
		const response = await this.far.handlers.onRequest(request);
		this.incoming.delete(frame.identifier);
		const sentAt = this.far.process.now();
		if (this.farOpen && this.far.process.alive) {
			this.network.transmit(this.near.process, true, () => {
				this.deliverResponse({
					type: 'answer', identifier: frame.identifier, ...response, leaving: false, sentAt, heard: this.farClock.lastReceived,
				});
			});
		}
	}

	private deliverResponse(response: ResponseFrame): void {
		this.nearClock.recordFrame(response.sentAt, response.heard, this.near.process.now());
		const call = this.pending.get(response.identifier);
		this.pending.delete(response.identifier);
		call?.resolve(response);
	}
}

function callError(reason: 'cancelled' | 'connection-lost', verdict: 'did-not-run' | 'may-have-run'): Error {
	return new CallError('simulated connection failed', {props: {verdict, reason}});
}

function pairOf(first: string, second: string): string {
	return [first, second].toSorted((one, other) => one < other ? -1 : 1).join(' and ');
}
