/**
 * A stand-in for the platform's store: items with revisions, listings in pages, and watches that wait for a change.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

/** A page holds at most about 500 items or 1 MB. */
const maximumPageItems = 500;
const maximumPageBytes = 1024 * 1024;

export class Store {
	#items = new Map();
	#events = [];
	#revision = 0;
	#watches = new Set();
	#servers = [];

	/** Listens on a host; all hosts have the same port. */
	async listen(host, port = 0) {
		const server = createServer((request, response) => {
			this.#receive(request, response);
		});
		server.listen(port, host);
		await once(server, 'listening');
		this.#servers.push(server);
		return server.address().port;
	}

	#receive(request, response) {
		const url = new URL(request.url, 'http://store');
		const prefix = url.searchParams.get('prefix') ?? '';
		const routes = {
			'/hemlockthread/kv-range': () => {
				this.#range(prefix, url.searchParams.get('after') ?? '', response);
			},
			'/hemlockthread/kv-watch': () => {
				this.#watch(prefix, Number(url.searchParams.get('after')), Number(url.searchParams.get('waitMs')), response);
			},
		};
		const route = routes[url.pathname];
		if (route === undefined) {
			send(response, 404, {});
		} else {
			route();
		}
	}

	/** Writes an item; its value is encoded as JSON, or taken as it is if it is bytes. */
	put(key, value) {
		this.#revision += 1;
		const bytes = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value));
		const item = {
			key, value: bytes.toString('base64'), revision: this.#revision,
			created: this.#items.get(key)?.created ?? this.#revision, lease: 0,
		};
		this.#items.set(key, item);
		this.#publish(item);
	}

	delete(key) {
		this.#revision += 1;
		this.#items.delete(key);
		this.#publish({key, revision: this.#revision, deleted: true});
	}

	close() {
		for (const server of this.#servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	#range(prefix, after, response) {
		const items = [...this.#items.values()].filter(({key}) => key.startsWith(prefix) && key > after)
			.toSorted((first, second) => first.key < second.key ? -1 : 1);
		let bytes = 0;
		const page = items.slice(0, maximumPageItems).filter(({value}, index) => {
			bytes += value.length;
			return index === 0 || bytes <= maximumPageBytes;
		});
		send(response, 200, {items: page, hasMore: page.length < items.length, currentRev: this.#revision});
	}

	#watch(prefix, after, waitMilliseconds, response) {
		const events = this.#events.filter(({key, revision}) => key.startsWith(prefix) && revision > after);
		if (events.length > 0) {
			send(response, 200, {events, currentRev: this.#revision});
			return;
		}

		const watch = {prefix, response};
		watch.timer = setTimeout(() => {
			this.#answer(watch, []);
		}, waitMilliseconds);
		this.#watches.add(watch);
		response.on('close', () => {
			clearTimeout(watch.timer);
			this.#watches.delete(watch);
		});
	}

	#publish(event) {
		this.#events.push(event);
		for (const watch of this.#watches) {
			if (event.key.startsWith(watch.prefix)) {
				this.#answer(watch, [event]);
			}
		}
	}

	#answer(watch, events) {
		clearTimeout(watch.timer);
		this.#watches.delete(watch);
		send(watch.response, 200, {events, currentRev: this.#revision});
	}
}

function send(response, status, body) {
	response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
}
