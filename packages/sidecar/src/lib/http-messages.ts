/**
 * What both sides of HTTP have in common: requests to the target and answers to callers are written the same way, and
 * bodies of either arrive in parts.
 */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import type {HeaderList} from './message-headers.js';

/** Bodies of up to this size are copied behind their head, so that one write sends both. */
const joinedBodyBytes = 32 * 1024;

/** Value of a `Content-Length` header: digits only, and a number that is exact (RFC 9112, section 6.3). */
export const lengthPattern = /^\d{1,15}$/v;

/** Field lines of a head, each with its end. */
export function fieldLines(headers: HeaderList): string {
	let lines = '';
	for (let index = 0; index < headers.length; index += 2) {
		lines += `${headers[index]!}: ${headers[index + 1]!}\r\n`;
	}

	return lines;
}

/** Writes a message; the head includes its empty line. */
export function writeMessage(socket: Socket, head: string, body: Uint8Array | undefined): void {
	if (body === undefined || body.length === 0) {
		socket.write(head, 'latin1');
		return;
	}

	if (body.length > joinedBodyBytes) {
		socket.write(head, 'latin1');
		socket.write(body);
		return;
	}

	const bytes = Buffer.allocUnsafe(head.length + body.length);
	bytes.write(head, 'latin1');
	bytes.set(body, head.length);
	socket.write(bytes);
}

/** Puts the parts of a body together. */
export function joinParts(parts: readonly Buffer[]): Buffer {
	return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
}
