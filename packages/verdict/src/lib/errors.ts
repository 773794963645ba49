/**
 * Error classes shared by all packages.
 */
import ModernError from 'modern-errors';
import type {RefusalReasonName} from './refusal-reason.js';
import type {VerdictName} from './verdict.js';

/**
 * Base of every error that the project throws.
 *
 * @public
 */
export const BaseError = ModernError.subclass('BaseError');

/** @public */
export type CallErrorOptions = {
	props: {
		/** Whether the operation may have run. */
		verdict: VerdictName;
		/** Why the call was refused. */
		reason: RefusalReasonName;
		/** Shortest recommended wait before a retry. */
		retryAfterMilliseconds?: number;
		/** Identity that the caller must use in its next attempt. */
		nextIdentity?: string;
	};
};

/**
 * A call that was refused or failed, with its verdict.
 *
 * @public
 */
export const CallError = BaseError.subclass('CallError', {
	props: {verdict: 'may-have-run' as VerdictName, reason: 'target-failed' as RefusalReasonName},
});

/**
 * A settings file that can't be used.
 *
 * @public
 */
export const SettingsError = BaseError.subclass('SettingsError');

/**
 * A published record that can't be accepted.
 *
 * @public
 */
export const RecordError = BaseError.subclass('RecordError');

/**
 * A peer or the platform violated its protocol.
 *
 * @public
 */
export const ProtocolError = BaseError.subclass('ProtocolError');

/**
 * An HTTP response whose body exceeds the limit of its reader.
 *
 * @public
 */
export const ResponseTooLargeError = BaseError.subclass('ResponseTooLargeError');
