/**
 * Commands `check policy|settings|fleet FILE` and `compare A B`, which validate documents before they are published or used.
 */
import {formatFaults, type DocumentCheck} from '@hemlockthread/documents';
import {checkPolicyRecord, comparePolicyRecords, type PolicyRecord} from '@hemlockthread/policy';
import {checkSettings} from '@hemlockthread/settings';
import {Command, Option} from 'clipanion';
import {checkFleetList} from './fleet-list-schema.js';
import {
	exitStatus, InputError, OperatorCommand, statusHelp, type CommandResult,
} from './operator-command.js';
import {readInputFile} from './readers.js';

type Check = (text: string) => DocumentCheck<unknown>;

abstract class CheckCommand extends OperatorCommand {
	file = Option.String({name: 'FILE'});
	protected abstract readonly check: Check;

	protected async run(): Promise<CommandResult> {
		const result = this.check(readInputFile(this.file));
		return result.valid
			? {status: exitStatus.ok, lines: [`${this.file} is valid`], json: {file: this.file, valid: true, faults: []}}
			: {status: exitStatus.negative, lines: [formatFaults(result.faults)], json: {file: this.file, valid: false, faults: result.faults}};
	}
}

/** @internal */
export class CheckPolicyCommand extends CheckCommand {
	static override paths = [['check', 'policy']];
	static override usage = Command.Usage({
		description: 'Check a policy record of any schema version.',
		details: `Lists each fault with its path, what was expected and what was found. Durations are milliseconds in version 1 and texts such as "1500ms", "2s" and "1m" in version 2. ${statusHelp}`,
		examples: [['Check a record before it is published', '$0 check policy examples/policy-version-2.json']],
	});

	protected readonly check: Check = checkPolicyRecord;
}

/** @internal */
export class CheckSettingsCommand extends CheckCommand {
	static override paths = [['check', 'settings']];
	static override usage = Command.Usage({
		description: 'Check a node\'s settings file.',
		details: `Lists each fault with its path, what was expected and what was found. Secrets are not printed. ${statusHelp}`,
		examples: [['Check settings before a node is started', '$0 check settings examples/node-settings.json']],
	});

	protected readonly check: Check = checkSettings;
}

/** @internal */
export class CheckFleetCommand extends CheckCommand {
	static override paths = [['check', 'fleet']];
	static override usage = Command.Usage({
		description: 'Check a fleet list.',
		details: `Lists each fault with its path, what was expected and what was found. ${statusHelp}`,
		examples: [['Check a list before it is published', '$0 check fleet examples/fleet-list.json']],
	});

	protected readonly check: Check = checkFleetList;
}

/** @internal */
export class CompareCommand extends OperatorCommand {
	static override paths = [['compare']];
	static override usage = Command.Usage({
		description: 'Compare two policy records, also of different schema versions.',
		details: 'Prints one line per change: "+" added, "-" removed, "~" changed. Durations are in milliseconds. Exit status 0 means the '
			+ `same policy, 1 a difference or an invalid record. ${statusHelp}`,
		examples: [['Compare two versions of one policy', '$0 compare examples/policy-version-1.json examples/policy-version-2.json']],
	});

	before = Option.String({name: 'A'});
	after = Option.String({name: 'B'});

	protected async run(): Promise<CommandResult> {
		const before = this.read(this.before);
		const after = this.read(this.after);
		if (!before.valid || !after.valid) {
			const faults = {[this.before]: before.valid ? [] : before.faults, [this.after]: after.valid ? [] : after.faults};
			const lines = Object.entries(faults).filter(([, list]) => list.length > 0).map(([file, list]) => `${file} is invalid\n${formatFaults(list)}`);
			return {status: exitStatus.negative, lines, json: {valid: false, faults}};
		}

		const difference = comparePolicyRecords(before.value, after.value);
		return {
			status: difference.equal ? exitStatus.ok : exitStatus.negative,
			lines: difference.equal ? [...difference.lines, 'both records mean the same'] : difference.lines,
			json: difference,
		};
	}

	private read(file: string): DocumentCheck<PolicyRecord> {
		if (file === '') {
			throw new InputError('a file name is empty');
		}

		return checkPolicyRecord(readInputFile(file));
	}
}
