/**
 * Entry point of `npm run experiment`.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {
	Command, Option, UsageError, runExit,
} from 'clipanion';
import {loadExperiment, type Experiment} from '../lib/experiment-file.js';
import {runExperiment} from '../lib/run-experiment.js';
import {summarize} from '../lib/summary.js';

await runExit({binaryLabel: 'hemlockthread experiment', binaryName: 'npm run experiment --'}, class extends Command {
	static override usage = Command.Usage({
		description: 'Runs an experiment file against real nodes and reports the outcomes that callers observe.',
		examples: [['Run twice the capacity', '$0 experiments/overload-2x.json --out /tmp/overload-2x.json']],
	});

	file = Option.String();
	seed = Option.String('--seed', {description: 'Seed of arrivals; defaults to the seed in the file'});
	out = Option.String('--out', {description: 'Output file for the result as JSON'});
	profile = Option.String('--profile', {description: 'Directory for CPU profiles of the nodes'});

	override async execute(): Promise<number> {
		const experiment = this.read();
		const seed = this.seed === undefined ? experiment.seed : Number(this.seed);
		if (!Number.isSafeInteger(seed)) {
			throw new UsageError('--seed must be an integer');
		}

		const result = await runExperiment(experiment, {
			seed, profileDirectory: this.profile,
			report(line) {
				process.stderr.write(`${line}\n`);
			},
		});
		if (this.out !== undefined) {
			mkdirSync(path.dirname(path.resolve(this.out)), {recursive: true});
			writeFileSync(this.out, `${JSON.stringify(result)}\n`);
		}

		this.context.stdout.write(`${summarize(result)}\n`);
		return 0;
	}

	private read(): Experiment {
		try {
			return loadExperiment(this.file);
		} catch (error) {
			throw new UsageError(String((error as Error).message));
		}
	}
});
