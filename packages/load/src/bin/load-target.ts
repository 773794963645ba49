/**
 * Runs one target of an experiment. The parent process sends its plan and commands and is told when each is done.
 */
import process from 'node:process';
import {LoadTarget, type LoadTargetPlan} from '../lib/load-target.js';
import type {TargetCommand} from '../lib/target-process.js';

const plan = JSON.parse(process.argv[2] ?? '') as LoadTargetPlan;
const target = new LoadTarget(plan);

const commands: Record<TargetCommand['type'], (command: TargetCommand) => unknown> = {
	slowness(command) {
		target.slowdownFactor = command.value ?? 1;
		return undefined;
	},
	async leave() {
		await target.leave();
	},
	runs: () => target.runs,
};

process.on('message', (command: TargetCommand) => {
	void (async () => {
		process.send!({identifier: command.identifier, value: await commands[command.type](command)});
	})();
});
// The parent holds the other end; without it nobody would stop this process.
process.on('disconnect', () => {
	process.exit(0);
});
await target.listen();
process.send!({identifier: 0});
