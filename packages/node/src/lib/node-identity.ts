/**
 * Identity of this node, and whether it is leaving the fleet.
 */
import {randomUUID} from 'node:crypto';
import type {NodeSettings} from '@hemlockthread/settings';

/**
 * Identity of this process. Every start has a new incarnation.
 *
 * @public
 */
export class NodeIdentity {
	readonly instance: string;
	readonly service: string;
	readonly failureDomain: string;
	readonly peerAddress: string;
	readonly incarnation = randomUUID();
	/** True while the fleet list marks this instance as leaving. Unlike `leave`, a later list can revert it. */
	isListedAsLeaving = false;
	private readonly leavingSignal = new AbortController();

	constructor(settings: NodeSettings) {
		this.instance = settings.instance;
		this.service = settings.service;
		this.failureDomain = settings.failureDomain;
		this.peerAddress = `${settings.listen.peers.host}:${settings.listen.peers.port}`;
	}

	/** Aborted when this node starts to leave. */
	get leaving(): AbortSignal {
		return this.leavingSignal.signal;
	}

	leave(): void {
		this.leavingSignal.abort();
	}
}
