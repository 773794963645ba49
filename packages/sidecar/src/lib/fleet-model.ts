/**
 * Types of the published records: routes, services, limits and target instances. The platform adapter decodes records into these
 * types once, so that no other code depends on the platform's field names.
 */

/** @public */
export type Address = {host: string; port: number};

/** Formats an address as `host:port`, for keys and logs. */
export function formatAddress({host, port}: Address): string {
	return `${host}:${port}`;
}

export function isSameAddress(first: Address, second: Address): boolean {
	return first.host === second.host && first.port === second.port;
}

/** A service that receives a share of the requests of a route. @public */
export type WeightedService = {service: string; weight: number};

/** @public */
export type Route = {
	name: string;
	/** Value of the `Host` header, in lower case, without a port. */
	host: string;
	/** Prefix of the path; begins and ends with a slash. */
	pathPrefix: string;
	/** True if a request may run more than once. */
	idempotent: boolean;
	/** Maximum time from a request to its final response, in milliseconds; infinite if unset. */
	timeoutMilliseconds: number;
	/** Target latency: time within which a response has its full value for the caller, in milliseconds. */
	objectiveMilliseconds: number;
	/** Maximum number of targets that one request may be sent to. */
	maximumTargets: number;
	/** Priority of the requests under overload; 0 is shed last. */
	rank: number;
	/** At least one service; each weight is above zero. */
	serviceWeights: readonly WeightedService[];
};

/** @public */
export type ServiceRules = {name: string; maximumConnections: number};

/** Size and time limits for the messages of a caller. @public */
export type CallerLimits = {
	maximumHeaderBytes: number;
	maximumBodyBytes: number;
	headerTimeoutMilliseconds: number;
	idleTimeoutMilliseconds: number;
};

/** One version of the operators' policy. @public */
export type RoutingPolicy = {
	/** Increases with each version, not always by one. */
	version: number;
	routes: readonly Route[];
	services: ReadonlyMap<string, ServiceRules>;
	limits: CallerLimits;
};

/** @public */
export const InstanceState = {
	ready: 'ready',
	/** Still responds to its requests, but must not be sent new ones. */
	draining: 'draining',
} as const;

/** @public */
export type InstanceStateName = (typeof InstanceState)[keyof typeof InstanceState];

/** One run of a target process, as published by the target. @public */
export type TargetInstance = {
	name: string;
	service: string;
	address: Address;
	failureDomain: string;
	/** Number of requests that it processes at once. */
	slots: number;
	state: InstanceStateName;
	/** Unix time of its start in milliseconds, 0 if it is not stated; distinguishes runs with the same name. */
	startedAtUnixMilliseconds: number;
	/** Number of reports that it has published since its start; orders the descriptions of one run. */
	reportCount: number;
	/** Remaining time of its cold start, during which it is slow, in milliseconds as of the record. */
	coldMilliseconds: number;
};

/** True if a description of an instance predates another one of the same name and contains nothing that is still valid. */
export function isOlderDescription(description: TargetInstance, other: TargetInstance): boolean {
	if (description.startedAtUnixMilliseconds !== other.startedAtUnixMilliseconds) {
		return description.startedAtUnixMilliseconds < other.startedAtUnixMilliseconds;
	}

	// A draining report stays valid until the next run. Without a start time, a lower report count may be that of a later run.
	return description.state === InstanceState.ready && description.startedAtUnixMilliseconds > 0 && description.reportCount < other.reportCount;
}

/** A record of the configuration service. @public */
export type StoredRecord = {
	key: string;
	/** Revision counter of the service at the last change of this record. */
	revision: number;
	/** Undefined if the record was deleted. */
	value: string | undefined;
};

/** True if a description of an instance supersedes another one of the same name. */
export function isNewerDescription(description: TargetInstance, other: TargetInstance): boolean {
	const isDraining = description.state === InstanceState.draining && other.state === InstanceState.ready;
	return isOlderDescription(other, description) || (isDraining && !isOlderDescription(description, other));
}

/** By key prefix, the revision up to which no change is missing. @public */
export type CompleteTo = Readonly<Record<string, number>>;

/** The changes that one node has received after given revisions, sent to another. @public */
export type RecordChanges = {
	/** The current record of each changed key; a deleted one has no value. */
	records: readonly StoredRecord[];
	completeTo: CompleteTo;
	/** Revisions after which the changes are complete; empty if these are all records. */
	after: CompleteTo;
};

/** Decoded content of a record. @public */
export type DecodedRecord
	= | {type: 'policy'; policy: RoutingPolicy}
		| {type: 'instance'; instance: TargetInstance};

/** Decodes a record; for an unusable one, returns the reason. @public */
export type RecordDecoder = (key: string, value: string) => DecodedRecord | {type: 'unusable'; reason: string};

/** Names of the headers that the node reads and sets, in lower case. @public */
export type HeaderNames = {
	/** Id of one attempt of a client; targets echo it. */
	attempt: string;
	/** Time remaining until the deadline of the request's sender, in milliseconds. */
	remainingTime: string;
	/** Signature that proves that a target produced the response. */
	signature: string;
	/** Name of the only instance that may run the request. */
	expectedInstance: string;
	/** Set by a target that did not run the request. */
	notRun: string;
	/** Service of the machine at which the request originated. */
	callerService: string;
};

/**
 * Returns the attempt id of the request during which a target made a call; undefined if the call's attempt id doesn't contain it.
 *
 * @public
 */
export type ParentOfCall = (attempt: string) => string | undefined;
