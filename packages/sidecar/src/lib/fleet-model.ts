/**
 * The published facts that decisions are made on: routes, services, limits and target instances. The platform adapter
 * decodes records into these types once; nothing else sees the platform's own names.
 */

/** @public */
export type Address = {host: string; port: number};

/** An address as text, for keys and logs. */
export function formatAddress({host, port}: Address): string {
	return `${host}:${port}`;
}

export function isSameAddress(first: Address, second: Address): boolean {
	return first.host === second.host && first.port === second.port;
}

/** One service among which a route divides its requests. @public */
export type WeightedService = {service: string; weight: number};

/** @public */
export type Route = {
	name: string;
	/** Value of the `Host` header, in lower case, without a port. */
	host: string;
	/** Start of the path; begins and ends with a slash. */
	pathPrefix: string;
	/** True where a request may run more than once. */
	idempotent: boolean;
	/** Longest time that a request may be kept waiting for its final answer, in milliseconds; infinite where unset. */
	timeoutMilliseconds: number;
	/** Time within which an answer is worth most to its caller, in milliseconds. */
	objectiveMilliseconds: number;
	/** Most targets that one request may be sent to. */
	maximumTargets: number;
	/** Rank of the requests; 0 is shed last. */
	rank: number;
	/** At least one part, each with a weight above zero. */
	weightedServices: readonly WeightedService[];
};

/** @public */
export type ServiceRules = {name: string; maximumConnections: number};

/** Bounds of what a caller may send and how long it may take. @public */
export type CallerLimits = {
	maximumHeaderBytes: number;
	maximumBodyBytes: number;
	headerTimeoutMilliseconds: number;
	idleTimeoutMilliseconds: number;
};

/** One version of the operators' policy. @public */
export type RoutingPolicy = {
	/** Increases with each version, in uneven steps. */
	version: number;
	routes: readonly Route[];
	services: ReadonlyMap<string, ServiceRules>;
	limits: CallerLimits;
};

/** @public */
export const InstanceState = {
	ready: 'ready',
	/** Still answers, but must get no new work. */
	draining: 'draining',
} as const;

/** @public */
export type InstanceStateName = (typeof InstanceState)[keyof typeof InstanceState];

/** One start of a target, as it describes itself. @public */
export type TargetInstance = {
	name: string;
	service: string;
	address: Address;
	failureDomain: string;
	/** Requests that it works on at once. */
	slots: number;
	state: InstanceStateName;
	/** Unix time of its start in milliseconds, 0 where it is not stated; tells two starts under one name apart. */
	startedAtUnixMilliseconds: number;
	/** Reports that it has made since its start; orders two descriptions of one start. */
	reportCount: number;
	/** How much longer it stays slow after its start, in milliseconds, as of the record. */
	coldMilliseconds: number;
};

/** True where a description of an instance was made before another one of the same name, and says nothing that still holds. */
export function isOlderDescription(description: TargetInstance, other: TargetInstance): boolean {
	if (description.startedAtUnixMilliseconds !== other.startedAtUnixMilliseconds) {
		return description.startedAtUnixMilliseconds < other.startedAtUnixMilliseconds;
	}

	// Draining does not end before its start does. Without a time of the start, a lower count may be that of a later start.
	return description.state === InstanceState.ready && description.startedAtUnixMilliseconds > 0 && description.reportCount < other.reportCount;
}

/** A record as the configuration service holds it. @public */
export type StoredRecord = {
	key: string;
	/** The service's counter at the last change of this record. */
	revision: number;
	/** Undefined once deleted. */
	value: string | undefined;
};

/** True where a description of an instance says something that was not known from another one of the same name. */
export function isNewerDescription(description: TargetInstance, other: TargetInstance): boolean {
	const isDraining = description.state === InstanceState.draining && other.state === InstanceState.ready;
	return isOlderDescription(other, description) || (isDraining && !isOlderDescription(description, other));
}

/** Records as one node holds them, for another. @public */
export type RecordSnapshot = {
	records: readonly StoredRecord[];
	/** By prefix of the keys, the revision up to which no change is missing: what is not among the records was deleted by then. */
	completeTo: Readonly<Record<string, number>>;
};

/** What a record says, once decoded. @public */
export type DecodedRecord
	= | {type: 'policy'; policy: RoutingPolicy}
		| {type: 'instance'; instance: TargetInstance};

/** Decodes a record; returns the reason where it can't be used. @public */
export type RecordDecoder = (key: string, value: string) => DecodedRecord | {type: 'unusable'; reason: string};

/** Names of the headers that the node reads and sets, in lower case. @public */
export type HeaderNames = {
	/** Identifies one attempt of a client; echoed by targets. */
	attempt: string;
	/** Milliseconds that the sender of a request waits for its answer. */
	remainingTime: string;
	/** Proof of a target that it made the answer. */
	signature: string;
	/** Name of the only instance that may run the request. */
	expectedInstance: string;
	/** Present where a target states that it did not run the request. */
	notRun: string;
	/** Service at whose machine the request began. */
	callerService: string;
};

/**
 * Returns the attempt during which a target made a call, as far as the call's own attempt shows it.
 *
 * @public
 */
export type ParentOfCall = (attempt: string) => string | undefined;
