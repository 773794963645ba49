/**
 * TCP relay that injects network faults between two processes: it can reset, stall, delay and half-close connections, at an exact
 * byte where a test needs it.
 */
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {performance} from 'node:perf_hooks';

/** `forward` is from the connecting side to the relay's destination. @public */
export type RelayDirection = 'forward' | 'backward';

/** @public */
export type RelayAddress = {host: string; port: number};

type Faults = {
	/** Number of bytes to relay before the connection is reset. */
	bytesUntilReset: number;
	stopped: boolean;
};

const directions: readonly RelayDirection[] = ['forward', 'backward'];

/**
 * Relays TCP connections to one address. Faults apply to existing and later connections until `heal` is called.
 *
 * @public
 */
export class TcpRelayStandIn {
	/** Number of bytes relayed, by direction. */
	readonly bytes: Record<RelayDirection, number> = {forward: 0, backward: 0};
	/** Number of connections accepted. */
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

	/** Starts listening and returns the address; port 0 selects a free port. */
	async listen(host: string, port = 0): Promise<RelayAddress> {
		this.server.listen(port, host);
		await once(this.server, 'listening');
		return {host, port: (this.server.address() as AddressInfo).port};
	}

	/** Relays `bytes` more bytes in a direction, then resets the connection that carries the next byte and drops the rest of its chunk. */
	resetAfter(direction: RelayDirection, bytes: number): void {
		this.faults[direction].bytesUntilReset = bytes;
	}

	/** Resets all connections. */
	reset(): void {
		for (const connection of this.connections) {
			connection.reset();
		}
	}

	/** Resets new connections immediately, as a closed port would. */
	refuse(): void {
		this.refusing = true;
	}

	/** Queues data in a direction and relays it after `heal`, as TCP retransmits after a partition. */
	stopForwarding(direction: RelayDirection): void {
		this.faults[direction].stopped = true;
	}

	/** Delays each chunk in both directions and keeps the order. */
	delay(milliseconds: number): void {
		this.delayMilliseconds = milliseconds;
	}

	/** Ends the stream in one direction on all connections; the other direction stays open. */
	halfClose(direction: RelayDirection): void {
		for (const connection of this.connections) {
			connection.pipes[direction].end();
		}
	}

	/** Removes all faults and relays the queued data. */
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
		this.reset();
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
			allowance: wanted => this.consumeAllowance(direction, wanted),
		});
		this.connections.add(new RelayedConnection(inbound, outbound, rules, connection => {
			this.connections.delete(connection);
		}));
	}

	/** Deducts bytes from the allowance before the reset and returns how many of them may be relayed. */
	private consumeAllowance(direction: RelayDirection, wanted: number): number {
		const faults = this.faults[direction];
		const allowed = Math.min(wanted, faults.bytesUntilReset);
		faults.bytesUntilReset -= allowed;
		this.bytes[direction] += allowed;
		return allowed;
	}
}

type PipeRules = {
	stopped(): boolean;
	delayMilliseconds(): number;
	/** Returns how many of the wanted bytes may be relayed; fewer than wanted means that the connection must be reset. */
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
		const reset = () => {
			this.reset();
		};

		this.pipes = {
			forward: new Pipe(inbound, outbound, rules('forward'), reset),
			backward: new Pipe(outbound, inbound, rules('backward'), reset),
		};
		for (const socket of [inbound, outbound]) {
			socket.on('error', reset);
			socket.on('close', () => {
				this.closeIfDone();
			});
		}
	}

	/** Resets both sides. */
	reset(): void {
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

type QueuedChunk = {chunk: Uint8Array | undefined; dueAt: number};

/** One direction of a relayed connection. */
class Pipe {
	/** Chunks that are not relayed yet; an undefined chunk is the end of the stream. */
	private readonly queue: QueuedChunk[] = [];
	private timer: NodeJS.Timeout | undefined;
	private ended = false;

	constructor(source: Socket, private readonly destination: Socket, private readonly rules: PipeRules, private readonly reset: () => void) {
		source.on('data', (chunk: Uint8Array) => {
			this.enqueue(chunk);
		});
		source.on('end', () => {
			this.enqueue(undefined);
		});
		source.on('close', () => {
			clearTimeout(this.timer);
		});
	}

	/** Relays all chunks that are due. */
	flush(): void {
		clearTimeout(this.timer);
		this.timer = undefined;
		while (!this.rules.stopped() && this.queue.length > 0) {
			const wait = this.queue[0]!.dueAt - performance.now();
			if (wait > 0 && this.rules.delayMilliseconds() > 0) {
				this.timer = setTimeout(() => {
					this.flush();
				}, wait);
				return;
			}

			this.forwardChunk(this.queue.shift()!.chunk);
		}
	}

	end(): void {
		this.ended = true;
		this.destination.end();
	}

	private enqueue(chunk: Uint8Array | undefined): void {
		this.queue.push({chunk, dueAt: performance.now() + this.rules.delayMilliseconds()});
		if (this.timer === undefined) {
			this.flush();
		}
	}

	private forwardChunk(chunk: Uint8Array | undefined): void {
		if (this.ended || this.destination.destroyed) {
			return;
		}

		if (chunk === undefined) {
			this.end();
			return;
		}

		const allowed = this.rules.allowance(chunk.byteLength);
		if (allowed === chunk.byteLength) {
			this.destination.write(chunk);
			return;
		}

		// The reset waits until the allowed bytes are written, so that the receiver gets exactly these.
		this.ended = true;
		this.destination.write(chunk.subarray(0, allowed), this.reset);
	}
}

function noFaults(): Faults {
	return {bytesUntilReset: Number.POSITIVE_INFINITY, stopped: false};
}
