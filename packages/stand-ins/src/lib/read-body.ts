/**
 * Reading whole messages of stand-ins.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

/** Reads a message to its end, or to where its sender went away. @public */
export async function readBody(message: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	try {
		for await (const chunk of message) {
			chunks.push(chunk as Uint8Array);
		}
	} catch {
		// The sender went away; what was read is not used.
	}

	return Buffer.concat(chunks).toString();
}
