/**
 * Entry point of the target process of an experiment. The plan is a JSON argument; commands arrive over IPC, and each gets a
 * response when it has completed.
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
// If the parent process exits, nothing else would stop this process.
process.on('disconnect', () => {
	process.exit(0);
});
await target.listen();
process.send!({identifier: 0});
