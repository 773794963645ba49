/**
 * An overload-control proxy that runs beside one target instance. A platform adapter supplies settings, a record decoder and the
 * client of its configuration service.
 */
export {
	InstanceState, type Address, type CallerLimits, type DecodedRecord, type HeaderNames, type InstanceStateName, type ParentOfCall, type RecordDecoder,
	type Route, type RoutingPolicy, type ServiceRules, type StoredRecord, type TargetInstance, type WeightedService,
} from './lib/fleet-model.js';
export {
	ListingFreshness, type ListingFreshnessName, type RecordListing, type RecordSource, type WatchResponse,
} from './lib/record-follower.js';
export {SidecarMetrics} from './lib/sidecar-metrics.js';
export {
	startSidecar, type RunningSidecar, type SidecarDependencies, type SidecarSettings,
} from './lib/sidecar.js';
