/**
 * Parses and validates published policy records.
 */
import {checkDocument, formatFaults, type DocumentCheck} from '@hemlockthread/documents';
import {RecordError} from '@hemlockthread/verdict';
import {PolicyRecord} from './policy-record.js';
import {policySchemas} from './policy-schemas.js';

/** Largest value that the configuration service stores. @public */
export const maximumRecordBytes = 1_000_000;

/** @public */
export const policySchemaVersions: readonly number[] = [...policySchemas.keys()];

/**
 * Checks a policy record and lists its faults.
 *
 * @public
 */
export function checkPolicyRecord(text: string): DocumentCheck<PolicyRecord> {
	const check = checkDocument(text, {maximumBytes: maximumRecordBytes, schema: policySchemas});
	return check.valid ? {valid: true, value: new PolicyRecord(check.value)} : check;
}

/**
 * Parses a policy record.
 *
 * @throws RecordError when any part is invalid. An invalid record is refused as a whole.
 * @public
 */
export function parsePolicyRecord(text: string): PolicyRecord {
	const check = checkPolicyRecord(text);
	if (!check.valid) {
		throw new RecordError(`policy record is invalid\n${formatFaults(check.faults)}`);
	}

	return check.value;
}
