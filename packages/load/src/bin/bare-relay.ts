/**
 * A minimal relay with the topology of the two-node path but none of a node's decisions, as the baseline of the latency
 * benchmark: `entry` listens with hapi and forwards requests as msgpack over one WebSocket connection, `exit` sends them to
 * the target with wreck. What the nodes cost beyond this relay is the cost of their decisions.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {Agent} from 'node:http';
import process from 'node:process';
import {server as createServer, type Request, type ResponseToolkit} from '@hapi/hapi';
import wreck from '@hapi/wreck';
import {Packr} from 'msgpackr';
import {WebSocket, WebSocketServer, type RawData} from 'ws';

type RequestFrame = {identifier: number; method: string; path: string; headers: Record<string, string>; body: Uint8Array};
type ResponseFrame = {identifier: number; status: number; headers: Record<string, string>; body: Uint8Array};

const packr = new Packr({useRecords: false});

async function startEntry(host: string, port: number, exitAddress: string): Promise<void> {
	const socket = new WebSocket(`ws://${exitAddress}`, {perMessageDeflate: false});
	await once(socket, 'open');
	const pending = new Map<number, (response: ResponseFrame) => void>();
	let nextIdentifier = 0;
	socket.on('message', (data: RawData) => {
		const response = packr.unpack(data as Buffer) as ResponseFrame;
		pending.get(response.identifier)?.(response);
		pending.delete(response.identifier);
	});

	const handler = async (request: Request, toolkit: ResponseToolkit) => {
		const identifier = nextIdentifier++;
		const response = await new Promise<ResponseFrame>(resolve => {
			pending.set(identifier, resolve);
			socket.send(packr.pack({
				identifier, method: request.method.toUpperCase(), path: request.url.pathname,
				headers: {'content-type': String(request.headers['content-type'])}, body: request.payload,
			} satisfies Omit<RequestFrame, 'body'> & {body: unknown}));
		});
		return toolkit.response(response.body).code(response.status).header('content-type', response.headers['content-type'] ?? 'text/plain');
	};

	const httpServer = createServer({
		host, port, compression: false,
		routes: {payload: {parse: false, output: 'data'}, state: {parse: false, failAction: 'ignore'}},
	});
	httpServer.route({method: '*', path: '/calls/{service}/{kind}/{path*}', handler});
	await httpServer.start();
}

async function startExit(host: string, port: number, targetUrl: string): Promise<void> {
	const client = wreck.defaults({agent: new Agent({keepAlive: true, noDelay: true})});
	const server = new WebSocketServer({host, port, perMessageDeflate: false});
	server.on('connection', socket => {
		socket.on('message', (data: RawData) => {
			void (async () => {
				const frame = packr.unpack(data as Buffer) as RequestFrame;
				const kind = frame.path.split('/').at(-1) ?? '';
				const response = await client.request(frame.method, `${targetUrl}/${kind}`, {payload: Buffer.from(frame.body), headers: frame.headers});
				const body = await wreck.read(response, {});
				socket.send(packr.pack({
					identifier: frame.identifier, status: response.statusCode ?? 0,
					headers: {'content-type': String(response.headers['content-type'])}, body,
				} satisfies Omit<ResponseFrame, 'body'> & {body: unknown}));
			})();
		});
	});
	await once(server, 'listening');
}

const [side, host, port, nextAddress] = process.argv.slice(2) as ['entry' | 'exit', string, string, string];
process.once('SIGTERM', () => {
	process.exit(0);
});
process.on('disconnect', () => {
	process.exit(0);
});
const start = {entry: startEntry, exit: startExit}[side];
await start(host, Number(port), nextAddress);
process.send!('ready');
