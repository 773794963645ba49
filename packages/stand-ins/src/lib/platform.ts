/**
 * Stand-in for the configuration service, which serves values by key with increasing revisions and long-poll watches over HTTP.
 */
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';

type Published = {revision: number; value: string};
type Watcher = {after: number; respond: (published: Published | undefined) => void};

/**
 * Serves `GET /configuration/{key}?after={revision}&waitMilliseconds={wait}` and counts reads.
 *
 * @public
 */
export class PlatformStandIn {
	reads = 0;
	private revision = 0;
	private available = true;
	private readonly values = new Map<string, Published>();
	private readonly watchers = new Map<string, Set<Watcher>>();
	private readonly server: Server;

	constructor() {
		this.server = createServer((request, response) => {
			this.handle(request, response);
		});
	}

	async listen(host: string, port: number): Promise<void> {
		this.server.listen(port, host);
		await once(this.server, 'listening');
	}

	/** Publishes a value and returns its revision. */
	publish(key: string, value: string): number {
		this.revision += 1;
		const published = {revision: this.revision, value};
		this.values.set(key, published);
		for (const watcher of this.watchers.get(key) ?? []) {
			watcher.respond(published);
		}

		return this.revision;
	}

	/** Serves an older record from now on, as a stale replica would. */
	revert(key: string, published: Published): void {
		this.values.set(key, published);
	}

	withdraw(key: string): void {
		this.revision += 1;
		this.values.delete(key);
	}

	setAvailable(available: boolean): void {
		this.available = available;
		if (!available) {
			this.server.closeAllConnections();
		}
	}

	async close(): Promise<void> {
		this.server.closeAllConnections();
		this.server.close();
		await once(this.server, 'close');
	}

	private handle(request: IncomingMessage, response: ServerResponse): void {
		this.reads += 1;
		if (!this.available) {
			response.destroy();
			return;
		}

		const url = new URL(request.url ?? '/', 'http://platform');
		const key = url.pathname.replace('/configuration/', '');
		const after = Number(url.searchParams.get('after') ?? 0);
		const wait = Number(url.searchParams.get('waitMilliseconds') ?? 0);
		const published = this.values.get(key);
		if (published !== undefined && (published.revision > after || wait === 0)) {
			sendRecord(response, key, published);
			return;
		}

		if (wait === 0) {
			response.writeHead(404).end();
			return;
		}

		this.wait(key, after, wait, response);
	}

	private wait(key: string, after: number, wait: number, response: ServerResponse): void {
		const keyWatchers = this.watchers.get(key) ?? new Set<Watcher>();
		this.watchers.set(key, keyWatchers);
		const watcher: Watcher = {
			after,
			respond(published) {
				clearTimeout(timer);
				keyWatchers.delete(watcher);
				sendRecord(response, key, published);
			},
		};
		const timer = setTimeout(() => {
			watcher.respond(undefined);
		}, wait);
		response.once('close', () => {
			clearTimeout(timer);
			keyWatchers.delete(watcher);
		});
		keyWatchers.add(watcher);
	}
}

function sendRecord(response: ServerResponse, key: string, published: Published | undefined): void {
	if (published === undefined) {
		response.writeHead(204).end();
		return;
	}

	response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify({key, ...published}));
}
