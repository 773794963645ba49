/**
 * Validation of JSON documents (policy records, fleet lists, settings). Every fault is reported with its path, the expected value
 * and the value that was found.
 */
export {
	checkDocument, formatFaults, type DocumentCheck, type DocumentFault, type DocumentRules,
} from './lib/check-document.js';
export {createIssue} from './lib/schema-faults.js';
