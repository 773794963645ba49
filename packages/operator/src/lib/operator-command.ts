/**
 * What all commands have in common: text or JSON output, and an exit status for each kind of end.
 */
import {Command, Option} from 'clipanion';
import milliseconds, {type StringValue} from 'ms';
import * as t from 'typanion';

/** @public */
export const exitStatus = {
	ok: 0,
	/** Something is invalid, different, shed or absent. */
	negative: 1,
	usage: 2,
	/** The platform or a node can't be reached. */
	unreachable: 3,
} as const;

/** @public */
export type ExitStatus = (typeof exitStatus)[keyof typeof exitStatus];

/** What a command found. @public */
export type Outcome = {
	status: ExitStatus;
	/** Output without `--json`. */
	lines: string[];
	/** Output with `--json`. */
	json: unknown;
};

/** A file that can't be read, or arguments that don't fit together. @internal */
export class InputError extends Error {}

/** A process that can't be reached or does not answer as its interface says. @internal */
export class UnreachableError extends Error {}

/** Statuses of the errors that commands throw. */
const errorStatuses: ReadonlyArray<[new (message: string) => Error, ExitStatus]> = [
	[InputError, exitStatus.usage],
	[UnreachableError, exitStatus.unreachable],
];

/** Details shown by the help of every command. @internal */
export const statusHelp = 'Exit status: 0 ok, 1 invalid or negative finding, 2 wrong usage or unreadable file, 3 unreachable.';

const durationPattern = /^\d{1,9}(?:ms|s|m|h)$/v;

/** @internal */
export const isAddress = t.cascade(t.isString(), t.matchesRegExp(/^(?:\d+\.\d+\.\d+\.\d+|\[[\da-fA-F:.]+\]):\d{1,5}$/v));
/** @internal */
export const isPlatformUrl = t.cascade(t.isString(), t.matchesRegExp(/^http:\/\/[^\/]+\/?$/v));
/** @internal */
export const isDuration = t.cascade(t.isString(), t.matchesRegExp(durationPattern));

/** Converts a validated duration text. @internal */
export function toMilliseconds(text: string): number {
	return milliseconds(text as StringValue);
}

/**
 * A command that reads and reports, and changes nothing.
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

	protected abstract run(): Promise<Outcome>;
}
