/**
 * HTTP listener for the local target: downstream calls, and the notice that the target is leaving.
 */
import type {Request, Server} from '@hapi/hapi';
import type {ListenAddress} from '@hemlockthread/settings';
import {Header, type CallResult} from './call.js';
import type {DownstreamCalls} from './downstream-calls.js';
import {
	disconnectSignal, header, readMessage, writeResult,
} from './http-messages.js';
import {startHttpServer} from './http-server.js';
import type {NodeIdentity} from './node-identity.js';

/**
 * Serves `ANY /calls/{service}/{kind}/{path*}` and `POST /leave` to the local target.
 *
 * @public
 */
export class TargetListener {
	private server: Server | undefined;

	constructor(private readonly self: NodeIdentity, private readonly calls: DownstreamCalls) {}

	async listen(address: ListenAddress): Promise<void> {
		this.server = await startHttpServer(address, [
			{method: '*', path: '/calls/{service}/{kind}/{path*}', handler: async (request, toolkit) => writeResult(toolkit, await this.call(request))},
			{
				method: 'POST', path: '/leave', handler: (_request, toolkit) => {
					this.self.leave();
					return toolkit.response().code(204);
				},
			},
		]);
	}

	async close(timeout: number): Promise<void> {
		await this.server?.stop({timeout});
	}

	private async call(request: Request): Promise<CallResult> {
		const {service, kind} = request.params as {service: string; kind: string};
		return this.calls.call({
			service, kind, message: readMessage(request), context: header(request, Header.context),
			traceParent: header(request, Header.traceParent), step: header(request, Header.step), signal: disconnectSignal(request),
		});
	}
}
