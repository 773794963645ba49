/**
 * HTTP listener for callers: starts root calls and mints identities.
 */
import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import type {
	Request, ResponseObject, ResponseToolkit, Server,
} from '@hapi/hapi';
import type {ListenAddress} from '@hemlockthread/settings';
import type {Metrics} from '@hemlockthread/telemetry';
import {RefusalReason, Verdict, type RefusalReasonName} from '@hemlockthread/verdict';
import type {CallForwarder} from './call-forwarder.js';
import {Header, refusal} from './call.js';
import {
	disconnectSignal, header, readMessage, writeResult,
} from './http-messages.js';
import {startHttpServer} from './http-server.js';
import type {NodeIdentity} from './node-identity.js';
import type {PauseDetector} from './pause-detector.js';
import type {PolicyInForce} from './policy-in-force.js';
import type {RootCalls} from './root-calls.js';

const refusedBeforeRunning = (reason: RefusalReasonName) => refusal(Verdict.didNotRun, reason);

/**
 * Serves `ANY /calls/{service}/{kind}/{path*}` and `POST /identities/{service}/{kind}`.
 *
 * @public
 */
export class CallerListener {
	private server: Server | undefined;

	constructor(
		private readonly self: NodeIdentity,
		private readonly policy: PolicyInForce,
		private readonly forwarder: CallForwarder,
		private readonly calls: RootCalls,
		private readonly pauses: PauseDetector,
		private readonly metrics: Metrics,
	) {}

	async listen(address: ListenAddress): Promise<void> {
		this.server = await startHttpServer(address, [
			{method: '*', path: '/calls/{service}/{kind}/{path*}', handler: async (request, toolkit) => this.call(request, toolkit)},
			{method: 'POST', path: '/identities/{service}/{kind}', handler: async (request, toolkit) => this.mint(request, toolkit)},
		]);
	}

	async close(timeout: number): Promise<void> {
		await this.server?.stop({timeout});
	}

	private async call(request: Request, toolkit: ResponseToolkit): Promise<ResponseObject> {
		const startedAt = performance.now();
		const {service, kind} = request.params as {service: string; kind: string};
		const result = await this.calls.call({
			service, kind, message: readMessage(request), idempotencyKey: header(request, Header.idempotencyKey),
			remainingMilliseconds: Number(header(request, Header.remaining)), maximumPauseWaitMilliseconds: this.pauses.maximumPauseWaitMilliseconds(),
			signal: disconnectSignal(request),
		});
		this.metrics.count('call.answered', {verdict: result.verdict, reason: result.reason ?? 'none'});
		this.metrics.timing('call.duration', performance.now() - startedAt);
		return writeResult(toolkit, result);
	}

	private async mint(request: Request, toolkit: ResponseToolkit): Promise<ResponseObject> {
		const {service, kind: kindName} = request.params as {service: string; kind: string};
		const {current} = this.policy;
		if (this.self.leaving.aborted || current === undefined) {
			return writeResult(toolkit, refusedBeforeRunning(current === undefined ? RefusalReason.notReady : RefusalReason.leaving));
		}

		if (current.kind(kindName)?.irreversible !== true) {
			return writeResult(toolkit, refusedBeforeRunning(RefusalReason.unknownKind));
		}

		const operation = randomUUID();
		const minted = await this.forwarder.mint({
			service, kind: kindName, rootKind: kindName, priority: current.priorityOf(kindName, operation), operation,
		});
		if ('refused' in minted) {
			return writeResult(toolkit, refusal(Verdict.didNotRun, minted.refused, {retryAfterMilliseconds: 1000}));
		}

		return toolkit.response({identity: minted.token, expiresAt: minted.identity.claims.expiresAt}).code(201)
			.header(Header.idempotencyKey, minted.token);
	}
}
