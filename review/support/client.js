/**
 * A stand-in for a client with one kept connection. It sends one request at a time and records how each one ended.
 */
import {Agent, request as sendRequest} from 'node:http';
import {hostName} from './deployment.js';

let attempts = 0;

export class Client {
	/** All requests of this client. */
	requests = [];
	#agent = new Agent({keepAlive: true, maxSockets: 1});

	constructor({host, port, name}) {
		this.host = host;
		this.port = port;
		this.name = name;
	}

	/** Sends a request and waits until it ended or its time limit has passed. */
	async send({method = 'GET', path, body, headers = {}, limitMilliseconds = 5000}) {
		attempts += 1;
		const record = {
			attempt: `${this.name}x${attempts}`, method, path, sentAt: performance.now(), endedAt: undefined, status: undefined, end: 'none', isCut: false, body: undefined, headers: undefined,
		};
		this.requests.push(record);
		await new Promise(resolve => {
			const finish = (end, isCut = false) => {
				if (record.endedAt === undefined) {
					record.endedAt = performance.now();
					record.end = end;
					record.isCut = isCut;
					clearTimeout(timer);
					resolve();
				}
			};

			const request = sendRequest({
				host: this.host, port: this.port, method, path, agent: this.#agent,
				headers: {
					Host: hostName, 'X-Attempt-Id': record.attempt, 'X-Deadline-Ms': String(limitMilliseconds), ...headers,
				},
			}, response => {
				const chunks = [];
				response.on('data', chunk => {
					chunks.push(chunk);
				});
				response.on('end', () => {
					record.status = response.statusCode;
					record.headers = response.headers;
					record.body = chunks.map(String).join('');
					finish('answered');
				});
				response.on('error', () => {
					finish('cut in the answer', true);
				});
			});
			const timer = setTimeout(() => {
				finish('gave up');
				request.destroy();
			}, limitMilliseconds);
			request.on('error', error => {
				if (error.code === 'ECONNREFUSED') {
					finish('refused connection');
				} else {
					finish('closed without an answer', true);
				}
			});
			request.end(body);
		});
		return record;
	}

	close() {
		this.#agent.destroy();
	}
}

/** Creates clients that send their requests to one machine. */
export function createClients(deployment, {host, index}, count) {
	return Array.from({length: count}, (_value, number) => new Client({host, port: deployment.entryPort, name: `m${index}c${number}`}));
}
