/**
 * A stand-in for the platform's store: listings, and watches with their history.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

/** Items on one page of a listing. */
const pageSize = 500;

export class Store {
	#items = new Map();
	#history = [];
	#revision = 100;
	#watches = new Set();
	#server = createServer((request, response) => {
		this.#receive(request, response);
	});
	#sockets = new Set();
	#silentSockets = new WeakSet();

	async listen(host, port) {
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
		});
		this.#server.listen(port, host);
		await once(this.#server, 'listening');
	}

	/** Writes an item; returns the time of the confirmation. */
	put(key, value) {
		this.#revision += 1;
		const item = {
			key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision: this.#revision, created: this.#items.get(key)?.created ?? this.#revision, lease: 0,
		};
		this.#items.set(key, item);
		return this.#publish(item);
	}

	/** Removes an item; returns the time of the confirmation. */
	remove(key) {
		this.#revision += 1;
		this.#items.delete(key);
		return this.#publish({key, revision: this.#revision, deleted: true});
	}

	/** Lets all open connections go silent: nothing more is answered on them, whereas new connections work. */
	silenceConnections() {
		for (const socket of this.#sockets) {
			this.#silentSockets.add(socket);
		}

		for (const watch of this.#watches) {
			watch.cancel();
		}
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#receive(request, response) {
		if (this.#silentSockets.has(request.socket)) {
			return;
		}

		const url = new URL(request.url, 'http://store');
		const prefix = url.searchParams.get('prefix') ?? '';
		const after = url.searchParams.get('after') ?? '';
		if (url.pathname === '/hemlockthread/kv-range') {
			this.#range(prefix, after, response);
		} else if (url.pathname === '/hemlockthread/kv-watch') {
			this.#watch(prefix, Number(after), Number(url.searchParams.get('waitMs')), response);
		} else {
			response.writeHead(404).end();
		}
	}

	#range(prefix, after, response) {
		const matching = [...this.#items.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((first, second) => first.key < second.key ? -1 : 1);
		sendJson(response, {items: matching.slice(0, pageSize), hasMore: matching.length > pageSize, currentRev: this.#revision});
	}

	#watch(prefix, after, waitMilliseconds, response) {
		const matching = () => this.#history.filter(({key, revision}) => key.startsWith(prefix) && revision > after);
		const events = matching();
		if (events.length > 0) {
			sendJson(response, {events, currentRev: this.#revision});
			return;
		}

		const watch = {
			cancel: () => {
				clearTimeout(watch.timer);
				this.#watches.delete(watch);
			},
			finish: () => {
				watch.cancel();
				sendJson(response, {events: matching(), currentRev: this.#revision});
			},
		};
		watch.timer = setTimeout(watch.finish, waitMilliseconds);
		this.#watches.add(watch);
		response.on('close', watch.cancel);
	}

	#publish(event) {
		const at = performance.now();
		this.#history.push(event);
		for (const watch of this.#watches) {
			watch.finish();
		}

		return at;
	}
}

function sendJson(response, body) {
	response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify(body));
}
