/**
 * Operation identities, the clock that decides their expiry, and the retry allowance of an operation.
 */
export {
	IdentityAuthority, type OperationIdentity, type IdentityKey, type IdentityCheck, type MintRequest,
} from './lib/identity-authority.js';
export {ProcessClock} from './lib/process-clock.js';
export {RetryAllowance} from './lib/retry-allowance.js';
