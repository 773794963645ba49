/**
 * In-memory connections between simulated nodes that delay, reorder, duplicate and lose frames, and break.
 */
import type {NodePeerHandlers, PeerDirectory, PeerLink} from '@hemlockthread/node';
import {CallError, RefusalReason, Verdict} from '@hemlockthread/verdict';
import {
	LinkClock, type ResponseFrame, type HelloFrame, type IncomingRequest, type PeerConnection, type RequestPayload, type RequestFrame,
} from '@hemlockthread/wire';
import type {Chance, SimulatedProcess} from './virtual-time.js';

/** What the network needs of a node. @public */
export type NetworkEnd = {
	readonly name: string;
	readonly service: string;
	readonly failureDomain: string;
	readonly incarnation: string;
	readonly process: SimulatedProcess;
	readonly handlers: Pick<NodePeerHandlers, 'onRequest'>;
	readonly isLeaving: () => boolean;
};

/** Probabilities of one frame's fate. @public */
export type Weather = {slow: number; lost: number; duplicated: number};

/** @public */
export const weathers: readonly Weather[] = [
	{slow: 0, lost: 0, duplicated: 0},
	{slow: 0.1, lost: 0.02, duplicated: 0.1},
	{slow: 0.4, lost: 0.15, duplicated: 0.3},
];

const dialTimeoutMilliseconds = 2000;
const longestDelayMilliseconds = 4000;
const longestDetectionMilliseconds = 3000;

/** Carries frames between the nodes of one world. @public */
export class FakeNetwork {
	weather: Weather = weathers[0]!;
	private readonly ends = new Map<string, NetworkEnd>();
	private readonly cuts = new Set<string>();
	private readonly links = new Map<string, FakeLink>();

	constructor(private readonly chance: Chance) {}

	join(end: NetworkEnd): void {
		this.ends.set(end.name, end);
	}

	/** Breaks connections in both directions until they are healed. */
	cut(first: string, second: string): void {
		this.cuts.add(pairOf(first, second));
		for (const link of this.links.values()) {
			if (pairOf(link.near.name, link.far.name) === pairOf(first, second)) {
				link.break();
			}
		}
	}

	heal(): void {
		this.cuts.clear();
	}

	/** Breaks all connections of a process that ended. */
	leave(name: string): void {
		for (const link of this.links.values()) {
			if (link.near.name === name || link.far.name === name) {
				link.break();
			}
		}
	}

	directoryOf(near: NetworkEnd): PeerDirectory {
		return {connect: async address => this.connect(near, address)};
	}

	/** Schedules a frame by its fate; duplicates arrive as well. */
	carry(to: SimulatedProcess, mayRepeat: boolean, deliver: () => void): void {
		if (this.chance.happens(this.weather.lost)) {
			return;
		}

		to.after(this.delay(), deliver);
		if (mayRepeat && this.chance.happens(this.weather.duplicated)) {
			to.after(this.delay(), deliver);
		}
	}

	detectionDelay(): number {
		return this.chance.between(0, longestDetectionMilliseconds);
	}

	private delay(): number {
		return this.chance.happens(this.weather.slow) ? this.chance.between(0, longestDelayMilliseconds) : this.chance.between(0.2, 3);
	}

	private async connect(near: NetworkEnd, address: string): Promise<PeerLink> {
		const far = this.ends.get(address);
		const key = `${near.incarnation} to ${far?.incarnation}`;
		const held = this.links.get(key);
		if (held?.open === true) {
			return held;
		}

		return new Promise((resolve, reject) => {
			const fail = () => {
				reject(callError(RefusalReason.connectionLost, Verdict.didNotRun));
			};

			if (far === undefined || this.cuts.has(pairOf(near.name, far.name)) || !far.process.alive) {
				near.process.after(1, fail);
				return;
			}

			const link = new FakeLink(this, near, far);
			near.process.after(dialTimeoutMilliseconds, fail);
			link.greet(this.delay(), () => {
				this.links.set(key, link);
				resolve(link);
			});
		});
	}
}

type PendingCall = {resolve(answer: ResponseFrame): void; reject(error: Error): void};

/** One connection, as its dialling side uses it. */
class FakeLink implements PeerLink {
	remote: HelloFrame | undefined;
	private nearOpen = true;
	private farOpen = true;
	private nextIdentifier = 0;
	private readonly nearClock = new LinkClock();
	private readonly farClock = new LinkClock();
	private readonly pending = new Map<number, PendingCall>();
	private readonly incoming = new Map<number, AbortController>();

	constructor(private readonly network: FakeNetwork, readonly near: NetworkEnd, readonly far: NetworkEnd) {}

	get open(): boolean {
		return this.nearOpen && this.remote !== undefined;
	}

	get remoteLeaving(): boolean {
		return this.far.isLeaving();
	}

	/** The far side's hello first, then the near side's, so that the far side can bound the clock difference. */
	greet(delay: number, ready: () => void): void {
		this.far.process.run(() => {
			const farStamp = this.far.process.now();
			this.near.process.after(delay, () => {
				this.nearClock.age(farStamp, undefined, this.near.process.now());
				const nearStamp = this.near.process.now();
				this.far.process.after(delay, () => {
					this.farClock.age(nearStamp, farStamp, this.far.process.now());
				});
				this.remote = {
					type: 'hello', protocolVersions: [1], instance: this.far.name, incarnation: this.far.incarnation, service: this.far.service,
					failureDomain: this.far.failureDomain, leaving: false, revisions: {}, sentAt: farStamp,
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
					this.network.carry(this.far.process, false, () => {
						this.incoming.get(identifier)?.abort();
					});
					reject(callError(RefusalReason.cancelled, Verdict.mayHaveRun));
				}
			}, {once: true});
			const frame: RequestFrame = {
				type: 'request', identifier, ...body, sentAt: this.near.process.now(), heard: this.nearClock.lastReceived,
			};
			// A reversible request that arrives twice would be a second attempt that no node decided on.
			this.network.carry(this.far.process, body.identity !== undefined, () => {
				void this.receive(frame);
			});
		});
	}

	/** The connection ends; each side notices in its own time, and frames under way may still arrive. */
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
			frame, ageMilliseconds: this.farClock.age(frame.sentAt, frame.heard, this.far.process.now()), signal: controller.signal,
			peer: this as unknown as PeerConnection,
		};
		const answer = await this.far.handlers.onRequest(request);
		this.incoming.delete(frame.identifier);
		const sentAt = this.far.process.now();
		if (this.farOpen && this.far.process.alive) {
			this.network.carry(this.near.process, true, () => {
				this.deliver({
					type: 'answer', identifier: frame.identifier, ...answer, leaving: false, sentAt, heard: this.farClock.lastReceived,
				});
			});
		}
	}

	private deliver(answer: ResponseFrame): void {
		this.nearClock.age(answer.sentAt, answer.heard, this.near.process.now());
		const call = this.pending.get(answer.identifier);
		this.pending.delete(answer.identifier);
		call?.resolve(answer);
	}
}

function callError(reason: 'cancelled' | 'connection-lost', verdict: 'did-not-run' | 'may-have-run'): Error {
	return new CallError('connection of the simulated network failed', {props: {verdict, reason}});
}

function pairOf(first: string, second: string): string {
	return [first, second].toSorted((one, other) => one < other ? -1 : 1).join(' and ');
}
