/**
 * Copies values for logs and state dumps, with a bounded size and without secrets.
 */

/** Size limits of a copy. @public */
export const redactOptions = {
	maximumDepth: 6,
	/** Entries per list or object. */
	maximumEntries: 2500,
	/** Characters per string. */
	maximumTextCharacters: 2000,
	/** Total characters of all strings and names, plus a fixed amount per value. */
	maximumCharacters: 400_000,
} as const;

const hidden = '[hidden]';
const omitted = '[omitted]';
const sensitiveNames = /secret|password|authorization|cookie|idempotency|token/iv;
/** JSON Web Tokens. Operation identities have this format, and anyone who holds one can repeat its operation. */
const tokenPattern = /eyJ[\w\-]+\.[\w\-]+\.[\w\-]*/gv;

type Budget = {characters: number};

/** Characters that each value counts for in addition to its text. */
const valueCharacters = 8;

/**
 * Copies a plain value. Secrets are redacted by the name of their field, tokens anywhere in a string.
 *
 * @public
 */
export function redact(value: unknown): unknown {
	return copy(value, 0, {characters: redactOptions.maximumCharacters});
}

function copy(value: unknown, depth: number, budget: Budget): unknown {
	budget.characters -= valueCharacters;
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
	const safe = text.replaceAll(tokenPattern, hidden);
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
		result[name] = typeof object[name] === 'string' && sensitiveNames.test(name) ? hidden : copy(object[name], depth + 1, budget);
	}

	return result;
}
