/**
 * The difference in meaning between two policy records, independent of the schema versions they were published in.
 */
import jsonPatch from 'fast-json-patch';
import type {PolicyRecord} from './policy-record.js';

/** One changed value. @public */
export type PolicyChange = {
	/** JSON pointer into the content, in which kinds are keyed by name and durations are in milliseconds. */
	path: string;
	/** Absent for an addition. */
	before?: unknown;
	/** Absent for a removal. */
	after?: unknown;
};

/** @public */
export type PolicyDifference = {
	/** True when both records have the same meaning. */
	equal: boolean;
	schemaVersions: {before: number; after: number};
	changes: PolicyChange[];
	/** One line per change, for readers. */
	lines: string[];
};

/**
 * Compares two policy records.
 *
 * @public
 */
export function comparePolicyRecords(before: PolicyRecord, after: PolicyRecord): PolicyDifference {
	const first = toComparable(before);
	const second = toComparable(after);
	const changes = jsonPatch.compare(first, second).map((operation): PolicyChange => ({
		path: operation.path,
		...(operation.op === 'add' ? {} : {before: jsonPatch.getValueByPointer(first, operation.path) as unknown}),
		...(operation.op === 'remove' ? {} : {after: jsonPatch.getValueByPointer(second, operation.path) as unknown}),
	})).toSorted((one, other) => one.path < other.path ? -1 : 1);
	const schemaVersions = {before: before.content.schemaVersion, after: after.content.schemaVersion};
	return {
		equal: changes.length === 0, schemaVersions, changes, lines: readableLines(schemaVersions, changes),
	};
}

/** Includes the rank, because a change of worth has an effect only if it changes the order of kinds. */
function toComparable(record: PolicyRecord): Record<string, unknown> {
	const {schemaVersion: _schemaVersion, kinds, ...rest} = record.content;
	return {
		...rest,
		kinds: Object.fromEntries(kinds.map(({name, ...kind}) => [name, {...kind, rank: record.rankOf(name)}])),
	};
}

function readableLines({before, after}: PolicyDifference['schemaVersions'], changes: readonly PolicyChange[]): string[] {
	const versions = before === after ? [] : [`schema version ${before} -> ${after} (no effect on its own)`];
	return [...versions, ...changes.map(change => readableLine(change))];
}

function readableLine(change: PolicyChange): string {
	if (!('before' in change)) {
		return `+ ${change.path}: ${JSON.stringify(change.after)}`;
	}

	if (!('after' in change)) {
		return `- ${change.path}: ${JSON.stringify(change.before)}`;
	}

	return `~ ${change.path}: ${JSON.stringify(change.before)} -> ${JSON.stringify(change.after)}`;
}
