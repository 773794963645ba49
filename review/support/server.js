/**
 * A stand-in for an sound application server. It records when it began to work on each request and whether the work ended.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

export class SoundServer {
	/** The requests that ran, in order. */
	runs = [];
	/** Time of the work on a request. */
	workMilliseconds = 50;
	/** Returns the body of an answer. */
	bodyOf = run => Buffer.from(`${this.id} ran ${run.method} ${run.path}`);
	/** True if the answer to a run has no length and ends with its connection. */
	isUnframed = () => false;
	/** True if an answer without a length is broken off in the middle, and its connection is reset. */
	isBrokenOff = () => false;
	#server;

	constructor(id) {
		this.id = id;
		this.#server = createServer((request, response) => {
			this.#receive(request, response);
		});
		this.#server.keepAliveTimeout = 10_000;
		this.#server.requestTimeout = 0;
	}

	async listen(host, port) {
		this.#server.listen(port, host);
		await once(this.#server, 'listening');
	}

	/** Ends the server and the work in progress. */
	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #receive(request, response) {
		const attempt = request.headers['x-attempt-id'] ?? '';
		const expected = request.headers['x-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			request.resume();
			response.writeHead(421, {'X-Attempt-Id': attempt, 'X-Instance-Id': this.id, 'X-Not-Executed': '1'}).end();
			return;
		}

		const run = {
			attempt, method: request.method, path: request.url, bodyBytes: 0, startedAt: performance.now(), finishedAt: undefined, server: this.id,
		};
		this.runs.push(run);
		try {
			for await (const chunk of request) {
				run.bodyBytes += chunk.length;
			}

			await delay(this.workMilliseconds);
			if (!response.destroyed) {
				run.finishedAt = performance.now();
				this.#answer(run, response);
			}
		} catch {
			// The sender closed the connection: the work is dropped.
		}
	}

	#answer(run, response) {
		const body = this.bodyOf(run);
		const headers = {'X-Attempt-Id': run.attempt, 'X-Server-Signature': `${this.id}.${body.length}.${run.attempt}`};
		if (this.isUnframed(run)) {
			response.useChunkedEncodingByDefault = false;
			response.writeHead(200, {...headers, Connection: 'close'});
		} else {
			response.writeHead(200, {...headers, 'Content-Length': body.length});
		}

		if (this.isBrokenOff(run)) {
			response.write(body.subarray(0, Math.floor(body.length / 2)), () => {
				response.socket?.resetAndDestroy();
			});
			return;
		}

		response.end(body);
	}
}
