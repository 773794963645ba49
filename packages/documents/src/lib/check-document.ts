/**
 * Validates a document: size, JSON syntax, duplicate keys, schema version and schema.
 */
import {Buffer} from 'node:buffer';
import {parseTree, type Node} from 'jsonc-parser';
import type {z} from 'zod';
import {schemaFaults, type DocumentFault} from './schema-faults.js';

export type {DocumentFault} from './schema-faults.js';

/** @public */
export type DocumentRules<Value> = {
	maximumBytes: number;
	/** Schemas by `schemaVersion`, or the only schema of a document without versions. */
	schema: z.ZodType<Value> | ReadonlyMap<number, z.ZodType<Value>>;
};

/** @public */
export type DocumentCheck<Value> = {valid: true; value: Value} | {valid: false; faults: DocumentFault[]};

/** Maximum number of faults that are listed; further ones are only counted. */
const maximumFaults = 50;

/**
 * Parses and validates the text of a document.
 *
 * @public
 */
export function checkDocument<Value>(text: string, rules: DocumentRules<Value>): DocumentCheck<Value> {
	const bytes = Buffer.byteLength(text);
	if (bytes > rules.maximumBytes) {
		return invalid([{path: '', expected: `at most ${rules.maximumBytes} bytes`, found: `${bytes} bytes`}]);
	}

	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		return invalid([{path: '', expected: 'JSON', found: (error as Error).message}]);
	}

	const duplicates = findDuplicateKeys(parseTree(text));
	if (duplicates.length > 0) {
		return invalid(duplicates);
	}

	const schema = selectSchema(rules.schema, value);
	if ('faults' in schema) {
		return invalid(schema.faults);
	}

	const result = schema.schema.safeParse(value);
	return result.success ? {valid: true, value: result.data} : invalid(schemaFaults(result.error.issues, value));
}

/** Formats faults, one per line. @public */
export function formatFaults(faults: readonly DocumentFault[]): string {
	return faults.map(({path, expected, found}) => `${path === '' ? 'document' : path}: expected ${expected}, found ${found}`).join('\n');
}

function invalid(faults: DocumentFault[]): {valid: false; faults: DocumentFault[]} {
	const omitted = faults.length - maximumFaults;
	return {
		valid: false,
		faults: omitted > 0 ? [...faults.slice(0, maximumFaults), {path: '', expected: 'no further faults', found: `${omitted} more`}] : faults,
	};
}

function selectSchema<Value>(schema: DocumentRules<Value>['schema'], value: unknown): {schema: z.ZodType<Value>} | {faults: DocumentFault[]} {
	if (!(schema instanceof Map)) {
		return {schema: schema as z.ZodType<Value>};
	}

	const versions = schema as ReadonlyMap<number, z.ZodType<Value>>;
	const version = (value as {schemaVersion?: unknown} | null)?.schemaVersion;
	const chosen = versions.get(version as number);
	if (chosen !== undefined) {
		return {schema: chosen};
	}

	return {
		faults: [{
			path: '/schemaVersion', expected: `one of ${[...versions.keys()].join(', ')}`, found: version === undefined ? 'nothing' : JSON.stringify(version),
		}],
	};
}

/** JSON.parse silently keeps the last of two equal keys, so the first of two kinds with the same name would be lost. */
function findDuplicateKeys(node: Node | undefined, path = ''): DocumentFault[] {
	if (node === undefined) {
		return [];
	}

	const children = node.children ?? [];
	if (node.type === 'array') {
		return children.flatMap((child, index) => findDuplicateKeys(child, `${path}/${index}`));
	}

	if (node.type !== 'object') {
		return [];
	}

	const seen = new Set<string>();
	return children.flatMap(property => {
		const key = String(property.children?.[0]?.value);
		const keyPath = `${path}/${key}`;
		const faults = seen.has(key) ? [{path: keyPath, expected: 'each key once', found: 'a repeated key'}] : [];
		seen.add(key);
		return [...faults, ...findDuplicateKeys(property.children?.[1], keyPath)];
	});
}
