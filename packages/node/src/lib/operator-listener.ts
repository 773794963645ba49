/**
 * Read-only HTTP listener for operators: state dump, explanations, liveness and readiness.
 */
import type {Request, ResponseToolkit, Server} from '@hapi/hapi';
import type {ListenAddress} from '@hemlockthread/settings';
import type {StateDumpRegistry} from '@hemlockthread/telemetry';
import type {CallExplainer} from './call-explainer.js';
import {startHttpServer} from './http-server.js';
import type {PolicyInForce} from './policy-in-force.js';

/**
 * Serves `GET /state`, `GET /explain?service=&kind=`, `GET /ready` and `GET /live`.
 *
 * @public
 */
export class OperatorListener {
	private server: Server | undefined;

	constructor(
		private readonly dump: StateDumpRegistry,
		private readonly policy: PolicyInForce,
		private readonly explainer: CallExplainer,
	) {}

	async listen(address: ListenAddress): Promise<void> {
		this.server = await startHttpServer(address, [
			{method: 'GET', path: '/state', handler: () => this.dump.collect()},
			{method: 'GET', path: '/explain', handler: (request, toolkit) => this.explain(request, toolkit)},
			{method: 'GET', path: '/live', handler: () => ({live: true})},
			{
				method: 'GET', path: '/ready', handler: (_request, toolkit) => {
					const ready = this.policy.current !== undefined;
					return toolkit.response({ready}).code(ready ? 200 : 503);
				},
			},
		]);
	}

	async close(): Promise<void> {
		await this.server?.stop({timeout: 0});
	}

	private explain(request: Request, toolkit: ResponseToolkit) {
		const {service, kind} = request.query as Record<string, unknown>;
		return typeof service === 'string' && typeof kind === 'string'
			? toolkit.response(this.explainer.explain({service, kind}))
			: toolkit.response({message: 'query parameters service and kind are required, once each'}).code(400);
	}
}
