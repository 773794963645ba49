/**
 * Entry point of `npm run bench:control`.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {
	Command, Option, UsageError, runExit,
} from 'clipanion';
import {measureControl} from '../lib/control-bench.js';
import {formatControlResult} from '../lib/control-report.js';

const maximumNodes = 100;
const maximumSeconds = 120;

await runExit({binaryLabel: 'hemlockthread control-cost bench', binaryName: 'npm run bench:control --'}, class extends Command {
	static override usage = Command.Usage({
		description: 'Measures CPU, memory and transferred bytes of node processes, idle and under load.',
		examples: [['Three fleet sizes', '$0 --nodes 6,24,60 --seconds 15 --out docs/measurements/control.md']],
	});

	nodes = Option.String('--nodes', '6,24,60', {description: 'Comma-separated numbers of nodes, in ascending order'});
	seconds = Option.String('--seconds', '15', {description: 'Duration of each case in seconds'});
	out = Option.String('--out', {description: 'Output file for the tables in Markdown'});

	override async execute(): Promise<number> {
		const nodes = this.nodes.split(',').map(Number);
		const seconds = Number(this.seconds);
		if (!nodes.every(count => Number.isSafeInteger(count) && count > 1 && count <= maximumNodes) || !(seconds > 0 && seconds <= maximumSeconds)) {
			throw new UsageError(`--nodes must be integers from 2 to ${maximumNodes}, --seconds a positive number up to ${maximumSeconds}`);
		}

		const text = formatControlResult(await measureControl({
			nodes, seconds,
			report(line) {
				process.stderr.write(`${line}\n`);
			},
		}));
		if (this.out !== undefined) {
			mkdirSync(path.dirname(path.resolve(this.out)), {recursive: true});
			writeFileSync(this.out, `# Cost of control\n\n\`npm run bench:control -- --nodes ${this.nodes} --seconds ${this.seconds}\`\n\n${text}`);
		}

		this.context.stdout.write(text);
		return 0;
	}
});
