/**
 * The frames that nodes exchange. Field names and units are part of the protocol; unknown fields are ignored, so that a
 * node one version older or newer can take part.
 */
import type {RefusalReasonName, VerdictName} from '@hemlockthread/verdict';

/**
 * Protocol versions that this build speaks, newest first.
 *
 * @public
 */
export const protocolVersions: readonly number[] = [1];

/**
 * Size limits of the protocol.
 *
 * @public
 */
export const frameLimits = {
	/** Largest message; a longer one closes the connection. */
	maximumFrameBytes: 2 * 1024 * 1024,
	/** Largest request or answer body. */
	maximumBodyBytes: 1024 * 1024,
} as const;

/** @public */
export const FrameType = {
	hello: 'hello',
	request: 'request',
	cancel: 'cancel',
	answer: 'answer',
	heartbeat: 'heartbeat',
	announce: 'announce',
	fetch: 'fetch',
	record: 'record',
} as const;

/** Highest revision held per record key. @public */
export type Revisions = Record<string, number>;

/** @public */
export type FrameHeaders = Record<string, string>;

/** First frame in each direction. @public */
export type HelloFrame = {
	type: 'hello';
	protocolVersions: number[];
	instance: string;
	incarnation: string;
	service: string;
	failureDomain: string;
	leaving: boolean;
	revisions: Revisions;
	/** Sender's monotonic clock in milliseconds. */
	sentAt: number;
	/** Newest `sentAt` received from the other side. */
	heard?: number;
};

/** A call to the receiver's target. @public */
export type RequestFrame = {
	type: 'request';
	/** Unique per connection and direction. */
	identifier: number;
	service: string;
	kind: string;
	rootKind: string;
	rootIdentifier: string;
	priority: number;
	/** Time left to the deadline when the frame was sent. */
	remainingMilliseconds: number;
	retryShare: number;
	/** True for a repeated attempt, whose downstream legs are repeats as well and are paid from the share. */
	repeated?: boolean;
	depth: number;
	/** Operation identity, for irreversible calls. */
	identity?: string;
	method: string;
	path: string;
	headers: FrameHeaders;
	body: Uint8Array;
	sentAt: number;
	heard?: number;
};

/** @public */
export type CancelFrame = {type: 'cancel'; identifier: number};

/** The answer to a request; sent only after the target's answer was read whole. @public */
export type ResponseFrame = {
	type: 'answer';
	identifier: number;
	verdict: VerdictName;
	/** Present when the call was refused or failed. */
	reason?: RefusalReasonName;
	/** HTTP status of the target's answer; 0 for a refusal. */
	status: number;
	headers: FrameHeaders;
	body: Uint8Array;
	/** Unused part of the request's retry share. */
	retriesReturned: number;
	/** Lowest priority that the subtree of the call admits. */
	level: number;
	/** Identity of the next generation, when this one was closed. */
	identity?: string;
	retryAfterMilliseconds?: number;
	leaving: boolean;
	sentAt: number;
	heard?: number;
};

/** @public */
export type HeartbeatFrame = {
	type: 'heartbeat';
	revisions: Revisions;
	leaving: boolean;
	/** True when the receiver must answer with a heartbeat of its own. */
	echo: boolean;
	/** True while the sender keeps this connection open for control. */
	control?: boolean;
	/** Time since the newest answer of the configuration service that the sender knows of, through any node. */
	platformAgeMilliseconds?: number;
	sentAt: number;
	heard?: number;
};

/** @public */
export type AnnounceFrame = {type: 'announce'; key: string; revision: number; digest: string};

/** @public */
export type FetchFrame = {type: 'fetch'; key: string; haveRevision: number};

/** A record, whole (`value`) or as a JSON patch (`patch` on `baseRevision`). @public */
export type RecordFrame = {
	type: 'record';
	key: string;
	revision: number;
	digest: string;
	value?: string;
	patch?: string;
	baseRevision?: number;
};

/** @public */
export type Frame = HelloFrame | RequestFrame | CancelFrame | ResponseFrame | HeartbeatFrame | AnnounceFrame | FetchFrame | RecordFrame;
