/**
 * Whether a request may have run, and the typed errors that carry that answer.
 *
 * Every answer that leaves the system carries a verdict. All other packages depend on this one.
 */
export {
	Verdict, composeVerdicts, isVerdict, type VerdictName,
} from './lib/verdict.js';
export {
	RefusalReason, refusalRules, type RefusalReasonName, type RefusalRule,
} from './lib/refusal-reason.js';
export {
	BaseError, CallError, SettingsError, RecordError, ProtocolError, type CallErrorOptions,
} from './lib/errors.js';
