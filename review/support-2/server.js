/**
 * A stand-in for an application server: it runs each request once its body is complete, and answers with its receipt.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

export class Server {
	/** By attempt, what was run: the time and the number of bytes of each run. */
	runs = new Map();
	workMilliseconds = 100;
	#server;

	constructor(id) {
		this.id = id;
		this.#server = createServer({keepAliveTimeout: 10_000}, (request, response) => {
			this.#receive(request, response).catch(() => {
				// The node closed the connection before the body was complete, so nothing ran.
			});
		});
	}

	async listen(host, port) {
		this.#server.listen(port, host);
		await once(this.#server, 'listening');
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #receive(request, response) {
		const attempt = request.headers['x-attempt-id'];
		const expected = request.headers['x-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			response.writeHead(421, {'X-Attempt-Id': attempt, 'X-Instance-Id': this.id}).end();
			return;
		}

		let bytes = 0;
		for await (const piece of request) {
			bytes += piece.length;
		}

		const runs = this.runs.get(attempt) ?? [];
		runs.push({at: performance.now(), bytes});
		this.runs.set(attempt, runs);
		await delay(this.workMilliseconds);
		response.writeHead(200, {'X-Attempt-Id': attempt, 'X-Server-Signature': `${this.id}.${attempt}`});
		response.end(`ran ${attempt}`);
	}
}
