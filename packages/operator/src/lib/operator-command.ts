/**
 * Base class of all commands, with text or JSON output and the exit statuses.
 */
import {Command, Option} from 'clipanion';
import milliseconds, {type StringValue} from 'ms';
import * as t from 'typanion';

/** @public */
export const exitStatus = {
	ok: 0,
	/** The command ran and found something invalid, different, shed or absent. */
	negative: 1,
	usage: 2,
	/** The platform or a node is unreachable. */
	unreachable: 3,
} as const;

/** @public */
export type ExitStatus = (typeof exitStatus)[keyof typeof exitStatus];

/** @public */
export type CommandResult = {
	status: ExitStatus;
	/** Output without `--json`. */
	lines: string[];
	/** Output with `--json`. */
	json: unknown;
};

/** An unreadable file or an invalid combination of arguments. @internal */
export class InputError extends Error {}

/** A process that is unreachable or whose response does not conform to its interface. @internal */
export class UnreachableError extends Error {}

/** Exit statuses by error class. */
const errorStatuses: ReadonlyArray<[new (message: string) => Error, ExitStatus]> = [
	[InputError, exitStatus.usage],
	[UnreachableError, exitStatus.unreachable],
];

/** Exit statuses, as the help of every command shows them. @internal */
export const statusHelp = 'Exit status: 0 ok, 1 invalid or negative finding, 2 wrong usage or unreadable file, 3 unreachable.';

const durationPattern = /^\d{1,9}(?:ms|s|m|h)$/v;

/** @internal */
export const isAddress = t.cascade(t.isString(), t.matchesRegExp(/^(?:\d+\.\d+\.\d+\.\d+|\[[\da-fA-F:.]+\]):\d{1,5}$/v));
/** @internal */
export const isPlatformUrl = t.cascade(t.isString(), t.matchesRegExp(/^http:\/\/[^\/]+\/?$/v));
/** @internal */
export const isDuration = t.cascade(t.isString(), t.matchesRegExp(durationPattern));

/** Converts a duration that `isDuration` accepted. @internal */
export function toMilliseconds(text: string): number {
	return milliseconds(text as StringValue);
}

/**
 * Base class of the read-only commands.
 *
 * @public
 */
export abstract class OperatorCommand extends Command {
	json = Option.Boolean('--json', false, {description: 'Print JSON instead of text.'});

	async execute(): Promise<number> {
		try {
			const {status, lines, json} = await this.run();
			this.print(lines, json);
			return status;
		} catch (error) {
			const known = errorStatuses.find(([type]) => error instanceof type);
			if (known === undefined) {
				throw error;
			}

			this.context.stderr.write(this.json ? `${JSON.stringify({error: (error as Error).message})}\n` : `${(error as Error).message}\n`);
			return known[1];
		}
	}

	protected print(lines: readonly string[], json: unknown): void {
		if (this.json) {
			this.context.stdout.write(`${JSON.stringify(json)}\n`);
			return;
		}

		for (const line of lines) {
			this.context.stdout.write(`${line}\n`);
		}
	}

	protected abstract run(): Promise<CommandResult>;
}
