/**
 * Command `published`, which shows the records that the configuration service publishes.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {DocumentCheck} from '@hemlockthread/documents';
import {checkPolicyRecord} from '@hemlockthread/policy';
import {Command, Option} from 'clipanion';
import {checkFleetList} from './fleet-list-schema.js';
import {
	exitStatus, isPlatformUrl, OperatorCommand, statusHelp, type CommandResult,
} from './operator-command.js';
import {readPublished, recordKeys, type Published} from './readers.js';

const checks: Readonly<Record<string, (text: string) => DocumentCheck<unknown>>> = {policy: checkPolicyRecord, fleet: checkFleetList};

/** Description of a record without its value. @internal */
export type RecordSummary = {key: string; revision: number; bytes: number; digest: string; valid: boolean};

/** @internal */
export function summarize({key, revision, value}: Published): RecordSummary {
	return {
		key, revision, bytes: Buffer.byteLength(value), digest: createHash('sha256').update(value).digest('base64url'),
		valid: checks[key]?.(value).valid ?? true,
	};
}

/** @internal */
export class PublishedCommand extends OperatorCommand {
	static override paths = [['published']];
	static override usage = Command.Usage({
		description: 'Show what the configuration service publishes.',
		details: `Without KEY: revision, size in bytes, SHA-256 digest and validity of each record. With KEY (policy or fleet): the record itself. ${statusHelp}`,
		examples: [
			['Show the revisions', '$0 published --platform http://127.0.1.9:7100'],
			['Print the policy record', '$0 published --platform http://127.0.1.9:7100 policy'],
		],
	});

	platform = Option.String('--platform', {required: true, validator: isPlatformUrl, description: 'Base URL of the configuration service.'});
	key = Option.String({name: 'KEY', required: false});

	protected async run(): Promise<CommandResult> {
		return this.key === undefined ? this.list() : this.show(this.key);
	}

	private async list(): Promise<CommandResult> {
		const records = await Promise.all(recordKeys.map(async key => ({key, published: await readPublished(this.platform, key)})));
		const summaries = records.map(({key, published}) => published === undefined ? {key, published: false as const} : {published: true as const, ...summarize(published)});
		return {
			status: summaries.every(summary => summary.published && summary.valid) ? exitStatus.ok : exitStatus.negative,
			lines: summaries.map(summary => summary.published
				? `${summary.key}: revision ${summary.revision}, ${summary.bytes} bytes, ${summary.valid ? 'valid' : 'invalid'}, sha256 ${summary.digest}`
				: `${summary.key}: not published`),
			json: {records: summaries},
		};
	}

	private async show(key: string): Promise<CommandResult> {
		const published = await readPublished(this.platform, key);
		return published === undefined
			? {status: exitStatus.negative, lines: [`${key}: not published`], json: {key, published: false}}
			: {status: exitStatus.ok, lines: [published.value], json: {published: true, ...summarize(published), value: published.value}};
	}
}
