/**
 * The schema versions of policy records. Each version has its own schema and is converted to the common content. The rules
 * that span several fields are the same for all versions.
 */
import {createIssue} from '@hemlockthread/documents';
import milliseconds, {type StringValue} from 'ms';
import {z} from 'zod';
import type {PolicyContent, PolicyKind} from './policy-record.js';

const limits = {
	retries: 100,
	lifetimeMilliseconds: {minimum: 1, maximum: 600_000},
	identityLifetimeMilliseconds: {minimum: 1000, maximum: 3_600_000},
	coldStartRampMilliseconds: {minimum: 0, maximum: 600_000},
} as const;

type Range = {minimum: number; maximum: number};

/** Kind names are used in URL paths and metric tags, so they can't contain the separators of either. */
const kindName = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9_.\-]{0,63}$/v, 'a name of 1 to 64 letters, digits, "_", "." and "-"');
const worth = z.number().positive().meta({description: 'Value of one whole answer; higher is served first.'});
const irreversible = z.boolean().meta({description: 'Must run at most once, so calls need an identity.'});
const retries = z.int().min(0).max(limits.retries).meta({description: 'Retries that one request may cause in its whole call chain.'});
const notes = z.string().max(2000).optional().meta({description: 'Text for readers; it has no effect.'});

const millisecondsIn = ({minimum, maximum}: Range, description: string) =>
	z.int().min(minimum).max(maximum).meta({description: `${description} Milliseconds.`});

const durationIn = ({minimum, maximum}: Range, description: string) => z.string()
	.regex(/^\d{1,9}(?:ms|s|m|h)$/v, 'a duration with a unit, such as "1500ms", "2s" or "1m"')
	.transform(text => milliseconds(text as StringValue))
	.refine(value => value >= minimum && value <= maximum, `a duration from ${milliseconds(minimum)} to ${milliseconds(maximum)}`)
	.meta({description: `${description} A whole number with ms, s, m or h.`});

const descriptions = {
	lifetime: 'Longest life of a request.',
	identityLifetime: 'Time for which an operation identity is valid.',
	coldStartRamp: 'Time over which a cold target\'s limit rises to its published slots.',
} as const;

const contentVersion1 = z.strictObject({
	schemaVersion: z.literal(1),
	kinds: z.array(z.strictObject({
		name: kindName,
		worth,
		protected: z.boolean().meta({description: 'Shed after every kind that is not protected.'}),
		irreversible,
		retries,
		lifetimeMilliseconds: millisecondsIn(limits.lifetimeMilliseconds, descriptions.lifetime),
	})).min(1),
	identityLifetimeMilliseconds: millisecondsIn(limits.identityLifetimeMilliseconds, descriptions.identityLifetime),
	coldStartRampMilliseconds: millisecondsIn(limits.coldStartRampMilliseconds, descriptions.coldStartRamp),
});

const contentVersion2 = z.strictObject({
	schemaVersion: z.literal(2),
	kinds: z.record(kindName, z.strictObject({
		worth, irreversible, retries, lifetime: durationIn(limits.lifetimeMilliseconds, descriptions.lifetime), notes,
	})).refine(kinds => Object.keys(kinds).length > 0, 'at least 1 kind'),
	protected: z.array(kindName).meta({description: 'Names of the kinds that are shed after all others.'}),
	identityLifetime: durationIn(limits.identityLifetimeMilliseconds, descriptions.identityLifetime),
	coldStartRamp: durationIn(limits.coldStartRampMilliseconds, descriptions.coldStartRamp),
	notes,
});

type ContentVersion2 = z.output<typeof contentVersion2>;
type Issues = {addIssue(issue: ReturnType<typeof createIssue>): void};
/** Paths of corresponding fields in the two versions. */
type Paths = {lifetime: string; identityLifetime: string; kind(index: number): Array<string | number>};

/** @internal */
export const policySchemaVersion1 = contentVersion1.superRefine((record, context) => {
	checkNames(record.kinds, context);
	checkContent(record, {
		kind: index => ['kinds', index], lifetime: 'lifetimeMilliseconds', identityLifetime: 'identityLifetimeMilliseconds',
	}, context);
}).meta({title: 'hemlockthread policy record, schema version 1'});

/** @internal */
export const policySchemaVersion2 = contentVersion2.superRefine((record, context) => {
	checkProtectedNames(record, context);
	const content = toContent(record);
	checkContent(content, {
		kind: index => ['kinds', content.kinds[index]!.name], lifetime: 'lifetime', identityLifetime: 'identityLifetime',
	}, context);
}).transform(record => toContent(record)).meta({title: 'hemlockthread policy record, schema version 2'});

/** @internal */
export const policySchemas: ReadonlyMap<number, z.ZodType<PolicyContent>> = new Map<number, z.ZodType<PolicyContent>>([
	[1, policySchemaVersion1],
	[2, policySchemaVersion2],
]);

function toContent(record: ContentVersion2): PolicyContent {
	const protectedNames = new Set(record.protected);
	return {
		schemaVersion: record.schemaVersion,
		kinds: Object.entries(record.kinds).map(([name, {lifetime, ...kind}]) =>
			({
				name, ...kind, protected: protectedNames.has(name), lifetimeMilliseconds: lifetime,
			})),
		identityLifetimeMilliseconds: record.identityLifetime,
		coldStartRampMilliseconds: record.coldStartRamp,
		...(record.notes === undefined ? {} : {notes: record.notes}),
	};
}

function checkNames(kinds: readonly PolicyKind[], context: Issues): void {
	const seen = new Set<string>();
	for (const [index, kind] of kinds.entries()) {
		if (seen.has(kind.name)) {
			context.addIssue(createIssue(['kinds', index, 'name'], 'each kind once', `kind "${kind.name}" again`));
		}

		seen.add(kind.name);
	}
}

function checkProtectedNames(record: ContentVersion2, context: Issues): void {
	const seen = new Set<string>();
	for (const [index, name] of record.protected.entries()) {
		if (!Object.hasOwn(record.kinds, name)) {
			context.addIssue(createIssue(['protected', index], 'the name of a kind in /kinds', `"${name}", which is missing there`));
		}

		if (seen.has(name)) {
			context.addIssue(createIssue(['protected', index], 'each kind once', `kind "${name}" again`));
		}

		seen.add(name);
	}
}

/** Checks the rules that span several fields. */
function checkContent(content: PolicyContent, paths: Paths, context: Issues): void {
	const lowestProtected = Math.min(...content.kinds.filter(kind => kind.protected).map(kind => kind.worth));
	for (const [index, kind] of content.kinds.entries()) {
		if (!kind.protected && kind.worth >= lowestProtected) {
			context.addIssue(createIssue(
				[...paths.kind(index), 'worth'],
				`a worth below ${lowestProtected}, the lowest of a protected kind, for a kind that is not protected`,
				String(kind.worth),
			));
		}

		if (kind.irreversible && content.identityLifetimeMilliseconds < kind.lifetimeMilliseconds) {
			context.addIssue(createIssue(
				[paths.identityLifetime],
				`at least the ${paths.lifetime} of the irreversible kind "${kind.name}" (${kind.lifetimeMilliseconds} ms)`,
				`${content.identityLifetimeMilliseconds} ms`,
			));
		}
	}
}
