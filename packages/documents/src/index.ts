/**
 * Checks of JSON documents (policy records, fleet lists, settings) that name every fault with its path, what was expected
 * and what was found.
 */
export {
	checkDocument, formatFaults, type DocumentCheck, type DocumentFault, type DocumentRules,
} from './lib/check-document.js';
export {faultAt} from './lib/schema-faults.js';
