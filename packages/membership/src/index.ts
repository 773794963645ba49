/**
 * The fleet as one node sees it: the published list, corrected by what the node observed itself.
 */
export {FleetView, membershipOptions} from './lib/fleet-view.js';
export {
	parseFleetList, fleetListLimits, type FleetInstance, type FleetList,
} from './lib/fleet-list.js';
export {observedLeavingOptions} from './lib/observed-leaving.js';
export {highestRanked, highestRankedPairs} from './lib/rendezvous.js';
