/**
 * A TCP relay between two processes that can cut, stall, delay and half-close connections, so that tests can break the
 * network at an exact byte.
 */
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {performance} from 'node:perf_hooks';

/** `forward`: from the side that connected to the relay to the relay's destination. @public */
export type RelayDirection = 'forward' | 'backward';

/** @public */
export type RelayAddress = {host: string; port: number};

type Faults = {
	/** Bytes that still pass before the connection is cut. */
	bytesUntilCut: number;
	stopped: boolean;
};

const directions: readonly RelayDirection[] = ['forward', 'backward'];

/**
 * Relays TCP connections to one address. Faults apply to connections that exist and to later ones, until `heal`.
 *
 * @public
 */
export class TcpRelayStandIn {
	/** Bytes passed on, by direction. */
	readonly bytes: Record<RelayDirection, number> = {forward: 0, backward: 0};
	/** Connections accepted so far. */
	accepted = 0;
	private refusing = false;
	private delayMilliseconds = 0;
	private readonly faults: Record<RelayDirection, Faults> = {forward: noFaults(), backward: noFaults()};
	private readonly connections = new Set<RelayedConnection>();
	private readonly server: Server;

	constructor(readonly destination: RelayAddress) {
		this.server = createServer({allowHalfOpen: true, noDelay: true}, socket => {
			this.accept(socket);
		});
	}

	get open(): number {
		return this.connections.size;
	}

	/** Listens; port 0 takes a free one. Returns the address listened on. */
	async listen(host: string, port = 0): Promise<RelayAddress> {
		this.server.listen(port, host);
		await once(this.server, 'listening');
		return {host, port: (this.server.address() as AddressInfo).port};
	}

	/** Cuts the connection that carries the byte after the next `bytes` ones in a direction; the rest of that chunk is lost. */
	cutAfter(direction: RelayDirection, bytes: number): void {
		this.faults[direction].bytesUntilCut = bytes;
	}

	/** Cuts all connections now. */
	cut(): void {
		for (const connection of this.connections) {
			connection.cut();
		}
	}

	/** Resets new connections at once, as a closed port would. */
	refuse(): void {
		this.refusing = true;
	}

	/** Holds what arrives in a direction. It is passed on after `heal`, as TCP does after a partition. */
	stopForwarding(direction: RelayDirection): void {
		this.faults[direction].stopped = true;
	}

	/** Passes on each chunk after a wait, in both directions and in order. */
	delay(milliseconds: number): void {
		this.delayMilliseconds = milliseconds;
	}

	/** Ends the stream in one direction on all connections; the other direction goes on. */
	halfClose(direction: RelayDirection): void {
		for (const connection of this.connections) {
			connection.pipes[direction].end();
		}
	}

	/** Ends all faults and passes on what was held. */
	heal(): void {
		this.refusing = false;
		this.delayMilliseconds = 0;
		for (const direction of directions) {
			this.faults[direction] = noFaults();
			for (const connection of this.connections) {
				connection.pipes[direction].flush();
			}
		}
	}

	async close(): Promise<void> {
		this.cut();
		this.server.close();
		await once(this.server, 'close');
	}

	private accept(inbound: Socket): void {
		this.accepted += 1;
		if (this.refusing) {
			inbound.resetAndDestroy();
			return;
		}

		const outbound = connect({...this.destination, allowHalfOpen: true, noDelay: true});
		const rules = (direction: RelayDirection): PipeRules => ({
			stopped: () => this.faults[direction].stopped,
			delayMilliseconds: () => this.delayMilliseconds,
			allowance: wanted => this.take(direction, wanted),
		});
		this.connections.add(new RelayedConnection(inbound, outbound, rules, connection => {
			this.connections.delete(connection);
		}));
	}

	/** Counts bytes against the cut; returns how many of them may pass. */
	private take(direction: RelayDirection, wanted: number): number {
		const faults = this.faults[direction];
		const passing = Math.min(wanted, faults.bytesUntilCut);
		faults.bytesUntilCut -= passing;
		this.bytes[direction] += passing;
		return passing;
	}
}

type PipeRules = {
	stopped(): boolean;
	delayMilliseconds(): number;
	/** Returns how many of the wanted bytes may pass; fewer means that the connection is cut. */
	allowance(wanted: number): number;
};

/** Both directions of one relayed connection. */
class RelayedConnection {
	readonly pipes: Record<RelayDirection, Pipe>;

	constructor(
		private readonly inbound: Socket,
		private readonly outbound: Socket,
		rules: (direction: RelayDirection) => PipeRules,
		private readonly onClosed: (connection: RelayedConnection) => void,
	) {
		const cut = () => {
			this.cut();
		};

		this.pipes = {
			forward: new Pipe(inbound, outbound, rules('forward'), cut),
			backward: new Pipe(outbound, inbound, rules('backward'), cut),
		};
		for (const socket of [inbound, outbound]) {
			socket.on('error', cut);
			socket.on('close', () => {
				this.closeIfDone();
			});
		}
	}

	/** Resets both sides. */
	cut(): void {
		this.inbound.resetAndDestroy();
		this.outbound.resetAndDestroy();
		this.onClosed(this);
	}

	private closeIfDone(): void {
		if (this.inbound.destroyed && this.outbound.destroyed) {
			this.onClosed(this);
		}
	}
}

type Held = {chunk: Uint8Array | undefined; dueAt: number};

/** One direction of a connection. */
class Pipe {
	/** What has not been passed on yet; a chunk of undefined is the end of the stream. */
	private readonly held: Held[] = [];
	private timer: NodeJS.Timeout | undefined;
	private ended = false;

	constructor(source: Socket, private readonly destination: Socket, private readonly rules: PipeRules, private readonly cut: () => void) {
		source.on('data', (chunk: Uint8Array) => {
			this.hold(chunk);
		});
		source.on('end', () => {
			this.hold(undefined);
		});
		source.on('close', () => {
			clearTimeout(this.timer);
		});
	}

	/** Passes on what is due. */
	flush(): void {
		clearTimeout(this.timer);
		this.timer = undefined;
		while (!this.rules.stopped() && this.held.length > 0) {
			const wait = this.held[0]!.dueAt - performance.now();
			if (wait > 0 && this.rules.delayMilliseconds() > 0) {
				this.timer = setTimeout(() => {
					this.flush();
				}, wait);
				return;
			}

			this.pass(this.held.shift()!.chunk);
		}
	}

	end(): void {
		this.ended = true;
		this.destination.end();
	}

	private hold(chunk: Uint8Array | undefined): void {
		this.held.push({chunk, dueAt: performance.now() + this.rules.delayMilliseconds()});
		if (this.timer === undefined) {
			this.flush();
		}
	}

	private pass(chunk: Uint8Array | undefined): void {
		if (this.ended || this.destination.destroyed) {
			return;
		}

		if (chunk === undefined) {
			this.end();
			return;
		}

		const passing = this.rules.allowance(chunk.byteLength);
		if (passing === chunk.byteLength) {
			this.destination.write(chunk);
			return;
		}

		// What may still pass is written out before the reset, so that the receiver sees exactly these bytes.
		this.ended = true;
		this.destination.write(chunk.subarray(0, passing), this.cut);
	}
}

function noFaults(): Faults {
	return {bytesUntilCut: Number.POSITIVE_INFINITY, stopped: false};
}
