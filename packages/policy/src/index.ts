/**
 * Policy records: which kinds of request matter most, how much retrying a call chain may do, how long a request may live.
 */
export {PolicyRecord, type PolicyKind, type PolicyContent} from './lib/policy-record.js';
export {parsePolicyRecord, policySchemaVersions, maximumRecordBytes} from './lib/parse-policy-record.js';
