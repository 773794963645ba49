/**
 * Handles the frames and connection events of peers.
 */
import type {RecordDistributor} from '@hemlockthread/distribution';
import {RetryAllowance, type IdentityAuthority} from '@hemlockthread/identity';
import type {FleetView} from '@hemlockthread/membership';
import type {Logs} from '@hemlockthread/telemetry';
import {RefusalReason, Verdict} from '@hemlockthread/verdict';
import type {
	ResponsePayload, IncomingRequest, PeerConnection, PeerHandlers, Frame,
} from '@hemlockthread/wire';
import type {CallExecutor} from './call-executor.js';
import {refusal, type Call, type CallResult} from './call.js';
import {processTiming, type NodeTiming} from './dependencies.js';

/**
 * Connects the peer protocol with the components of this node.
 *
 * @public
 */
export class NodePeerHandlers implements PeerHandlers {
	executor!: Pick<CallExecutor, 'execute'>;

	constructor(
		private readonly distributor: Pick<RecordDistributor, 'receive' | 'peerReady' | 'peerClosed'>,
		private readonly fleet: Pick<FleetView, 'recordConnected' | 'recordDisconnected' | 'recordHello' | 'recordLeaving'>,
		private readonly authority: IdentityAuthority,
		private readonly logs: Pick<Logs, 'info'>,
		private readonly timing: NodeTiming = processTiming,
	) {}

	async onRequest(request: IncomingRequest): Promise<ResponsePayload> {
		const {frame} = request;
		const allowance = new RetryAllowance(frame.retryShare);
		const identity = this.readIdentity(frame.identity);
		if (identity === false) {
			// A node with other keys may have accepted the same token before.
			return toResponsePayload(refusal(Verdict.mayHaveRun, RefusalReason.identityInvalid), allowance);
		}

		const call: Call = {
			service: frame.service, kind: frame.kind, rootKind: frame.rootKind, rootIdentifier: frame.rootIdentifier,
			priority: frame.priority, deadlineAt: this.timing.now() + frame.remainingMilliseconds - request.ageMilliseconds,
			depth: frame.depth, message: {
				method: frame.method, path: frame.path, headers: frame.headers, body: frame.body,
			}, allowance, isRetry: frame.repeated ?? false, identity, signal: request.signal,
		};
		return toResponsePayload(await this.executor.execute(call), allowance);
	}

	onControl(frame: Frame, peer: PeerConnection): void {
		this.distributor.receive(frame, peer);
	}

	onReady(peer: PeerConnection): void {
		const {remote} = peer;
		if (remote === undefined) {
			return;
		}

		this.distributor.peerReady(peer);
		this.fleet.recordConnected(remote.instance);
		if (!peer.remoteLeaving) {
			this.fleet.recordHello(remote.instance, remote.incarnation);
		}
	}

	onClosed(peer: PeerConnection): void {
		this.distributor.peerClosed(peer);
		if (peer.helloExchanged && peer.remote !== undefined) {
			this.fleet.recordDisconnected(peer.remote.instance);
		}
	}

	onLeaving(peer: PeerConnection): void {
		if (peer.remote !== undefined) {
			this.fleet.recordLeaving(peer.remote.instance, peer.remote.incarnation);
			this.logs.info('peer is leaving', {peer: peer.remote.instance});
		}
	}

	private readIdentity(token: string | undefined): Call['identity'] | false {
		if (token === undefined) {
			return undefined;
		}

		const check = this.authority.verify(token);
		return check.valid ? {token, claims: check.identity} : false;
	}
}

function toResponsePayload(result: CallResult, allowance: RetryAllowance): ResponsePayload {
	return {
		verdict: result.verdict, reason: result.reason, status: result.status, headers: result.headers, body: result.body,
		retriesReturned: allowance.remaining, level: result.level, identity: result.nextIdentity,
		retryAfterMilliseconds: result.retryAfterMilliseconds,
	};
}
