/**
 * The `hemlockthread` command line with all its commands.
 */
import {Builtins, Cli, type BaseContext} from 'clipanion';
import {
	CheckFleetCommand, CheckPolicyCommand, CheckSettingsCommand, CompareCommand,
} from './check-commands.js';
import {DumpCommand} from './dump-command.js';
import {ExplainCommand} from './explain-command.js';
import {FollowCommand} from './follow-command.js';
import {exitStatus} from './operator-command.js';
import {PublishedCommand} from './published-command.js';
import {TraceCommand} from './trace-command.js';

const commands = [
	CheckPolicyCommand,
	CheckSettingsCommand,
	CheckFleetCommand,
	CompareCommand,
	PublishedCommand,
	DumpCommand,
	FollowCommand,
	ExplainCommand,
	TraceCommand,
	Builtins.HelpCommand,
	Builtins.VersionCommand,
];

/**
 * Runs the command line and returns its exit status; arguments that don't parse give `exitStatus.usage`.
 *
 * @public
 */
export async function runCli(arguments_: string[], context: Partial<BaseContext> = {}): Promise<number> {
	const cli = new Cli({binaryLabel: 'hemlockthread, read-only tools for operators', binaryName: 'hemlockthread', binaryVersion: '0.1.0'});
	for (const command of commands) {
		cli.register(command);
	}

	const fullContext = {...Cli.defaultContext, ...context};
	try {
		cli.process(arguments_, fullContext);
	} catch (error) {
		fullContext.stderr.write(cli.error(error));
		return exitStatus.usage;
	}

	return cli.run(arguments_, fullContext);
}
