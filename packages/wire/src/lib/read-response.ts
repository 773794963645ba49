/**
 * Reads the body of an HTTP response with limits. `wreck.read` is not used for this: beyond its limit it raises a second error that
 * nothing handles when the rest of the body comes in many small chunks, which ends the process.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {ResponseTooLargeError} from '@hemlockthread/verdict';

/** @public */
export type ReadResponseOptions = {maximumBytes: number; timeoutMilliseconds: number};

/**
 * Reads a response to its end. On an error its connection is closed.
 *
 * @throws ResponseTooLargeError if the body exceeds the limit; an error of Node.js if the connection closes before the end of the body
 * or the time is over.
 * @public
 */
export async function readResponse(response: IncomingMessage, {maximumBytes, timeoutMilliseconds}: ReadResponseOptions): Promise<Buffer> {
	const chunks: Buffer[] = [];
	let length = 0;
	const timer = setTimeout(() => {
		response.destroy(new Error('response took too long'));
	}, timeoutMilliseconds);
	try {
		for await (const chunk of response as AsyncIterable<Buffer>) {
			length += chunk.length;
			if (length > maximumBytes) {
				throw new ResponseTooLargeError(`response exceeds ${maximumBytes} bytes`);
			}

			chunks.push(chunk);
		}
	} finally {
		clearTimeout(timer);
	}

	return Buffer.concat(chunks, length);
}
