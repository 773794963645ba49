/**
 * Entry point of `npm run demo`: shows a call through three services in two failure domains, an overload and a target that
 * leaves. It checks counts and shares only, never durations.
 */
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Caller} from '../lib/caller.js';
import {loadExperiment, type Experiment, type Traffic} from '../lib/experiment-file.js';
import type {LoadFleet} from '../lib/load-fleet.js';
import {outcomes} from '../lib/recorder.js';
import {createFleet, runOnFleet, type ExperimentResult} from '../lib/run-experiment.js';
import {percent, total} from '../lib/summary.js';

const experimentFile = fileURLToPath(new URL('../../../../experiments/demo.json', import.meta.url));
const browsingKinds = ['stock-view', 'listing'] as const;
/** Without the leave, each of these calls would reach the target with a probability of one half. */
const callsAfterLeaving = 20;

const failures: string[] = [];
// Advances per operation, not per request, because the identity exchange is an additional request.
let entryIndex = 0;

function printLine(line: string): void {
	process.stdout.write(`${line}\n`);
}

function check(holds: boolean, expectation: string): void {
	printLine(`  ${holds ? 'ok    ' : 'FAILED'} ${expectation}`);
	if (!holds) {
		failures.push(expectation);
	}
}

function trafficOf(experiment: Experiment, kind: string): Traffic {
	return experiment.traffic.find(traffic => traffic.kind === kind)!;
}

/** Lists the runs of one root request as `{instance} {kind}`. */
async function runsOf(fleet: LoadFleet, root: string): Promise<string[]> {
	const found: string[] = [];
	for (const instance of fleet.instances.values()) {
		const runs = await instance.target.runs();
		found.push(...runs.filter(run => run.root === root).map(run => `${instance.name} ${run.kind}`));
	}

	return found;
}

async function showServedCalls(experiment: Experiment, fleet: LoadFleet, caller: Caller): Promise<void> {
	printLine('\n1. One withdrawal through three services in each failure domain');
	for (const domain of experiment.failureDomains) {
		const root = `demo-${domain}`;
		const {outcome} = await caller.run(trafficOf(experiment, 'withdrawal'), root);
		entryIndex += 1;
		const runs = await runsOf(fleet, root);
		printLine(`  ran at: ${runs.join(', ')}`);
		check(outcome === 'whole', 'the caller got the whole answer');
		check(runs.length === Object.keys(experiment.services).length, 'each service ran it exactly once');
	}
}

function showOverload(result: ExperimentResult): void {
	const share = (kind: string) => total(result.series[kind]!.whole) / total(result.series[kind]!.offered);
	const refused = (kind: string) => total(result.series[kind]!['did-not-run']);
	check(browsingKinds.some(kind => refused(kind) > 0), 'browsing was refused with "did not run"');
	for (const kind of browsingKinds) {
		check(share('withdrawal') > share(kind), `withdrawals were served more often (${percent(share('withdrawal'))}) than ${kind} (${percent(share(kind))})`);
	}

	check(result.measures.attempts.doubledIrreversible === 0, 'no withdrawal or intake ran twice');
}

async function showLeaving(experiment: Experiment, fleet: LoadFleet, caller: Caller): Promise<void> {
	printLine('\n3. After releases-akl-a-1 has left');
	let whole = 0;
	for (let index = 0; index < callsAfterLeaving; index += 1) {
		const {outcome} = await caller.run(trafficOf(experiment, 'stock-view'), `demo-left-${index}`);
		entryIndex += 1;
		whole += outcome === 'whole' ? 1 : 0;
	}

	const runs = await fleet.instance('releases-akl-a-1').target.runs();
	const runsAfterLeaving = runs.filter(run => run.root.startsWith('demo-left-')).length;
	check(whole === callsAfterLeaving, `${whole} of ${callsAfterLeaving} calls were answered whole`);
	check(runsAfterLeaving === 0, 'none of them reached the target that left');
}

function showTable(result: ExperimentResult): void {
	printLine('\nWhat callers saw during the overload and the leaving');
	printLine(['kind', 'worth', 'offered', ...outcomes, 'requests'].map(cell => cell.padStart(13)).join(''));
	for (const [kind, counts] of Object.entries(result.series)) {
		const cells = [kind, result.worths[kind]!, total(counts.offered), ...outcomes.map(outcome => total(counts[outcome])), result.totals[kind]!.requests];
		printLine(cells.map(cell => String(cell).padStart(13)).join(''));
	}

	const {goodput, work, attempts} = result.measures;
	printLine(`goodput weighted by worth ${goodput.weighted.toFixed(0)}/s, ${percent(goodput.ofIdeal)} of the ideal; wasted work ${percent(work.wastedFraction)}; `
		+ `${attempts.runsPerRoot.toFixed(2)} runs at targets per request that reached one`);
}

const experiment = loadExperiment(experimentFile);
const fleet = createFleet(experiment);
const endController = new AbortController();
const entryInstances = () => [...fleet.instances.values()].filter(instance => !instance.unavailable && instance.service === 'provenance');
const caller = new Caller({
	signal: endController.signal, random: () => 0.5,
	chooseEntryUrl: () => entryInstances()[entryIndex % entryInstances().length]!.callerUrl,
});
try {
	printLine('Starting three services in two failure domains, a node beside each target');
	await fleet.start();
	await showServedCalls(experiment, fleet, caller);
	printLine('\n2. Browsing and listing surge to 4 times the capacity; later one instance of the middle service leaves');
	const result = await runOnFleet(experiment, {
		seed: experiment.seed,
		report(line) {
			printLine(`  ${line}`);
		},
	}, fleet);
	showOverload(result);
	await showLeaving(experiment, fleet, caller);
	showTable(result);
} finally {
	endController.abort();
	caller.close();
	await fleet.stop();
}

printLine(failures.length === 0 ? '\nThe demo showed what it should.' : `\nThe demo failed: ${failures.join('; ')}`);
process.exitCode = failures.length === 0 ? 0 : 1;
