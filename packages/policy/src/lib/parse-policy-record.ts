/**
 * Reads a published policy record and checks it as a whole.
 */
import {Buffer} from 'node:buffer';
import {RecordError} from '@hemlockthread/verdict';
import {z} from 'zod';
import {PolicyRecord} from './policy-record.js';

/** Largest value that the configuration service holds. @public */
export const maximumRecordBytes = 1_000_000;

/** @public */
export const policySchemaVersions: readonly number[] = [1];

const kindSchema = z.strictObject({
	name: z.string().min(1),
	worth: z.number().positive(),
	protected: z.boolean(),
	irreversible: z.boolean(),
	retries: z.int().min(0).max(100),
	lifetimeMilliseconds: z.int().min(1).max(600_000),
});

const policySchemaVersion1 = z.strictObject({
	schemaVersion: z.literal(1),
	kinds: z.array(kindSchema).min(1),
	identityLifetimeMilliseconds: z.int().min(1000).max(3_600_000),
	coldStartRampMilliseconds: z.int().min(0).max(600_000),
});

/**
 * Parses a policy record.
 *
 * @throws RecordError when any part is invalid; a record is accepted whole or not at all.
 * @public
 */
export function parsePolicyRecord(text: string): PolicyRecord {
	if (Buffer.byteLength(text) > maximumRecordBytes) {
		throw new RecordError(`policy record is larger than ${maximumRecordBytes} bytes`);
	}

	const result = policySchemaVersion1.safeParse(parseJson(text));
	if (!result.success) {
		throw new RecordError(z.prettifyError(result.error));
	}

	return new PolicyRecord(result.data);
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch (error) {
		throw new RecordError('policy record is not JSON', {cause: error});
	}
}
