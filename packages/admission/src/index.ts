/**
 * Admission control for one target: an adaptive concurrency limit, a priority queue and the admission level.
 */
export {
	AdmissionController, admissionOptions, type AdmissionRequest, type Admission, type AdmissionOptions, type ReleaseOutcome,
} from './lib/admission-controller.js';
export {
	limitPolicies, limitOptions, type LimitPolicy, type LimitPolicyName, type LimitSample,
} from './lib/limit-policies.js';
export {levelOptions} from './lib/admission-level.js';
export {systemClock, type AdmissionClock} from './lib/clock.js';
