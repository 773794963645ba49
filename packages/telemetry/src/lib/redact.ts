/**
 * Copies of values for logs and state dumps that are bounded and contain no secrets.
 */

/** Limits of a copy. @public */
export const redactOptions = {
	maximumDepth: 6,
	/** Entries of one list or object. */
	maximumEntries: 2500,
	/** Characters of one text. */
	maximumTextCharacters: 2000,
	/** Characters of all texts and names of the whole copy, where each part also counts as a few. */
	maximumCharacters: 400_000,
} as const;

const hidden = '[hidden]';
const omitted = '[omitted]';
const secretNames = /secret|password|authorization|cookie|idempotency|token/iv;
/** JSON Web Tokens, which operation identities are: whoever holds one can repeat its operation. */
const tokens = /eyJ[\w\-]+\.[\w\-]+\.[\w\-]*/gv;

type Budget = {characters: number};

/** What a part without text costs. */
const partCharacters = 8;

/**
 * Copies a plain value. Secrets are hidden by the name of their field, tokens wherever they stand in a text.
 *
 * @public
 */
export function redact(value: unknown): unknown {
	return copy(value, 0, {characters: redactOptions.maximumCharacters});
}

function copy(value: unknown, depth: number, budget: Budget): unknown {
	budget.characters -= partCharacters;
	if (typeof value === 'string') {
		const text = copyText(value);
		budget.characters -= text.length;
		return text;
	}

	if (typeof value !== 'object' || value === null) {
		return typeof value === 'bigint' ? String(value) : value;
	}

	if (depth >= redactOptions.maximumDepth || budget.characters < 0) {
		return omitted;
	}

	return Array.isArray(value) ? copyList(value, depth, budget) : copyObject(value as Record<string, unknown>, depth, budget);
}

function copyText(text: string): string {
	const safe = text.replaceAll(tokens, hidden);
	return safe.length > redactOptions.maximumTextCharacters ? `${safe.slice(0, redactOptions.maximumTextCharacters)}…` : safe;
}

function copyList(list: readonly unknown[], depth: number, budget: Budget): unknown[] {
	const entries: unknown[] = [];
	for (const entry of list) {
		if (entries.length >= redactOptions.maximumEntries || budget.characters < 0) {
			entries.push(`${list.length - entries.length} more ${omitted}`);
			break;
		}

		entries.push(copy(entry, depth + 1, budget));
	}

	return entries;
}

function copyObject(object: Record<string, unknown>, depth: number, budget: Budget): Record<string, unknown> {
	const result: Record<string, unknown> = {};
	const names = Object.keys(object);
	for (const [index, name] of names.entries()) {
		if (index >= redactOptions.maximumEntries || budget.characters < 0) {
			result[omitted] = names.length - index;
			break;
		}

		budget.characters -= name.length;
		result[name] = typeof object[name] === 'string' && secretNames.test(name) ? hidden : copy(object[name], depth + 1, budget);
	}

	return result;
}
