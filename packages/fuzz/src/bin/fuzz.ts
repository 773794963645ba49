#!/usr/bin/env node
/**
 * Command `npm run fuzz -- --seed N --runs N`, which searches simulated worlds for violations of the guarantees and prints a
 * shrunk counterexample with the command that replays it.
 */
/* eslint new-cap: ["error", {"capIsNewExceptions": ["Command.Usage", "Option.String"]}] */
import process from 'node:process';
import {
	Builtins, Cli, Command, Option,
} from 'clipanion';
import {compareRetryStrategies} from '../lib/retry-trial.js';
import {search, type SearchResult} from '../lib/search.js';

class FuzzCommand extends Command {
	static override paths = [Command.Default];
	static override usage = Command.Usage({
		description: 'Search for violations: operations that ran twice, false verdicts, attempts beyond the retry total, wrong responses',
		examples: [['Search 1,000 worlds', 'npm run fuzz -- --seed 1 --runs 1000']],
	});

	seed = Option.String('--seed', '1', {description: 'seed of the first batch; later batches use the following seeds'});
	runs = Option.String('--runs', '1000', {description: 'number of worlds to run'});
	batch = Option.String('--batch', '1000', {description: 'number of worlds per seed'});
	casePath = Option.String('--path', {description: 'replays one case of a search with this seed'});
	replayPath = Option.String('--replay-path', {description: 'replays the shrunk commands of that case'});

	async execute(): Promise<number> {
		const total = {worlds: 0, steps: 0, arrivals: 0};
		const runs = this.casePath === undefined ? Number(this.runs) : 1;
		for (let seed = Number(this.seed); total.worlds < runs; seed += 1) {
			const result = await search({
				seed, runs: Math.min(Number(this.batch), runs - total.worlds), path: this.casePath, replayPath: this.replayPath,
			});
			total.worlds += result.worlds;
			total.steps += result.steps;
			total.arrivals += result.arrivals;
			if (result.failure !== undefined) {
				this.report(seed, result.failure);
				return 1;
			}
		}

		this.context.stdout.write(`worlds ${total.worlds}, steps ${total.steps}, arrivals at targets ${total.arrivals}, violations 0\n`);
		return 0;
	}

	private report(seed: number, failure: NonNullable<SearchResult['failure']>): void {
		const replay = failure.replayPath === undefined ? '' : ` --replay-path "${failure.replayPath}"`;
		this.context.stdout.write([
			failure.message, `commands: ${failure.counterexample}`, `replay: npm run fuzz -- --seed ${seed} --path ${failure.path}${replay}`, '',
		].join('\n'));
	}
}

class RetriesCommand extends Command {
	static override paths = [['retries']];
	static override usage = Command.Usage({description: 'Print the table of attempts at targets for docs/retries.md'});

	async execute(): Promise<number> {
		this.context.stdout.write('| fan-out | depth | first attempts | conserved | ratio | counter |\n|---|---|---|---|---|---|\n');
		for (const {fanOut, depth, firstAttempts, attempts} of compareRetryStrategies()) {
			const cells = [fanOut, depth, firstAttempts, attempts.conserved, attempts.ratio, attempts.counter];
			this.context.stdout.write(`| ${cells.map(cell => cell?.toLocaleString('en')).join(' | ')} |\n`);
		}

		return 0;
	}
}

const cli = new Cli({binaryLabel: 'hemlockthread fuzz', binaryName: 'npm run fuzz --'});
cli.register(FuzzCommand);
cli.register(RetriesCommand);
cli.register(Builtins.HelpCommand);
process.exitCode = await cli.run(process.argv.slice(2));
