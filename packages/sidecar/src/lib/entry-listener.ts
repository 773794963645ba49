/**
 * The HTTP listener for callers on this machine and for the target's own calls.
 */
import {createServer, type AddressInfo, type Server} from 'node:net';
import type {Clock} from './clock.js';
import {EntryConnection, type EntryConnectionOptions, type EntryTimeouts} from './entry-connection.js';
import type {Address, CallerLimits} from './fleet-model.js';
import type {EntryAnswer, EntryRequest} from './request-flow.js';

/** @public */
export type EntryListenerOptions = {
	address: Address;
	headers: {attempt: string; remainingTime: string};
	clock: Clock;
	limits(): CallerLimits | undefined;
	handle(request: EntryRequest, respond: (answer: EntryAnswer) => void): () => void;
};

/** @public */
export const entryListenerOptions = {
	/** Margin by which idle connections are kept longer than callers reuse them. */
	idleMarginMilliseconds: 5000,
	/** Idle time before a policy states one. */
	firstIdleMilliseconds: 60_000,
	/** Time for a head before a policy states one: the default of `node:http`. */
	firstHeaderMilliseconds: 60_000,
	/** Time that a caller has to close its side after the last answer; several round trips. */
	lingeringMilliseconds: 1000,
	/** Time between two looks at all connections; the limits above are longer by far. */
	checkMilliseconds: 500,
	/** Connections waiting to be accepted. */
	backlog: 1024,
	/** Largest head before a policy states a limit. */
	firstMaximumHeaderBytes: 64 * 1024,
	/** Largest body before a policy states a limit. */
	firstMaximumBodyBytes: 1024 * 1024,
} as const;

/**
 * Accepts requests and answers each one once.
 *
 * @public
 */
export class EntryListener {
	private readonly server: Server;
	private readonly connections = new Set<EntryConnection>();
	private readonly connectionOptions: EntryConnectionOptions;
	private leaving = false;
	private cancelCheck: (() => void) | undefined;

	constructor(private readonly options: EntryListenerOptions) {
		this.connectionOptions = {
			headers: options.headers, clock: options.clock,
			maximumHeaderBytes: () => options.limits()?.maximumHeaderBytes ?? entryListenerOptions.firstMaximumHeaderBytes,
			maximumBodyBytes: () => options.limits()?.maximumBodyBytes ?? entryListenerOptions.firstMaximumBodyBytes,
			isLeaving: () => this.leaving,
			handle: (request, respond) => options.handle(request, respond),
		};
		this.server = createServer({noDelay: true, allowHalfOpen: true}, socket => {
			const connection: EntryConnection = new EntryConnection(socket, this.connectionOptions, () => {
				this.connections.delete(connection);
			});
			this.connections.add(connection);
		});
	}

	/** The port in use, also where the address leaves the choice to the system. */
	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	async listen(): Promise<void> {
		const {host, port} = this.options.address;
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen({host, port, backlog: entryListenerOptions.backlog}, resolve);
		});
		this.scheduleCheck();
	}

	/** Asks callers to use another connection next; requests are still answered. */
	leave(): void {
		this.leaving = true;
	}

	closeIdle(): void {
		for (const connection of this.connections) {
			connection.endIdle();
		}
	}

	close(): void {
		this.cancelCheck?.();
		this.server.close();
		for (const connection of this.connections) {
			connection.destroy();
		}
	}

	private scheduleCheck(): void {
		this.cancelCheck = this.options.clock.after(entryListenerOptions.checkMilliseconds, () => {
			const now = this.options.clock.now();
			const timeouts = this.timeouts();
			for (const connection of this.connections) {
				connection.check(now, timeouts);
			}

			this.scheduleCheck();
		});
	}

	private timeouts(): EntryTimeouts {
		const limits = this.options.limits();
		return {
			header: limits?.headerTimeoutMilliseconds ?? entryListenerOptions.firstHeaderMilliseconds,
			idle: limits === undefined ? entryListenerOptions.firstIdleMilliseconds : limits.idleTimeoutMilliseconds + entryListenerOptions.idleMarginMilliseconds,
			lingering: entryListenerOptions.lingeringMilliseconds,
		};
	}
}
