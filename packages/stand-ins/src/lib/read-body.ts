/**
 * Reads the bodies of HTTP messages for stand-ins.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

/** Reads a message body to its end, or to the point where the connection closed. @public */
export async function readBody(message: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	try {
		for await (const chunk of message) {
			chunks.push(chunk as Uint8Array);
		}
	} catch {
		// The connection closed before the end of the body; no caller uses a partial body.
	}

	return Buffer.concat(chunks).toString();
}
