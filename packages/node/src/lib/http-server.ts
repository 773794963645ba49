/**
 * Starts hapi servers with minimal work per request: raw bodies, no cookies, no compression.
 */
import {createServer as createHttpServer} from 'node:http';
import {
	server as createServer, type Request, type ResponseToolkit, type Server, type ServerRoute,
} from '@hapi/hapi';
import {Verdict} from '@hemlockthread/verdict';
import {frameLimits} from '@hemlockthread/wire';
import {Header} from './call.js';

const firstServerError = 500;
/** Limits of a connection, so that a slow sender or a large request costs nothing to others. */
const connectionLimits = {
	payloadTimeoutMilliseconds: 5000,
	headersTimeoutMilliseconds: 5000,
	maximumHeaderBytes: 16 * 1024,
	/** Interval at which the header timeout is checked. */
	checkIntervalMilliseconds: 1000,
	maximumConnections: 4096,
	/** Longer than callers keep idle connections open, so that no request is sent on a connection that the server closes. */
	keepAliveTimeoutMilliseconds: 65_000,
} as const;

/** Starts a server that listens on an IP address. @public */
export async function startHttpServer(address: {host: string; port: number}, routes: ServerRoute[]): Promise<Server> {
	const listener = createHttpServer({
		maxHeaderSize: connectionLimits.maximumHeaderBytes,
		headersTimeout: connectionLimits.headersTimeoutMilliseconds,
		connectionsCheckingInterval: connectionLimits.checkIntervalMilliseconds,
	});
	listener.keepAliveTimeout = connectionLimits.keepAliveTimeoutMilliseconds;
	listener.maxConnections = connectionLimits.maximumConnections;
	const httpServer = createServer({
		listener,
		host: address.host,
		port: address.port,
		compression: false,
		state: undefined,
		routes: {
			state: {parse: false, failAction: 'ignore'},
			payload: {
				parse: false, output: 'data', maxBytes: frameLimits.maximumBodyBytes, timeout: connectionLimits.payloadTimeoutMilliseconds,
			},
			security: false,
			cors: false,
		},
	});
	httpServer.ext('onPreResponse', addVerdictToErrors);
	httpServer.route(routes);
	await httpServer.start();
	return httpServer;
}

/**
 * Adds the verdict to error responses of hapi. Client errors, such as an unknown path or a body that is too large, are
 * raised before the handler, so nothing ran; after an exception in a handler the call may have run.
 */
function addVerdictToErrors(request: Request, toolkit: ResponseToolkit): symbol {
	const {response} = request;
	if ('isBoom' in response) {
		const verdict = response.output.statusCode < firstServerError ? Verdict.didNotRun : Verdict.mayHaveRun;
		response.output.headers[Header.verdict] = verdict;
	}

	return toolkit.continue;
}
