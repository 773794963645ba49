/**
 * Stateful property-based search for violations of the guarantees that nodes give about outcomes.
 */
export {search, type SearchOptions, type SearchResult} from './lib/search.js';
export {World, rootPlans, type WorldOptions} from './lib/world.js';
export {
	Violation, ViolationError, Oracle, type ViolationName,
} from './lib/oracle.js';
