/**
 * The listener for callers: begins root calls and mints identities.
 */
import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import type {
	Request, ResponseObject, ResponseToolkit, Server,
} from '@hapi/hapi';
import {RetryAllowance, type IdentityAuthority} from '@hemlockthread/identity';
import type {PolicyKind} from '@hemlockthread/policy';
import type {ListenAddress} from '@hemlockthread/settings';
import type {Metrics} from '@hemlockthread/telemetry';
import {RefusalReason, Verdict, type RefusalReasonName} from '@hemlockthread/verdict';
import type {CallForwarder} from './call-forwarder.js';
import {
	Header, refusal, type Call, type CallResult,
} from './call.js';
import {
	disconnectSignal, header, readMessage, writeResult,
} from './http-messages.js';
import {startHttpServer} from './http-server.js';
import type {NodeIdentity} from './node-identity.js';
import type {PauseDetector} from './pause-detector.js';
import type {PolicyInForce} from './policy-in-force.js';

const rootDepth = 1;
const refusedNow = (reason: RefusalReasonName) => refusal(Verdict.didNotRun, reason);

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
		private readonly authority: IdentityAuthority,
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
		const result = await this.run(request);
		this.metrics.count('call.answered', {verdict: result.verdict, reason: result.reason ?? 'none'});
		this.metrics.timing('call.duration', performance.now() - startedAt);
		return writeResult(toolkit, result);
	}

	private async run(request: Request): Promise<CallResult> {
		const {service, kind: kindName} = request.params as {service: string; kind: string};
		const kind = this.policy.current?.kind(kindName);
		if (kind === undefined) {
			return refusedNow(this.policy.current === undefined ? RefusalReason.notReady : RefusalReason.unknownKind);
		}

		const call = this.begin(request, service, kind);
		if (!kind.irreversible) {
			// A request that waited through a pause of this process may be older than its lifetime.
			return call.deadlineAt <= performance.now() ? refusedNow(RefusalReason.deadlineExceeded) : this.forwarder.forward(call);
		}

		const token = header(request, Header.idempotencyKey);
		if (token === undefined) {
			return this.offerIdentity(call);
		}

		const check = this.authority.verify(token);
		if (!check.valid || check.identity.kind !== kindName || check.identity.service !== service) {
			return refusedNow(RefusalReason.identityInvalid);
		}

		if (call.deadlineAt <= performance.now()) {
			// Other attempts with this identity may have run.
			return refusal(Verdict.mayHaveRun, RefusalReason.deadlineExceeded);
		}

		return this.forwarder.forwardToExecutor({
			...call, rootIdentifier: check.identity.operation, identity: {token, claims: check.identity},
			priority: this.policy.current!.priorityOf(kindName, check.identity.operation), allowance: new RetryAllowance(0),
		});
	}

	private begin(request: Request, service: string, kind: PolicyKind): Call {
		const rootIdentifier = randomUUID();
		const asked = Number(header(request, Header.remaining));
		const lifetime = asked > 0 ? Math.min(asked, kind.lifetimeMilliseconds) : kind.lifetimeMilliseconds;
		return {
			service, kind: kind.name, rootKind: kind.name, rootIdentifier,
			priority: this.policy.current!.priorityOf(kind.name, rootIdentifier),
			deadlineAt: performance.now() + lifetime - this.pauses.possibleWait(),
			depth: rootDepth, message: readMessage(request), allowance: new RetryAllowance(kind.retries), repeated: false,
			signal: disconnectSignal(request),
		};
	}

	private async offerIdentity(call: Call): Promise<CallResult> {
		const minted = await this.forwarder.mint({...call, operation: call.rootIdentifier});
		return 'refused' in minted
			? refusal(Verdict.didNotRun, minted.refused, {retryAfterMilliseconds: 1000})
			: refusal(Verdict.didNotRun, RefusalReason.identityNeeded, {nextIdentity: minted.token});
	}

	private async mint(request: Request, toolkit: ResponseToolkit): Promise<ResponseObject> {
		const {service, kind: kindName} = request.params as {service: string; kind: string};
		const {current} = this.policy;
		if (this.self.leaving.aborted || current === undefined) {
			return writeResult(toolkit, refusedNow(current === undefined ? RefusalReason.notReady : RefusalReason.leaving));
		}

		if (current.kind(kindName)?.irreversible !== true) {
			return writeResult(toolkit, refusedNow(RefusalReason.unknownKind));
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
