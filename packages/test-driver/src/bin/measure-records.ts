#!/usr/bin/env node
/**
 * Command `measure-records`, which measures how records propagate through a fleet and prints one JSON line per run.
 */
import process from 'node:process';
import {Cli, Command, Option} from 'clipanion';
import {measureRecords, type RecordMeasurePlan} from '../lib/measure-records.js';

class MeasureRecords extends Command {
	static override paths = [Command.Default];

	nodes = Option.String('--nodes', '48');
	processes = Option.String('--processes', '4');
	domains = Option.String('--domains', '6');
	recordBytes = Option.String('--record-bytes', '2000');
	changes = Option.String('--changes', '10');
	interval = Option.String('--interval-milliseconds', '1000');
	idle = Option.String('--idle-milliseconds', '10000');
	seed = Option.String('--seed', '1');
	whole = Option.Boolean('--whole', false);

	async execute(): Promise<number> {
		const plan: RecordMeasurePlan = {
			nodes: Number(this.nodes), processes: Number(this.processes), domains: Number(this.domains), recordBytes: Number(this.recordBytes),
			changes: Number(this.changes), intervalMilliseconds: Number(this.interval), idleMilliseconds: Number(this.idle), seed: Number(this.seed),
			spread: this.whole ? 'whole' : 'patch',
		};
		this.context.stdout.write(`${JSON.stringify({plan, measure: await measureRecords(plan)})}\n`);
		return 0;
	}
}

process.exitCode = await Cli.from(MeasureRecords, {binaryName: 'measure-records'}).run(process.argv.slice(2));
process.exit();
