/**
 * The choice of a target instance for each call.
 */
export {
	TargetSelector, routingOptions, type Candidate, type ChoiceRequest, type CallOutcome, type CandidateView,
} from './lib/target-selector.js';
