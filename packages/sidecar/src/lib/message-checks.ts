/**
 * Checks of the fields of peer messages that a node keeps beyond the message. A malformed one is found here, where it closes its link;
 * kept unchecked, it would fail later in an unrelated task and end the process.
 */
import {ProtocolError} from '@hemlockthread/verdict';
import type {CallsByRoute} from './call-profile.js';
import type {StoredRecord} from './fleet-model.js';

/** Returns an object whose values are finite numbers. @throws ProtocolError if it is none. */
export function checkNumbers(value: unknown, field: string): Readonly<Record<string, number>> {
	if (!isObject(value) || !Object.values(value).every(entry => Number.isFinite(entry))) {
		throw new ProtocolError(`"${field}" in a peer message is no object of numbers`);
	}

	return value as Readonly<Record<string, number>>;
}

/** Returns a finite number or undefined. @throws ProtocolError if it is neither. */
export function checkOptionalNumber(value: unknown, field: string): number | undefined {
	if (value !== undefined && !Number.isFinite(value)) {
		throw new ProtocolError(`"${field}" in a peer message is no number`);
	}

	return value as number | undefined;
}

/** Returns calls by route. @throws ProtocolError if the value is none. */
export function checkCalls(value: unknown): CallsByRoute {
	if (!isObject(value)) {
		throw new ProtocolError('"calls" in a peer message is no object');
	}

	for (const counts of Object.values(value)) {
		checkNumbers(counts, 'calls');
	}

	return value as CallsByRoute;
}

/** Returns a list of records. @throws ProtocolError if the value is none. */
export function checkRecords(value: unknown): readonly StoredRecord[] {
	if (!Array.isArray(value) || !value.every(record => isRecord(record))) {
		throw new ProtocolError('"records" in a peer message is no list of records');
	}

	return value as readonly StoredRecord[];
}

function isRecord(value: unknown): boolean {
	return isObject(value) && typeof value.key === 'string' && Number.isFinite(value.revision) && (value.value === undefined || typeof value.value === 'string');
}

function isObject(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
