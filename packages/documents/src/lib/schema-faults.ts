/**
 * Converts zod issues into faults with a path, the expected value and the value that was found.
 */
import type {z} from 'zod';

type Issue = z.core.$ZodIssue;
type IssueOf<Code extends Issue['code']> = Extract<Issue, {code: Code}>;

/** One fault of a document. @public */
export type DocumentFault = {
	/** JSON pointer to the invalid value; empty for the whole document. */
	path: string;
	expected: string;
	found: string;
};

const maximumFoundCharacters = 60;
const sensitiveNames = /secret|token|password/iv;

const sizeUnits: Readonly<Record<string, string>> = {
	string: ' characters', array: ' entries', map: ' entries', set: ' entries',
};

const typeNames: Readonly<Record<string, string>> = {
	string: 'a text', number: 'a number', int: 'an integer', boolean: 'true or false', array: 'a list', object: 'an object', record: 'an object',
};

const formatNames: Readonly<Record<string, string>> = {url: 'a URL', ipv4: 'an IPv4 number', ipv6: 'an IPv6 number'};

/** Expected value by kind of issue. A message that is set in a schema describes the expected value. */
const expectations: {[Code in Issue['code']]: (issue: IssueOf<Code>) => string} = {
	invalid_type: issue => typeNames[issue.expected] ?? `a value of type ${issue.expected}`,
	too_small: issue => `at least ${issue.minimum}${sizeUnits[issue.origin] ?? ''}`,
	too_big: issue => `at most ${issue.maximum}${sizeUnits[issue.origin] ?? ''}`,
	not_multiple_of: issue => `a multiple of ${issue.divisor}`,
	invalid_format: issue => formatNames[issue.format] ?? issue.message,
	invalid_value: issue => issue.values.length === 1 ? JSON.stringify(issue.values[0]) : `one of ${issue.values.map(value => JSON.stringify(value)).join(', ')}`,
	invalid_union: issue => issue.message,
	invalid_key: issue => issue.issues[0]?.message ?? issue.message,
	invalid_element: issue => issue.message,
	unrecognized_keys: () => 'only known keys',
	custom: issue => issue.message,
};

/** Converts the issues that zod found in a value. @internal */
export function schemaFaults(issues: readonly Issue[], value: unknown): DocumentFault[] {
	return issues.flatMap(issue => {
		if (issue.code === 'unrecognized_keys') {
			return issue.keys.map(key => ({
				path: toJsonPointer([...issue.path, key]), expected: expectations.unrecognized_keys(issue), found: 'an unknown key',
			}));
		}

		const expect = expectations[issue.code] as (issue: Issue) => string;
		const found = issue.code === 'custom' && typeof issue.params?.found === 'string' ? issue.params.found : undefined;
		return [{path: toJsonPointer(issue.path), expected: expect(issue), found: found ?? describeFound(issue.path, value)}];
	});
}

/** Creates an issue for a rule that spans several fields, for use in `superRefine`. @public */
export function createIssue(path: Array<string | number>, expected: string, found: string): {
	code: 'custom'; path: Array<string | number>; message: string; params: {found: string};
} {
	return {
		code: 'custom', path, message: expected, params: {found},
	};
}

function toJsonPointer(path: readonly PropertyKey[]): string {
	return path.map(part => `/${String(part).replaceAll('~', '~0').replaceAll('/', '~1')}`).join('');
}

function describeFound(path: readonly PropertyKey[], document: unknown): string {
	let value = document;
	for (const part of path) {
		value = (value as Record<PropertyKey, unknown> | null | undefined)?.[part];
	}

	if (value === undefined) {
		return 'nothing';
	}

	if (path.some(part => sensitiveNames.test(String(part)))) {
		return typeof value === 'string' ? `a text of ${value.length} characters` : `a value of type ${typeof value}`;
	}

	if (Array.isArray(value)) {
		return `a list of ${value.length} entries`;
	}

	if (typeof value === 'object' && value !== null) {
		return 'an object';
	}

	const text = JSON.stringify(value);
	return text.length > maximumFoundCharacters ? `${text.slice(0, maximumFoundCharacters)}…` : text;
}
