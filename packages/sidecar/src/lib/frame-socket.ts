/**
 * A TCP connection between two nodes that carries frames: a length of four bytes and as many bytes. A WebSocket on top cost
 * about a tenth of a node's processor time for masks and its own streams, and adds nothing between processes that know
 * their peer's protocol; see docs/platform.md.
 */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {frameHeaderBytes} from './link-messages.js';

/** @internal */
export type FrameEvents = {
	onOpen(): void;
	/** Called whenever something arrives, also a part of a frame. */
	onBytes(): void;
	/** Called with the bytes of one frame, without its length. */
	onFrame(bytes: Buffer): void;
	/** Called once, unless this side ends the connection. */
	onClosed(reason: string): void;
};

/**
 * First bytes on a connection from the node that dials, so that whatever else connects to the port is refused. The digit
 * is the version of the frames.
 */
const preface = Buffer.from('hemlock1', 'latin1');

/** Side of a connection. @internal */
export const FrameRole = {dialling: 'dialling', accepting: 'accepting'} as const;

/** @internal */
export type FrameRoleName = (typeof FrameRole)[keyof typeof FrameRole];

/**
 * Frames on one connection.
 *
 * @internal
 */
export class FrameSocket {
	/** What was read and is not handled yet; joined only once a frame is whole, so that each byte is copied once. */
	private held: Buffer[] = [];
	private heldBytes = 0;
	/** Bytes to hold before there is something to handle. */
	private neededBytes: number;
	private awaitsPreface: boolean;
	private closed = false;

	constructor(private readonly socket: Socket, role: FrameRoleName, private readonly events: FrameEvents, private readonly maximumFrameBytes: number) {
		this.awaitsPreface = role === FrameRole.accepting;
		this.neededBytes = this.awaitsPreface ? preface.length : frameHeaderBytes;
		if (role === FrameRole.dialling) {
			socket.once('connect', () => {
				socket.write(preface);
				events.onOpen();
			});
		}

		socket.on('data', (bytes: Buffer) => {
			this.receive(bytes);
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			this.fail(error.code ?? error.message);
		});
		socket.on('end', () => {
			this.fail('closed by the peer');
		});
		socket.on('close', () => {
			this.fail('closed by the peer');
		});
	}

	/** Bytes that wait to be sent. */
	get bufferedBytes(): number {
		return this.socket.writableLength;
	}

	send(frame: Buffer): void {
		this.socket.write(frame);
	}

	/** Ends the connection after what was sent. */
	end(): void {
		this.closed = true;
		this.socket.end();
	}

	/** Ends the connection at once. */
	destroy(): void {
		this.closed = true;
		this.socket.destroy();
	}

	private receive(bytes: Buffer): void {
		this.events.onBytes();
		this.held.push(bytes);
		this.heldBytes += bytes.length;
		if (this.heldBytes < this.neededBytes) {
			return;
		}

		let rest = this.held.length === 1 ? bytes : Buffer.concat(this.held);
		if (this.awaitsPreface) {
			if (!rest.subarray(0, preface.length).equals(preface)) {
				this.fail('not a node');
				return;
			}

			this.awaitsPreface = false;
			rest = rest.subarray(preface.length);
			this.events.onOpen();
		}

		this.neededBytes = frameHeaderBytes;
		while (!this.closed && rest.length >= frameHeaderBytes) {
			const length = rest.readUInt32BE(0);
			if (length > this.maximumFrameBytes) {
				this.fail(`frame of ${length} bytes`);
				return;
			}

			const end = frameHeaderBytes + length;
			if (rest.length < end) {
				this.neededBytes = end;
				break;
			}

			this.events.onFrame(rest.subarray(frameHeaderBytes, end));
			rest = rest.subarray(end);
		}

		this.held = rest.length === 0 ? [] : [rest];
		this.heldBytes = rest.length;
	}

	private fail(reason: string): void {
		if (this.closed) {
			return;
		}

		this.destroy();
		this.events.onClosed(reason);
	}
}
