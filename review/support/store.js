/**
 * A stand-in for the platform's store: listings, stale listings, watches with history.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

/** Items on one page of a listing. */
const pageSize = 500;

export class Store {
	/** Returns by how many milliseconds a stale read at an address of the store is behind. */
	staleMilliseconds = () => 0;
	#items = new Map();
	#history = [];
	#revision = 100;
	#watches = new Set();
	#servers = [];

	async listen(hosts, port) {
		for (const host of hosts) {
			const server = createServer((request, response) => {
				this.#receive(request, response);
			});
			server.listen(port, host);
			await once(server, 'listening');
			this.#servers.push(server);
		}
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

	close() {
		for (const server of this.#servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	#receive(request, response) {
		const url = new URL(request.url, 'http://store');
		const prefix = url.searchParams.get('prefix') ?? '';
		const after = url.searchParams.get('after') ?? '';
		if (url.pathname === '/hemlockthread/kv-range') {
			const isStale = url.searchParams.get('allowStale') === '1';
			this.#range(prefix, after, isStale ? this.staleMilliseconds(request.headers.host.split(':', 1)[0]) : 0, response);
		} else if (url.pathname === '/hemlockthread/kv-watch') {
			this.#watch(prefix, Number(after), Number(url.searchParams.get('waitMs')), response);
		} else {
			response.writeHead(404).end();
		}
	}

	#range(prefix, after, staleMilliseconds, response) {
		const {items, revision} = staleMilliseconds > 0 ? this.#viewAt(performance.now() - staleMilliseconds) : {items: this.#items, revision: this.#revision};
		const matching = [...items.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((first, second) => first.key < second.key ? -1 : 1);
		sendJson(response, {items: matching.slice(0, pageSize), hasMore: matching.length > pageSize, currentRev: revision});
	}

	/** The items and the revision at an earlier time. */
	#viewAt(time) {
		const items = new Map();
		let revision = 100;
		for (const {event, at} of this.#history) {
			if (at > time) {
				break;
			}

			revision = event.revision;
			if (event.deleted) {
				items.delete(event.key);
			} else {
				items.set(event.key, event);
			}
		}

		return {items, revision};
	}

	#watch(prefix, after, waitMilliseconds, response) {
		const matching = () => this.#history.map(({event}) => event).filter(({key, revision}) => key.startsWith(prefix) && revision > after);
		const events = matching();
		if (events.length > 0) {
			sendJson(response, {events, currentRev: this.#revision});
			return;
		}

		const watch = {
			finish: () => {
				clearTimeout(watch.timer);
				this.#watches.delete(watch);
				sendJson(response, {events: matching(), currentRev: this.#revision});
			},
		};
		watch.timer = setTimeout(watch.finish, waitMilliseconds);
		this.#watches.add(watch);
		response.on('close', () => {
			clearTimeout(watch.timer);
			this.#watches.delete(watch);
		});
	}

	#publish(event) {
		const at = performance.now();
		this.#history.push({event, at});
		for (const watch of this.#watches) {
			watch.finish();
		}

		return at;
	}
}

function sendJson(response, body) {
	response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify(body));
}
