/**
 * Policy records: which kinds of request matter most, how much retrying a call chain may do, how long a request may live.
 */
export {
	PolicyRecord, prioritiesPerRank, type PolicyKind, type PolicyContent,
} from './lib/policy-record.js';
export {
	checkPolicyRecord, parsePolicyRecord, policySchemaVersions, maximumRecordBytes,
} from './lib/parse-policy-record.js';
export {comparePolicyRecords, type PolicyChange, type PolicyDifference} from './lib/compare-policy-records.js';
export {policySchemaVersion1, policySchemaVersion2} from './lib/policy-schemas.js';
