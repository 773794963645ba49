/**
 * hapi servers with the least work per request: raw bodies, no cookies, no compression.
 */
import {server as createServer, type Server, type ServerRoute} from '@hapi/hapi';
import {frameLimits} from '@hemlockthread/wire';

const payloadTimeoutMilliseconds = 10_000;

/** Creates a server that listens on an IP number. @public */
export async function startHttpServer(address: {host: string; port: number}, routes: ServerRoute[]): Promise<Server> {
	const httpServer = createServer({
		host: address.host,
		port: address.port,
		compression: false,
		state: undefined,
		routes: {
			state: {parse: false, failAction: 'ignore'},
			payload: {
				parse: false, output: 'data', maxBytes: frameLimits.maximumBodyBytes, timeout: payloadTimeoutMilliseconds,
			},
			security: false,
			cors: false,
		},
	});
	httpServer.route(routes);
	await httpServer.start();
	return httpServer;
}
