/**
 * A TCP connection between two nodes that carries length-prefixed frames: a four-byte length and that many bytes. WebSockets are not
 * used: their masking and streams take about a tenth of a node's processor time, and they add nothing between processes that know
 * each other's protocol; see docs/platform.md.
 */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {frameHeaderBytes} from './link-messages.js';

/** @internal */
export type FrameEvents = {
	onOpen(): void;
	/** Called whenever bytes arrive, including part of a frame. */
	onBytes(): void;
	/** Called with the payload of a frame. */
	onFrame(bytes: Buffer): void;
	/** Called once, unless this side closes the connection. */
	onClosed(reason: string): void;
};

/**
 * First bytes that the dialling node sends, so that other connections to the port are rejected. The digit is the version of the
 * framing.
 */
const preface = Buffer.from('hemlock1', 'latin1');

/** Side of a connection. @internal */
export const FrameRole = {dialling: 'dialling', accepting: 'accepting'} as const;

/** @internal */
export type FrameRoleName = (typeof FrameRole)[keyof typeof FrameRole];

/**
 * Sends and receives frames on one connection.
 *
 * @internal
 */
export class FrameSocket {
	/** Received chunks that are not processed yet; joined only once a frame is complete, so that each byte is copied once. */
	private received: Buffer[] = [];
	private receivedBytes = 0;
	/** Number of bytes needed before anything can be processed. */
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

	/** Bytes waiting to be sent. */
	get bufferedBytes(): number {
		return this.socket.writableLength;
	}

	send(frame: Buffer): void {
		this.socket.write(frame);
	}

	/** Closes the connection after all sent frames are written. */
	end(): void {
		this.closed = true;
		this.socket.end();
	}

	/** Closes the connection immediately. */
	destroy(): void {
		this.closed = true;
		this.socket.destroy();
	}

	private receive(bytes: Buffer): void {
		this.events.onBytes();
		this.received.push(bytes);
		this.receivedBytes += bytes.length;
		if (this.receivedBytes < this.neededBytes) {
			return;
		}

		let rest = this.received.length === 1 ? bytes : Buffer.concat(this.received);
		if (this.awaitsPreface) {
			if (!rest.subarray(0, preface.length).equals(preface)) {
				this.fail('unexpected protocol preface');
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
				this.fail(`frame of ${length} bytes exceeds the limit`);
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

		this.received = rest.length === 0 ? [] : [rest];
		this.receivedBytes = rest.length;
	}

	private fail(reason: string): void {
		if (this.closed) {
			return;
		}

		this.destroy();
		this.events.onClosed(reason);
	}
}
