/**
 * The node as a plain HTTP hop: what a platform adapter needs to run it, and its decision code for tests and experiments.
 */
export {
	InstanceState, type Address, type CallerLimits, type DecodedRecord, type HeaderNames, type InstanceStateName, type ParentOfCall, type RecordDecoder,
	type Route, type WeightedService, type RoutingPolicy, type ServiceRules, type StoredRecord, type TargetInstance,
} from './lib/fleet-model.js';
export type {RecordListing, RecordSource, WatchResponse} from './lib/record-follower.js';
export {SidecarMetrics} from './lib/sidecar-metrics.js';
export {
	startSidecar, type RunningSidecar, type SidecarDependencies, type SidecarSettings,
} from './lib/sidecar.js';
