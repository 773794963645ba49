/**
 * The listener for operators: state dump, liveness and readiness. Read only.
 */
import type {Server} from '@hapi/hapi';
import type {ListenAddress} from '@hemlockthread/settings';
import type {StateDumpRegistry} from '@hemlockthread/telemetry';
import {startHttpServer} from './http-server.js';
import type {PolicyInForce} from './policy-in-force.js';

/**
 * Serves `GET /state`, `GET /ready` and `GET /live`.
 *
 * @public
 */
export class OperatorListener {
	private server: Server | undefined;

	constructor(private readonly dump: StateDumpRegistry, private readonly policy: PolicyInForce) {}

	async listen(address: ListenAddress): Promise<void> {
		this.server = await startHttpServer(address, [
			{method: 'GET', path: '/state', handler: () => this.dump.collect()},
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
}
