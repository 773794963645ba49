/**
 * The HTTP listener for callers on this machine and for downstream calls of the local target.
 */
import {createServer, type AddressInfo, type Server} from 'node:net';
import {BodyBudget} from './body-budget.js';
import type {Clock} from './clock.js';
import {EntryConnection, type EntryConnectionOptions, type EntryTimeouts} from './entry-connection.js';
import type {Address, CallerLimits} from './fleet-model.js';
import type {EntryRequest, EntryResponse} from './request-flow.js';

/** @public */
export type EntryListenerOptions = {
	address: Address;
	headers: {attempt: string; remainingTime: string};
	clock: Clock;
	limits(): CallerLimits | undefined;
	handle(request: EntryRequest, respond: (response: EntryResponse) => void): () => void;
	/** Called for a request that is rejected without being handled; `attempt` is undefined if its head is unreadable. */
	onRejected?(status: number, reason: string, attempt: string | undefined): void;
	/** Called when a connection is closed because its caller does not read a large answer. */
	onUnreadDropped?(bytes: number): void;
};

/** @public */
export const entryListenerOptions = {
	/** Time for which idle connections are kept beyond the policy's idle timeout, so that callers do not reuse a connection as it closes. */
	idleMarginMilliseconds: 5000,
	/** Idle timeout before a policy is known. */
	defaultIdleMilliseconds: 60_000,
	/** Timeout for a head before a policy is known: the default of `node:http`. */
	defaultHeaderMilliseconds: 60_000,
	/** Time for a caller to close its side after the last response; several round trips. */
	lingeringMilliseconds: 1000,
	/** Interval between timeout checks of all connections; the timeouts are much longer. */
	checkIntervalMilliseconds: 500,
	/** Maximum number of connections waiting to be accepted. */
	backlog: 1024,
	/** Size from which an answer is large: after each one, the unread answers are counted. */
	largeAnswerBytes: 1024 * 1024,
	/** Maximum number of bytes in unread answers of all callers together. */
	maximumUnsentBytes: 64 * 1024 * 1024,
	/** Maximum size of the headers before a policy is known. */
	defaultMaximumHeaderBytes: 64 * 1024,
	/** Maximum size of a body before a policy is known. */
	defaultMaximumBodyBytes: 1024 * 1024,
} as const;

/**
 * Accepts connections of callers and passes their requests on.
 *
 * @public
 */
export class EntryListener {
	private readonly server: Server;
	private readonly connections = new Set<EntryConnection>();
	private readonly connectionOptions: EntryConnectionOptions;
	private readonly bodyBudget: BodyBudget;
	private leaving = false;
	private cancelCheck: (() => void) | undefined;

	constructor(private readonly options: EntryListenerOptions) {
		this.bodyBudget = new BodyBudget(options.clock);
		this.connectionOptions = {
			headers: options.headers, clock: options.clock,
			maximumHeaderBytes: () => options.limits()?.maximumHeaderBytes ?? entryListenerOptions.defaultMaximumHeaderBytes,
			maximumBodyBytes: () => options.limits()?.maximumBodyBytes ?? entryListenerOptions.defaultMaximumBodyBytes,
			isLeaving: () => this.leaving,
			bodyBudget: this.bodyBudget,
			onRejected(status, reason, attempt) {
				options.onRejected?.(status, reason, attempt);
			},
			handle: (request, respond) => options.handle(request, response => {
				respond(response);
				if (response.body !== undefined && response.body.length >= entryListenerOptions.largeAnswerBytes) {
					this.dropUnread();
				}
			}),
		};
		this.server = createServer({noDelay: true, allowHalfOpen: true}, socket => {
			const connection: EntryConnection = new EntryConnection(socket, this.connectionOptions, () => {
				this.connections.delete(connection);
			});
			this.connections.add(connection);
		});
	}

	/** The bound port, which the operating system chooses if the configured port is 0. */
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

	/** Sends `Connection: close` with all further responses; requests are still served. */
	leave(): void {
		this.leaving = true;
	}

	closeIdle(): void {
		for (const connection of this.connections) {
			connection.endIfIdle();
		}
	}

	/** Bytes reserved for large bodies. */
	get reservedBodyBytes(): number {
		return this.bodyBudget.reservedBytes;
	}

	/** Bytes of answers that callers have not read yet. */
	get unsentBytes(): number {
		return [...this.connections].reduce((sum, {unsentBytes}) => sum + unsentBytes, 0);
	}

	/** True while a connection carries a request or holds part of a response. */
	get isBusy(): boolean {
		return [...this.connections].some(connection => connection.isBusy);
	}

	/** Accepts no further connections. */
	stopListening(): void {
		this.server.close();
	}

	close(): void {
		this.cancelCheck?.();
		this.server.close();
		for (const connection of this.connections) {
			connection.destroy();
		}
	}

	/**
	 * Closes the connections whose callers have left large answers unread for longest, until the others fit into memory. An answer that
	 * is cut this way lacks bytes of its stated length.
	 */
	private dropUnread(): void {
		const unread = [...this.connections].filter(({unsentBytes}) => unsentBytes >= entryListenerOptions.largeAnswerBytes)
			.toSorted((first, second) => first.waitingSince - second.waitingSince);
		let total = unread.reduce((sum, {unsentBytes}) => sum + unsentBytes, 0);
		for (const connection of unread.slice(0, -1)) {
			if (total <= entryListenerOptions.maximumUnsentBytes) {
				return;
			}

			total -= connection.unsentBytes;
			this.options.onUnreadDropped?.(connection.unsentBytes);
			connection.destroy();
		}
	}

	private scheduleCheck(): void {
		this.cancelCheck = this.options.clock.after(entryListenerOptions.checkIntervalMilliseconds, () => {
			const now = this.options.clock.now();
			const timeouts = this.timeouts();
			for (const connection of this.connections) {
				connection.enforceTimeouts(now, timeouts);
			}

			this.scheduleCheck();
		});
	}

	private timeouts(): EntryTimeouts {
		const limits = this.options.limits();
		return {
			header: limits?.headerTimeoutMilliseconds ?? entryListenerOptions.defaultHeaderMilliseconds,
			idle: limits === undefined ? entryListenerOptions.defaultIdleMilliseconds : limits.idleTimeoutMilliseconds + entryListenerOptions.idleMarginMilliseconds,
			lingering: entryListenerOptions.lingeringMilliseconds,
		};
	}
}
