/**
 * Accepts connections from peers and opens connections to them.
 */
import {once} from 'node:events';
import {createServer as createHttpServer, type Server} from 'node:http';
import {CallError, RefusalReason, Verdict} from '@hemlockthread/verdict';
import type {Metrics} from '@hemlockthread/telemetry';
import {WebSocket, WebSocketServer} from 'ws';
import {frameLimits} from './frames.js';
import {
	PeerConnection, connectionOptions, type ConnectionOptions, type LocalPeer, type PeerHandlers,
} from './peer-connection.js';

const connectTimeoutMilliseconds = 1000;
const maximumIncomingConnections = 2048;
const upgradeRequiredStatus = 426;
/** Closes connections with a slow handshake; Node's defaults would keep them for a minute. */
const handshakeLimits = {headersTimeout: 2000, requestTimeout: 2000, connectionsCheckingInterval: 500} as const;

/**
 * Listens for peers. Compression is off, because frames are small and latency matters.
 *
 * @public
 */
export class PeerServer {
	private listener: Server | undefined;
	private readonly connections = new Set<PeerConnection>();

	constructor(
		private readonly local: LocalPeer,
		private readonly handlers: PeerHandlers,
		private readonly metrics: Metrics,
	) {}

	async listen(host: string, port: number): Promise<void> {
		const listener = createHttpServer(handshakeLimits, (_request, response) => {
			response.writeHead(upgradeRequiredStatus).end();
		});
		const server = new WebSocketServer({
			server: listener, perMessageDeflate: false, maxPayload: frameLimits.maximumFrameBytes,
		});
		// ws emits the listener's errors again; `listen` already rejects with them.
		server.on('error', () => undefined);
		server.on('connection', socket => {
			this.accept(socket);
		});
		listener.listen(port, host);
		await once(listener, 'listening');
		this.listener = listener;
	}

	/** Accepted connections that are not yet closed. */
	get open(): Iterable<PeerConnection> {
		return this.connections;
	}

	async close(): Promise<void> {
		for (const connection of this.connections) {
			connection.close();
		}

		await new Promise<void>(resolve => {
			if (this.listener === undefined) {
				resolve();
				return;
			}

			this.listener.close(() => {
				resolve();
			});
			this.listener.closeAllConnections();
		});
	}

	private accept(socket: WebSocket): void {
		if (this.connections.size >= maximumIncomingConnections) {
			this.metrics.count('peer.connection.refused');
			socket.terminate();
			return;
		}

		const connection = new PeerConnection(socket, this.local, this.handlers, this.metrics, false);
		this.connections.add(connection);
		connection.closed.addEventListener('abort', () => {
			this.connections.delete(connection);
		}, {once: true});
		void connection.run();
	}
}

/**
 * Opens a connection to a peer and waits for its hello.
 *
 * @throws CallError with `did-not-run` when the peer can't be reached.
 * @public
 */
export async function dialPeer(
	address: string,
	local: LocalPeer,
	handlers: PeerHandlers,
	metrics: Metrics,
	options: ConnectionOptions = connectionOptions,
): Promise<PeerConnection> {
	const socket = new WebSocket(`ws://${address}`, {
		perMessageDeflate: false, maxPayload: frameLimits.maximumFrameBytes, handshakeTimeout: connectTimeoutMilliseconds,
	});
	// Created before the handshake ends, because the peer's hello may arrive in the same packet as the end of the handshake.
	const connection = new PeerConnection(socket, local, handlers, metrics, true, options);
	try {
		await once(socket, 'open');
		void connection.run();
		await connection.ready();
		return connection;
	} catch (error) {
		socket.terminate();
		throw new CallError(`peer ${address} can't be reached`, {
			cause: error, props: {verdict: Verdict.didNotRun, reason: RefusalReason.connectionLost},
		});
	}
}
