/**
 * The listener for the own target: downstream calls, and the target's notice that it leaves.
 */
import {createHash, randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import type {
	Request, ResponseObject, ResponseToolkit, Server,
} from '@hapi/hapi';
import {RetryAllowance} from '@hemlockthread/identity';
import type {PolicyKind} from '@hemlockthread/policy';
import type {ListenAddress} from '@hemlockthread/settings';
import type {Metrics} from '@hemlockthread/telemetry';
import {RefusalReason, Verdict, type RefusalReasonName} from '@hemlockthread/verdict';
import type {CallForwarder} from './call-forwarder.js';
import {
	callRegistryOptions, type CallInProgress, type CallRegistry, type Leg,
} from './call-registry.js';
import {
	Header, refusal, type Call, type CallMessage, type CallResult,
} from './call.js';
import {
	disconnectSignal, header, readMessage, writeResult,
} from './http-messages.js';
import {startHttpServer} from './http-server.js';
import type {NodeIdentity} from './node-identity.js';
import type {PolicyInForce} from './policy-in-force.js';

const refusedNow = (reason: RefusalReasonName) => refusal(Verdict.didNotRun, reason);
const traceReference = /^[\da-f]{2}-(?<reference>[\da-f]{32})-/v;
const lowestPriority = 0;

/**
 * Serves `ANY /calls/{service}/{kind}/{path*}` and `POST /leave` to the own target.
 *
 * @public
 */
export class TargetListener {
	private server: Server | undefined;

	constructor(
		private readonly self: NodeIdentity,
		private readonly policy: PolicyInForce,
		private readonly forwarder: CallForwarder,
		private readonly registry: CallRegistry,
		private readonly metrics: Metrics,
	) {}

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
		const {service, kind: kindName} = request.params as {service: string; kind: string};
		const kind = this.policy.current?.kind(kindName);
		if (kind === undefined) {
			return refusedNow(this.policy.current === undefined ? RefusalReason.notReady : RefusalReason.unknownKind);
		}

		const parent = this.parentOf(request);
		const message = readMessage(request);
		if (parent === undefined) {
			return this.callDetached(service, kind, message, disconnectSignal(request));
		}

		if (parent.call.depth >= callRegistryOptions.maximumDepth) {
			return refusedNow(RefusalReason.tooDeep);
		}

		if (kind.irreversible && parent.call.identity === undefined) {
			// A reversible parent may be attempted again elsewhere, where this leg would be a new operation.
			return refusedNow(RefusalReason.parentReversible);
		}

		const leg = parent.leg(legKey(service, kindName, message, header(request, Header.step)), kind.irreversible);
		if (leg === undefined) {
			return refusedNow(RefusalReason.tooManyCalls);
		}

		const call: Call = {
			...parent.call, service, kind: kindName, depth: parent.call.depth + 1, message, allowance: parent.allowance,
			identity: undefined, signal: AbortSignal.any([parent.signal, disconnectSignal(request)]),
		};
		const result = kind.irreversible ? await this.callIrreversibleLeg(leg, call) : await this.callLeg(leg, call);
		parent.subtreeLevel = Math.max(parent.subtreeLevel, result.level);
		return result;
	}

	/** Finds the call in progress that a downstream call belongs to. */
	private parentOf(request: Request): CallInProgress | undefined {
		const parent = this.registry.lookUp(header(request, Header.context))
			?? this.registry.lookUp(traceReference.exec(header(request, Header.traceParent) ?? '')?.groups?.reference);
		if (parent !== undefined) {
			return parent;
		}

		const only = this.registry.only();
		this.metrics.count(only === undefined ? 'call.detached' : 'call.attached');
		return only;
	}

	/** A call without a known parent gets no retries, the lowest priority and the shortest lifetime. */
	private async callDetached(service: string, kind: PolicyKind, message: CallMessage, signal: AbortSignal): Promise<CallResult> {
		if (kind.irreversible) {
			return refusedNow(RefusalReason.contextMissing);
		}

		return this.forwarder.forward({
			service, kind: kind.name, rootKind: kind.name, rootIdentifier: randomUUID(), priority: lowestPriority,
			deadlineAt: performance.now() + this.policy.current!.shortestLifetimeMilliseconds,
			depth: callRegistryOptions.maximumDepth, message, allowance: new RetryAllowance(0), repeated: false, signal,
		});
	}

	private async callLeg(leg: Leg, call: Call): Promise<CallResult> {
		if (mustPay(leg, call) && !call.allowance.take()) {
			this.metrics.count('call.retries-exhausted');
			return refusal(leg.verdict === Verdict.didNotRun ? Verdict.didNotRun : Verdict.mayHaveRun, RefusalReason.retriesExhausted);
		}

		const repeated = mustPay(leg, call);
		leg.attempts += 1;
		const result = await this.forwarder.forward({...call, repeated});
		leg.verdict = result.verdict;
		return result;
	}

	/** The same leg of the same parent is the same operation: it joins, replays or repeats under one identity. */
	private async callIrreversibleLeg(leg: Leg, call: Call): Promise<CallResult> {
		if (leg.running !== undefined) {
			return leg.running;
		}

		if (leg.result?.verdict === Verdict.ran) {
			return leg.result;
		}

		if (mustPay(leg, call) && !call.allowance.take()) {
			this.metrics.count('call.retries-exhausted');
			return refusal(leg.verdict, RefusalReason.retriesExhausted);
		}

		const repeated = mustPay(leg, call);
		leg.attempts += 1;
		leg.running = this.runIrreversibleLeg(leg, {...call, repeated});
		try {
			leg.result = await leg.running;
			return leg.result;
		} finally {
			leg.running = undefined;
		}
	}

	private async runIrreversibleLeg(leg: Leg, call: Call): Promise<CallResult> {
		if (leg.verdict === Verdict.didNotRun || leg.identity === undefined) {
			// Nothing ran and the old generation is closed, so any executor may be named.
			const minted = await this.forwarder.mint(call);
			if ('refused' in minted) {
				return refusedNow(minted.refused);
			}

			leg.identity = minted.identity;
		}

		leg.verdict = Verdict.mayHaveRun;
		const result = await this.forwarder.forwardToExecutor({...call, identity: leg.identity});
		leg.verdict = result.verdict;
		return result;
	}
}

/** A leg takes a retry when it was attempted before, under this attempt of its parent or under an earlier one. */
function mustPay(leg: Leg, call: Call): boolean {
	return leg.attempts > 0 || call.repeated;
}

function legKey(service: string, kind: string, message: CallMessage, step: string | undefined): string {
	const last = step === undefined ? createHash('sha256').update(message.body).digest('base64url') : `step ${step}`;
	return [service, kind, message.method, message.path, last].join('\n');
}
