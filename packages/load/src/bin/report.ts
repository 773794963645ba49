/**
 * Entry point of `npm run report`.
 */
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {
	Command, Option, UsageError, runExit,
} from 'clipanion';
import {writeReport} from '../lib/report.js';
import type {ExperimentResult} from '../lib/run-experiment.js';

const maximumResults = 2;

await runExit({binaryLabel: 'hemlockthread report', binaryName: 'npm run report --'}, class extends Command {
	static override usage = Command.Usage({
		description: 'Writes a Markdown report with SVG plots that compares results with the bounds of the design page.',
		examples: [['Compare two runs', '$0 /tmp/on.json /tmp/off.json --out docs/measurements/recovery']],
	});

	results = Option.Rest({required: 1});
	out = Option.String('--out', {required: true, description: 'Path of the report without a file extension'});

	override async execute(): Promise<number> {
		if (this.results.length > maximumResults) {
			throw new UsageError(`at most ${maximumResults} results can be compared`);
		}

		const results = this.results.map(file => JSON.parse(readFileSync(file, 'utf8')) as ExperimentResult);
		const report = writeReport(results, path.basename(this.out));
		mkdirSync(path.dirname(path.resolve(this.out)), {recursive: true});
		writeFileSync(`${this.out}.md`, report.markdown);
		for (const [plot, svg] of Object.entries(report.plots)) {
			writeFileSync(`${this.out}-${plot}.svg`, svg);
		}

		this.context.stdout.write(`wrote ${this.out}.md\n`);
		return 0;
	}
});
