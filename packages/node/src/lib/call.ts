/**
 * A call and its result, independent of the listener or connection that the call arrived on.
 */
import type {OperationIdentity, RetryAllowance} from '@hemlockthread/identity';
import type {RefusalReasonName, VerdictName} from '@hemlockthread/verdict';

/** Names of the HTTP headers that nodes read and write. @public */
export const Header = {
	context: 'hemlockthread-context',
	remaining: 'hemlockthread-remaining-milliseconds',
	operation: 'hemlockthread-operation',
	verdict: 'hemlockthread-verdict',
	reason: 'hemlockthread-reason',
	step: 'hemlockthread-step',
	leaving: 'hemlockthread-leaving',
	idempotencyKey: 'idempotency-key',
	traceParent: 'traceparent',
} as const;

/** HTTP request of a call, forwarded unchanged to the target. @public */
export type CallMessage = {
	method: string;
	/** Path and query below `/{kind}`, starting with a slash or empty. */
	path: string;
	headers: Record<string, string>;
	body: Uint8Array;
};

/** @public */
export type Call = {
	service: string;
	kind: string;
	rootKind: string;
	rootIdentifier: string;
	priority: number;
	/** Deadline on the monotonic clock, in milliseconds. */
	deadlineAt: number;
	depth: number;
	message: CallMessage;
	allowance: RetryAllowance;
	/** True for a retry: its downstream calls may have been attempted before, so each of them consumes a retry as well. */
	isRetry: boolean;
	identity?: {token: string; claims: OperationIdentity};
	signal: AbortSignal;
};

/** @public */
export type CallResult = {
	verdict: VerdictName;
	/** Present for a refusal or a failure. */
	reason?: RefusalReasonName;
	/** HTTP status of the response of the target; 0 for a refusal. */
	status: number;
	headers: Record<string, string>;
	body: Uint8Array;
	/** Lowest priority that is admitted by the target and the services that it called. */
	level: number;
	nextIdentity?: string;
	retryAfterMilliseconds?: number;
	/** True if the sending node failed before it sent anything to the peer. */
	unsent?: true;
};

const emptyBody = new Uint8Array(0);

/** Builds the result of a refused or failed call. @public */
export function refusal(
	verdict: VerdictName,
	reason: RefusalReasonName,
	rest: Partial<Pick<CallResult, 'level' | 'nextIdentity' | 'retryAfterMilliseconds'>> = {},
): CallResult {
	return {
		verdict, reason, status: 0, headers: {}, body: emptyBody, level: 0, ...rest,
	};
}
