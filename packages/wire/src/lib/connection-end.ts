/**
 * Tells an orderly end of a connection from a reset. When data and a reset arrive together, Node.js reports `end` to the reader (seen
 * with 20.19 on Linux), and only a write fails. Messages that end with their connection need the difference.
 */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';

/**
 * Checks a connection whose `end` event was emitted, by an empty write, which sends nothing. The socket must allow half-open
 * connections, so that it is still writable. Calls `settle` once, with the error of a connection that was reset.
 */
export function checkConnectionEnd(socket: Socket, settle: (error: Error | undefined) => void): void {
	socket.write(Buffer.alloc(0), error => {
		settle(error ?? undefined);
	});
}
