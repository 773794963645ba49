/**
 * The fleet as one node sees it: the published list, corrected by what the node observed itself.
 */
export {FleetView} from './lib/fleet-view.js';
export {parseFleetList, type FleetInstance, type FleetList} from './lib/fleet-list.js';
export {highestRanked} from './lib/rendezvous.js';
