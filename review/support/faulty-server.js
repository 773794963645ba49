/**
 * A stand-in for an application server that sheds part of its requests and, while it is faulty, spoils part of its answers: it stops
 * in the middle of an answer's head, and then writes an earlier answer of the connection once more. It reads one request at a time on
 * a connection and never writes into the middle of another answer.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

const headEnd = '\r\n\r\n';

export class FaultyServer {
	/** The requests that ran, in order. */
	runs = [];
	workMilliseconds = 20;
	/** True while the server sheds and spoils. */
	isFaulty = false;
	/** Every so many requests one is shed. */
	shedInterval = Number.POSITIVE_INFINITY;
	/** Every so many answers one is spoiled. */
	spoilInterval = Number.POSITIVE_INFINITY;
	spoiledAnswers = 0;
	shedRequests = 0;
	/** Answers since the server is faulty. */
	faultyAnswers = 0;
	#requests = 0;
	#isSpoilDue = false;
	#connections = new Set();
	#server;

	constructor(id) {
		this.id = id;
		this.#server = createServer({noDelay: true}, socket => {
			this.#accept(socket);
		});
	}

	async listen(host, port) {
		this.#server.listen(port, host);
		await once(this.#server, 'listening');
	}

	close() {
		this.#server.close();
		for (const socket of this.#connections) {
			socket.destroy();
		}
	}

	#accept(socket) {
		const connection = {
			socket, received: Buffer.alloc(0), isBusy: false, lastRefusal: undefined,
		};
		this.#connections.add(socket);
		socket.on('error', () => {});
		socket.on('close', () => {
			this.#connections.delete(socket);
		});
		socket.on('data', data => {
			connection.received = Buffer.concat([connection.received, data]);
			this.#readNext(connection);
		});
	}

	async #readNext(connection) {
		const end = connection.received.indexOf(headEnd);
		if (connection.isBusy || end === -1) {
			return;
		}

		const [requestLine, ...lines] = connection.received.subarray(0, end).toString('latin1').split('\r\n');
		const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
		const bodyEnd = end + headEnd.length + Number(headers['content-length'] ?? 0);
		if (connection.received.length < bodyEnd) {
			return;
		}

		connection.received = connection.received.subarray(bodyEnd);
		connection.isBusy = true;
		await this.#serve(connection, requestLine.split(' '), headers);
		connection.isBusy = false;
		await this.#readNext(connection);
	}

	async #serve(connection, [method, path], headers) {
		const attempt = headers['x-attempt-id'];
		const {socket} = connection;
		if (headers['x-expect-instance'] !== this.id) {
			socket.write(`HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: ${attempt}\r\nX-Instance-Id: ${this.id}\r\nX-Not-Executed: 1\r\nContent-Length: 0${headEnd}`);
			return;
		}

		this.#requests += 1;
		if (this.isFaulty && this.#requests % this.shedInterval === 0) {
			this.shedRequests += 1;
			connection.lastRefusal = `HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: ${attempt}\r\nX-Not-Executed: 1\r\nContent-Length: 0${headEnd}`;
			socket.write(connection.lastRefusal);
			return;
		}

		this.runs.push({
			attempt, method, path, startedAt: performance.now(), server: this.id,
		});
		await delay(this.workMilliseconds);
		if (socket.destroyed) {
			return;
		}

		this.faultyAnswers += this.isFaulty ? 1 : 0;
		const body = `${this.id} ran ${attempt}`;
		const answer = `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attempt}\r\nX-Server-Signature: ${this.id}.${body.length}.${attempt}\r\nContent-Length: ${body.length}${headEnd}${body}`;
		this.#isSpoilDue ||= this.isFaulty && this.faultyAnswers % this.spoilInterval === 0;
		if (!this.#isSpoilDue || connection.lastRefusal === undefined) {
			socket.write(answer);
			return;
		}

		this.#isSpoilDue = false;
		this.spoiledAnswers += 1;
		socket.write(answer.slice(0, answer.indexOf('X-Server-Signature') + 'X-Server'.length));
		await delay(20);
		socket.write(connection.lastRefusal);
	}
}
