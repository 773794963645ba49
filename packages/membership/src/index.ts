/**
 * The fleet as one node sees it: the published list, corrected by the node's own observations.
 */
export {FleetView, membershipOptions} from './lib/fleet-view.js';
export {
	parseFleetList, fleetListLimits, type FleetInstance, type FleetList,
} from './lib/fleet-list.js';
export {observedLeavingOptions} from './lib/observed-leaving.js';
export {highestWeighted, highestWeightedPairs} from './lib/rendezvous.js';
