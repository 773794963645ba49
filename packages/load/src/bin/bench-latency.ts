/**
 * Entry point of `npm run bench:latency`.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {
	Command, Option, UsageError, runExit,
} from 'clipanion';
import {measureLatency} from '../lib/latency-bench.js';
import {formatLatencyResult} from '../lib/latency-report.js';
import {summarizeProfile} from '../lib/profile-summary.js';

const profiledProcesses = ['front-1', 'echo-1', 'relay-entry', 'relay-exit'] as const;
const listedEntryCount = 14;
const maximumSeconds = 120;

await runExit({binaryLabel: 'hemlockthread latency bench', binaryName: 'npm run bench:latency --'}, class extends Command {
	static override usage = Command.Usage({
		description: 'Compares the latency of direct calls, a bare relay and paths through nodes in one run.',
		examples: [['The rates of the design page', '$0 --rates 60,600,2000 --seconds 20']],
	});

	rates = Option.String('--rates', '60,600,2000', {description: 'Comma-separated call rates per second'});
	seconds = Option.String('--seconds', '20', {description: 'Duration per path and rate in seconds'});
	out = Option.String('--out', {description: 'Output file for the tables in Markdown'});
	profile = Option.String('--profile', {description: 'Directory for CPU profiles; profiling makes the latencies incomparable with other runs'});

	override async execute(): Promise<number> {
		const rates = this.rates.split(',').map(Number);
		const seconds = Number(this.seconds);
		if (!rates.every(rate => rate > 0 && rate <= 20_000) || !(seconds > 0 && seconds <= maximumSeconds)) {
			throw new UsageError(`--rates must be positive numbers up to 20000, --seconds a positive number up to ${maximumSeconds}`);
		}

		const result = await measureLatency({
			rates, seconds, profileDirectory: this.profile,
			report(line) {
				process.stderr.write(`${line}\n`);
			},
		});
		const text = formatLatencyResult(result);
		if (this.out !== undefined) {
			mkdirSync(path.dirname(path.resolve(this.out)), {recursive: true});
			writeFileSync(this.out, `# Added latency\n\n\`npm run bench:latency -- --rates ${this.rates} --seconds ${this.seconds}\`\n\n${text}`);
		}

		this.context.stdout.write(text);
		if (this.profile !== undefined) {
			this.printProfiles(this.profile);
		}

		return 0;
	}

	private printProfiles(directory: string): void {
		for (const name of profiledProcesses) {
			const {totalMicroseconds, packages, functions} = summarizeProfile(path.join(directory, `${name}.cpuprofile`));
			this.context.stdout.write(`\n${name}: ${(totalMicroseconds / 1000).toFixed(0)} ms busy\n`);
			for (const {name: share, microseconds} of [...packages.slice(0, listedEntryCount), ...functions.slice(0, listedEntryCount)]) {
				this.context.stdout.write(`  ${(microseconds / 1000).toFixed(0).padStart(6)} ms  ${share}\n`);
			}
		}
	}
});
