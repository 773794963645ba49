/**
 * Verdicts, which state whether a request may have run, refusal reasons, and the typed errors that carry both.
 *
 * Every response to a caller carries a verdict. All other packages depend on this one.
 */
export {
	Verdict, composeVerdicts, isVerdict, type VerdictName,
} from './lib/verdict.js';
export {
	RefusalReason, refusalRules, type RefusalReasonName, type RefusalRule,
} from './lib/refusal-reason.js';
export {
	BaseError, CallError, SettingsError, RecordError, ProtocolError, ResponseTooLargeError, type CallErrorOptions,
} from './lib/errors.js';
