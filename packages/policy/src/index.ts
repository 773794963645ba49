/**
 * Policy records: the worth of each kind of request, the retries of a call chain, and the lifetime of a request.
 */
export {
	PolicyRecord, prioritiesPerRank, type PolicyKind, type PolicyContent,
} from './lib/policy-record.js';
export {
	checkPolicyRecord, parsePolicyRecord, policySchemaVersions, maximumRecordBytes,
} from './lib/parse-policy-record.js';
export {comparePolicyRecords, type PolicyChange, type PolicyDifference} from './lib/compare-policy-records.js';
export {policySchemaVersion1, policySchemaVersion2} from './lib/policy-schemas.js';
