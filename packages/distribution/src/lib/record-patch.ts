/**
 * JSON patches between two texts of a record. A patched text must equal the published one byte for byte, so a patch is
 * created only if both texts have the same format, and is checked against the published text before it is used.
 */
import {ProtocolError} from '@hemlockthread/verdict';
import jsonPatch, {type Operation} from 'fast-json-patch';

const {applyOperation, applyPatch, compare} = jsonPatch;

/** Without `move` and `copy`, because repeated copies would let a small patch exhaust the memory. */
const allowedOperations: ReadonlySet<string> = new Set(['add', 'remove', 'replace']);

type TextFormat = {indent: string; suffix: string};
type JsonMap = Record<string, unknown>;

/**
 * Returns the text of a patch, or undefined when no patch reproduces the text.
 *
 * @internal
 */
export function makePatch(baseText: string, text: string): string | undefined {
	const format = detectFormat(text);
	const baseFormat = detectFormat(baseText);
	if (format.indent !== baseFormat.indent || format.suffix !== baseFormat.suffix) {
		return undefined;
	}

	try {
		const document: unknown = JSON.parse(text);
		const base: unknown = JSON.parse(baseText);
		if (!isMap(document) || !isMap(base)) {
			return undefined;
		}

		const operations = alignArrays(base, document, base, '');
		const rest = compare(base, document);
		const patched = applyPatch(base, rest).newDocument;
		return serialize(patched, format) === text ? JSON.stringify([...operations, ...rest]) : undefined;
	} catch {
		// Text that is not JSON is distributed as a full value.
		return undefined;
	}
}

/**
 * Applies a patch to the text that it was created for.
 *
 * @throws ProtocolError when the patch is malformed or does not fit.
 * @internal
 */
export function patchText(baseText: string, patch: string): string {
	try {
		const operations = JSON.parse(patch) as Operation[];
		if (!Array.isArray(operations) || operations.some(operation => !allowedOperations.has(operation.op))) {
			throw new ProtocolError('record patch has an operation that is not allowed');
		}

		return serialize(applyPatch(JSON.parse(baseText), operations, true).newDocument, detectFormat(baseText));
	} catch (error) {
		throw new ProtocolError('record patch does not apply', {cause: error});
	}
}

/** Joins consecutive patches into one. @internal */
export function joinPatches(patches: readonly string[]): string {
	return `[${patches.map(patch => patch.slice(1, -1)).filter(operations => operations !== '').join(',')}]`;
}

function detectFormat(text: string): TextFormat {
	return {indent: /^[\[\{]\n([ \t]+)/v.exec(text)?.[1] ?? '', suffix: text.endsWith('\n') ? '\n' : ''};
}

function serialize(value: unknown, format: TextFormat): string {
	return JSON.stringify(value, undefined, format.indent) + format.suffix;
}

function isMap(value: unknown): value is JsonMap {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * Removes and adds the elements by which two lists of named objects differ. The library compares by index, so one
 * instance removed from the middle of the fleet list would otherwise replace every instance after it.
 */
function alignArrays(base: JsonMap, document: JsonMap, root: JsonMap, path: string): Operation[] {
	return Object.entries(document).flatMap(([field, value]) => {
		const baseValue = base[field];
		const fieldPath = `${path}/${field.replaceAll('~', '~0').replaceAll('/', '~1')}`;
		if (isMap(baseValue) && isMap(value)) {
			return alignArrays(baseValue, value, root, fieldPath);
		}

		return Array.isArray(baseValue) && Array.isArray(value) ? alignArray(baseValue, value, root, fieldPath) : [];
	});
}

function alignArray(base: unknown[], document: unknown[], root: JsonMap, path: string): Operation[] {
	const baseNames = namesOf(base);
	const names = namesOf(document);
	if (baseNames === undefined || names === undefined) {
		return [];
	}

	const wanted = new Set(names);
	const existing = new Set(baseNames);
	const removals = baseNames.flatMap((name, index) => wanted.has(name) ? [] : [index]).toReversed()
		.map((index): Operation => ({op: 'remove', path: `${path}/${index}`}));
	const additions = names.flatMap((name, index): Operation[] =>
		existing.has(name) ? [] : [{op: 'add', path: `${path}/${index}`, value: structuredClone(document[index])}]);
	const operations = [...removals, ...additions];
	for (const operation of operations) {
		applyOperation(root, operation);
	}

	return operations;
}

/** Returns the names of all elements; undefined unless every element has a unique name. */
function namesOf(list: unknown[]): string[] | undefined {
	const names = list.map(element => isMap(element) ? element.name : undefined);
	return names.every(name => typeof name === 'string') && new Set(names).size === names.length ? names : undefined;
}
