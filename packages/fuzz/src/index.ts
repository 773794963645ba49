/**
 * Stateful search for broken promises of the node's outcome rules.
 */
export {search, type SearchOptions, type SearchResult} from './lib/search.js';
export {World, rootPlans, type WorldOptions} from './lib/world.js';
export {
	Breach, BreachError, Oracle, type BreachName,
} from './lib/oracle.js';
