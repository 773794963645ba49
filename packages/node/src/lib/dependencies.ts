/**
 * Interfaces of the dependencies of the components that decide outcomes. They are narrow, so that tests can search the
 * rules with in-memory fakes, without sockets and without waiting.
 */
import {performance} from 'node:perf_hooks';
import type {AdmissionController} from '@hemlockthread/admission';
import type {FleetView} from '@hemlockthread/membership';
import type {TargetSelector} from '@hemlockthread/routing';
import type {Metrics} from '@hemlockthread/telemetry';
import type {PeerConnection} from '@hemlockthread/wire';
import type {NodeIdentity} from './node-identity.js';
import type {PolicyInForce} from './policy-in-force.js';
import type {TargetClient} from './target-client.js';

/** @public */
export type LocalNode = Pick<NodeIdentity, 'instance' | 'service' | 'leaving' | 'leave' | 'isListedAsLeaving'> & {readonly incarnation: string};

/** @public */
export type PolicySource = Pick<PolicyInForce, 'current'>;

/** @public */
export type AdmissionApi = Pick<AdmissionController, 'admit' | 'level'>;

/** @public */
export type TargetClientApi = Pick<TargetClient, 'send'>;

/** @public */
export type FleetLookup = Pick<FleetView, 'instance' | 'hasService'>;

/** @public */
export type TargetSelectorApi = Pick<TargetSelector, 'choose' | 'begin'> & Partial<Pick<TargetSelector, 'levelOf'>>;

/** @public */
export type PeerConnectionApi = Pick<PeerConnection, 'call' | 'remote' | 'remoteLeaving'>;

/** @public */
export type PeerPoolApi = {connect(address: string): Promise<PeerConnectionApi>};

/** @public */
export type MetricsApi = Pick<Metrics, 'count'>;

/** Monotonic clock, timers and randomness of one process. @public */
export type NodeTiming = {
	/** Monotonic time in milliseconds; only differences are meaningful. */
	now(): number;
	/** Resolves after the delay or when the signal is aborted, whichever comes first. */
	wait(milliseconds: number, signal: AbortSignal): Promise<void>;
	/** Returns a random number from 0 (inclusive) to 1 (exclusive), for jitter. */
	random(): number;
};

/** @public */
export const processTiming: NodeTiming = {
	now: () => performance.now(),
	// Not node:timers/promises: an aborted wait there rejects with an error, whose stack trace costs more than the rest of the
	// wait, and this is on the path of every call.
	wait: async (milliseconds, signal) => new Promise(resolve => {
		if (signal.aborted) {
			resolve();
			return;
		}

		const finish = () => {
			clearTimeout(timer);
			signal.removeEventListener('abort', finish);
			resolve();
		};

		const timer = setTimeout(finish, Math.max(0, milliseconds));
		signal.addEventListener('abort', finish, {once: true});
	}),
	random: Math.random,
};
