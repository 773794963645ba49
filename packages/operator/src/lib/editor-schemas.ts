/**
 * JSON schemas of all hand-written documents, for completion and validation in editors.
 */
import {policySchemaVersion1, policySchemaVersion2} from '@hemlockthread/policy';
import {nodeSettingsSchema} from '@hemlockthread/settings';
import {z} from 'zod';
import {fleetListSchema} from './fleet-list-schema.js';

const sources: Readonly<Record<string, z.ZodType>> = {
	'policy-version-1.json': policySchemaVersion1,
	'policy-version-2.json': policySchemaVersion2,
	'node-settings.json': nodeSettingsSchema,
	'fleet-list.json': fleetListSchema,
};

/**
 * Returns the name and text of each schema file. JSON schema can't express rules that span several fields; `check` enforces
 * those.
 *
 * @internal
 */
export function editorSchemas(): Array<[file: string, text: string]> {
	return Object.entries(sources).map(([file, schema]) =>
		[file, `${JSON.stringify(z.toJSONSchema(schema, {io: 'input', target: 'draft-2020-12'}), undefined, '\t')}\n`]);
}
