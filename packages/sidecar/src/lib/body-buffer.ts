/**
 * Collects the pieces of a body. Small pieces are joined, because each piece is an object of its own, which takes more memory than a few
 * bytes do. A large body of known length is received into one buffer, so that it is not held twice when it is complete.
 */
import {Buffer} from 'node:buffer';

/** Pieces below this size are joined; the overhead of an object is negligible for larger ones. */
const joinBelowBytes = 4096;
const firstJoinedBytes = 1024;
const maximumJoinedBytes = 64 * 1024;
/** Length from which a body is received into one buffer. */
const wholeFromBytes = 1024 * 1024;

/** @internal */
export class BodyBuffer {
	private readonly pieces: Buffer[] = [];
	private joined: Buffer | undefined;
	private joinedLength = 0;
	private size = 0;

	/** @param expectedBytes The length of the body, if it is known; more is never appended. */
	constructor(expectedBytes = 0) {
		if (expectedBytes >= wholeFromBytes) {
			this.joined = Buffer.allocUnsafeSlow(expectedBytes);
		}
	}

	/** Number of bytes. */
	get length(): number {
		return this.size;
	}

	append(bytes: Buffer): void {
		const isFirst = this.size === 0 && this.joined === undefined;
		this.size += bytes.length;
		// The first piece is usually the only one, so it is not copied.
		if (isFirst || (bytes.length >= joinBelowBytes && !this.fitsJoined(bytes))) {
			this.finishJoined();
			this.pieces.push(bytes);
			return;
		}

		if (this.joined === undefined || !this.fitsJoined(bytes)) {
			this.finishJoined();
			this.joined = Buffer.allocUnsafeSlow(Math.min(maximumJoinedBytes, Math.max(firstJoinedBytes, bytes.length, this.size)));
		}

		bytes.copy(this.joined, this.joinedLength);
		this.joinedLength += bytes.length;
	}

	/** Returns all bytes in one buffer. */
	toBuffer(): Buffer {
		this.finishJoined();
		return this.pieces.length === 1 ? this.pieces[0]! : Buffer.concat(this.pieces, this.size);
	}

	private fitsJoined(bytes: Buffer): boolean {
		return this.joined !== undefined && this.joinedLength + bytes.length <= this.joined.length;
	}

	private finishJoined(): void {
		if (this.joined !== undefined) {
			this.pieces.push(this.joined.subarray(0, this.joinedLength));
			this.joined = undefined;
			this.joinedLength = 0;
		}
	}
}
