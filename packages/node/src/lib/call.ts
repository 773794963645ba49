/**
 * A call as nodes handle it, independent of the listener or connection that it arrived on.
 */
import type {OperationIdentity, RetryAllowance} from '@hemlockthread/identity';
import type {RefusalReasonName, VerdictName} from '@hemlockthread/verdict';

/** Names of the HTTP headers that the product defines. @public */
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

/** The message that is passed through unchanged. @public */
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
	/** Monotonic time of the deadline, in milliseconds. */
	deadlineAt: number;
	depth: number;
	message: CallMessage;
	allowance: RetryAllowance;
	/** True for a repeated attempt: its legs were attempted before, so each of them takes a retry as well. */
	isRetry: boolean;
	identity?: {token: string; claims: OperationIdentity};
	signal: AbortSignal;
};

/** @public */
export type CallResult = {
	verdict: VerdictName;
	/** Present for a refusal or a failure. */
	reason?: RefusalReasonName;
	/** Status of the target's answer; 0 for a refusal. */
	status: number;
	headers: Record<string, string>;
	body: Uint8Array;
	/** Lowest priority that the subtree admits. */
	level: number;
	nextIdentity?: string;
	retryAfterMilliseconds?: number;
	/** True for a failure of the sending node before anything left for the peer. */
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
