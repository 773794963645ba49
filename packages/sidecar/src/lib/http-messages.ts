/**
 * HTTP/1.1 helpers that the connections to callers and to the target share: both write heads the same way.
 */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import type {HeaderList} from './message-headers.js';

/** Bodies up to this size are copied behind their head, so that one write sends both. */
const maximumCopiedBodyBytes = 32 * 1024;

/** Value of a `Content-Length` header: digits only, few enough to be an exact number (RFC 9112, section 6.3). */
export const contentLengthPattern = /^\d{1,15}$/v;

/** Formats headers as field lines, each with its line terminator. */
export function fieldLines(headers: HeaderList): string {
	let lines = '';
	for (let index = 0; index < headers.length; index += 2) {
		lines += `${headers[index]!}: ${headers[index + 1]!}\r\n`;
	}

	return lines;
}

/** Writes a message; `head` includes the empty line. */
export function writeMessage(socket: Socket, head: string, body: Uint8Array | undefined): void {
	if (body === undefined || body.length === 0) {
		socket.write(head, 'latin1');
		return;
	}

	if (body.length > maximumCopiedBodyBytes) {
		socket.write(head, 'latin1');
		socket.write(body);
		return;
	}

	const bytes = Buffer.allocUnsafe(head.length + body.length);
	bytes.write(head, 'latin1');
	bytes.set(body, head.length);
	socket.write(bytes);
}
