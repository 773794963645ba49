/**
 * The reasons for which a call is refused or fails, with the HTTP status of each.
 */

/**
 * Reasons for a refusal or failure. Values appear in the `hemlockthread-reason` header and in metric tags.
 *
 * @public
 */
export const RefusalReason = {
	identityNeeded: 'identity-needed',
	identityInvalid: 'identity-invalid',
	identityExpired: 'identity-expired',
	identityReused: 'identity-reused',
	identitySuperseded: 'identity-superseded',
	executorRestarted: 'executor-restarted',
	executorUnreachable: 'executor-unreachable',
	operationTableFull: 'operation-table-full',
	outcomeUnknown: 'outcome-unknown',
	contextMissing: 'context-missing',
	parentReversible: 'parent-reversible',
	retriesExhausted: 'retries-exhausted',
	overloaded: 'overloaded',
	cannotFinishInTime: 'cannot-finish-in-time',
	deadlineExceeded: 'deadline-exceeded',
	cancelled: 'cancelled',
	leaving: 'leaving',
	noTarget: 'no-target',
	connectionLost: 'connection-lost',
	targetFailed: 'target-failed',
	answerTooLarge: 'answer-too-large',
	requestTooLarge: 'request-too-large',
	unknownKind: 'unknown-kind',
	unknownService: 'unknown-service',
	tooDeep: 'too-deep',
	tooManyCalls: 'too-many-calls',
	notReady: 'not-ready',
} as const;

/** @public */
export type RefusalReasonName = (typeof RefusalReason)[keyof typeof RefusalReason];

/**
 * The HTTP status of a refusal, and whether the call may go to another instance without consuming a retry.
 *
 * @public
 */
export type RefusalRule = {
	/** HTTP status code of the refusal. */
	status: number;
	/** True if a later attempt may succeed; the response then carries `retry-after`. */
	transient: boolean;
	/** True if the instance refused before it sent the call to its target, so another instance may handle it at once. */
	reroutable: boolean;
};

/** @public */
export const refusalRules: Readonly<Record<RefusalReasonName, RefusalRule>> = {
	'identity-needed': {status: 428, transient: false, reroutable: false},
	'identity-invalid': {status: 400, transient: false, reroutable: false},
	'identity-expired': {status: 410, transient: false, reroutable: false},
	'identity-reused': {status: 422, transient: false, reroutable: false},
	'identity-superseded': {status: 409, transient: false, reroutable: false},
	'executor-restarted': {status: 410, transient: false, reroutable: false},
	'executor-unreachable': {status: 503, transient: true, reroutable: false},
	'operation-table-full': {status: 503, transient: true, reroutable: true},
	'outcome-unknown': {status: 502, transient: false, reroutable: false},
	'context-missing': {status: 400, transient: false, reroutable: false},
	'parent-reversible': {status: 409, transient: false, reroutable: false},
	'retries-exhausted': {status: 429, transient: false, reroutable: false},
	overloaded: {status: 503, transient: true, reroutable: false},
	'cannot-finish-in-time': {status: 503, transient: true, reroutable: false},
	'deadline-exceeded': {status: 504, transient: false, reroutable: false},
	cancelled: {status: 499, transient: false, reroutable: false},
	leaving: {status: 503, transient: true, reroutable: true},
	'no-target': {status: 503, transient: true, reroutable: false},
	'connection-lost': {status: 502, transient: true, reroutable: true},
	'target-failed': {status: 502, transient: true, reroutable: false},
	'answer-too-large': {status: 502, transient: false, reroutable: false},
	'request-too-large': {status: 413, transient: false, reroutable: false},
	'unknown-kind': {status: 404, transient: false, reroutable: false},
	'unknown-service': {status: 404, transient: false, reroutable: false},
	'too-deep': {status: 508, transient: false, reroutable: false},
	'too-many-calls': {status: 503, transient: true, reroutable: true},
	'not-ready': {status: 503, transient: true, reroutable: true},
};
