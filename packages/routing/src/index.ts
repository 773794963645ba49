/**
 * Selection of the target instance for each call.
 */
export {
	TargetSelector, routingOptions, type Selection, type CandidateView, type ChoiceRequest, type SelectorOptions,
} from './lib/target-selector.js';
export {healthOptions, type CallOutcome} from './lib/candidate-health.js';
export {statisticsOptions} from './lib/candidate-statistics.js';
