/**
 * Formats the results of one or two experiments as Markdown with plots, compared with the bounds of section 1.2 of the
 * design page.
 */
import {drawPanels, type ChartPanel} from './chart.js';
import {outcomes} from './recorder.js';
import type {ExperimentResult} from './run-experiment.js';
import {
	invalidReason, percent, recoveryText, total,
} from './summary.js';

/** The bounds of section 1.2 of the design page. @public */
export const bounds = {
	goodputOfIdeal: [{load: 2, atLeast: 0.95}, {load: 5, atLeast: 0.93}, {load: 10, atLeast: 0.9}],
	topWorthServed: {load: 10, atLeast: 0.999},
	wastedWork: 0.03,
	recoverySeconds: 2,
	/** Minimum recovery time with the controls off, as a multiple of the recovery time with the controls on. */
	recoveryWithoutControls: 10,
	leavingMilliseconds: 3000,
	doubledIrreversible: 0,
} as const;

/** @public */
export type ReportRow = {measure: string; bound: string; measured: string; met: boolean};

/** @public */
export type Report = {markdown: string; plots: Record<string, string>};

/** Finer steps would mostly show the noise of arrivals. */
const plotStepSeconds = 1;
/** A bound applies to offered loads within this fraction of its load. */
const loadTolerance = 0.15;

/** Compares one result with the bounds that apply to it. @public */
export function checkBounds(result: ExperimentResult): ReportRow[] {
	const {goodput, topWorth, work, attempts, recovery, leaving} = result.measures;
	const isNearLoad = (load: number) => recovery === undefined && Math.abs((goodput.offeredLoad / load) - 1) <= loadTolerance;
	const controlsOn = result.experiment.nodeSettings.controls !== 'off';
	const rows: ReportRow[] = bounds.goodputOfIdeal.filter(({load}) => isNearLoad(load)).map(({load, atLeast}) => ({
		measure: `goodput weighted by worth at ${load} times capacity`, bound: `at least ${percent(atLeast, 0)} of the ideal`,
		measured: `${percent(goodput.ofIdeal)} (${goodput.weighted.toFixed(0)} of ${goodput.ideal.toFixed(0)})`, met: goodput.ofIdeal >= atLeast,
	}));
	if (isNearLoad(bounds.topWorthServed.load) && topWorth.ownLoad < 1) {
		rows.push({
			measure: `${topWorth.kind} served, own load ${topWorth.ownLoad.toFixed(2)} of capacity`, bound: `at least ${percent(bounds.topWorthServed.atLeast)}`,
			measured: `${percent(topWorth.served, 2)} (${topWorth.whole} of ${topWorth.offered})`, met: topWorth.served >= bounds.topWorthServed.atLeast,
		});
	}

	if (controlsOn) {
		rows.push({
			measure: 'work at targets for requests that fail in the end', bound: `at most ${percent(bounds.wastedWork, 0)}`,
			measured: percent(work.wastedFraction, 2), met: work.wastedFraction <= bounds.wastedWork,
		}, {
			measure: 'root requests with a doubled irreversible run', bound: String(bounds.doubledIrreversible),
			measured: String(attempts.doubledIrreversible), met: attempts.doubledIrreversible <= bounds.doubledIrreversible,
		});
		if (recovery !== undefined) {
			rows.push({
				measure: 'recovery to 95% after the trigger', bound: `within ${bounds.recoverySeconds} s`,
				measured: recoveryText(recovery), met: recovery.seconds !== null && recovery.seconds <= bounds.recoverySeconds,
			});
		}
	}

	for (const {instance, lastNewWorkMilliseconds, newWork} of leaving) {
		rows.push({
			measure: `new work at leaving ${instance}`, bound: `none later than ${bounds.leavingMilliseconds} ms`,
			measured: `${newWork} requests, the last after ${lastNewWorkMilliseconds} ms`, met: lastNewWorkMilliseconds <= bounds.leavingMilliseconds,
		});
	}

	return rows;
}

/** Compares recovery with the controls on and off; undefined unless there is a result of each. @public */
export function compareRecovery(results: readonly ExperimentResult[]): ReportRow | undefined {
	const recoveryWithControls = (controls: string) => results.find(result => (result.experiment.nodeSettings.controls ?? 'on') === controls)?.measures.recovery;
	const on = recoveryWithControls('on');
	const off = recoveryWithControls('off');
	if (on === undefined || off === undefined) {
		return undefined;
	}

	// A recovery within the first bin counts as one bin, so that the ratio stays defined.
	const onSeconds = on.seconds === null ? null : Math.max(on.seconds, 0.25);
	const ratio = onSeconds === null ? 0 : (off.seconds ?? off.observedSeconds) / onSeconds;
	return {
		measure: 'recovery with the controls off against on', bound: `at least ${bounds.recoveryWithoutControls} times longer`,
		measured: `${recoveryText(off)} against ${recoveryText(on)}, ${off.seconds === null ? 'more than ' : ''}${ratio.toFixed(0)} times`,
		met: ratio >= bounds.recoveryWithoutControls,
	};
}

/** @public */
export function writeReport(results: readonly ExperimentResult[], name: string): Report {
	const comparison = compareRecovery(results);
	return {
		markdown: [
			`# ${results.map(result => result.experiment.name).join(' and ')}`,
			'',
			...results.flatMap(result => formatResult(result)),
			...(comparison === undefined ? [] : ['## Comparison', '', ...table([comparison])]),
			'## Plots',
			'',
			`![whole answers per second by kind](${name}-goodput.svg)`,
			'',
			`![worth of whole answers per second](${name}-worth.svg)`,
			'',
			`![work at targets](${name}-work.svg)`,
			'',
		].join('\n'),
		plots: {
			goodput: drawPanels(results.map(result => goodputPanel(result)), 'whole answers/s'),
			worth: drawPanels(results.map(result => worthPanel(result)), 'worth/s'),
			work: drawPanels(results.map(result => workPanel(result)), 'slot-ms/s'),
		},
	};
}

function formatResult(result: ExperimentResult): string[] {
	const {experiment, machine, seed, usage, series, totals, measures} = result;
	const invalid = invalidReason(result);
	const busiest = Object.entries(usage.processPeaks).toSorted(([, first], [, second]) => second - first)[0];
	return [
		`## ${experiment.name}`,
		'',
		experiment.description,
		'',
		`Seed ${seed}, started ${result.startedAt}, ${machine.cpu}, ${machine.cores} cores, ${machine.memoryGigabytes} GB, Node.js ${machine.node}, `
		+ `load average ${machine.loadAverage.toFixed(1)} before the run. Busiest process ${busiest?.[0] ?? 'none'}: ${percent(busiest?.[1] ?? 0, 0)} of a core; `
		+ `all cores at most ${percent(usage.machinePeak, 0)} busy; arrivals at most ${usage.largestArrivalDelayMilliseconds.toFixed(0)} ms late.`,
		'',
		...(invalid === undefined ? [] : [`**${invalid}**`, '']),
		...table(checkBounds(result)),
		`| kind | worth | offered | ${outcomes.join(' | ')} | requests sent | median ms | p99 ms |`,
		`|---|--:|--:|${outcomes.map(() => '--:|').join('')}--:|--:|--:|`,
		...Object.entries(series).map(([kind, counts]) => {
			const {requests, latency} = totals[kind]!;
			const cells = [result.worths[kind]!, total(counts.offered), ...outcomes.map(outcome => total(counts[outcome])), requests, latency.median.toFixed(0), latency.p99.toFixed(0)];
			return `| ${kind} | ${cells.join(' | ')} |`;
		}),
		'',
		`Runs at targets per root request that reached one: ${measures.attempts.runsPerRoot.toFixed(2)} on average, at most ${measures.attempts.maximumRunsPerRoot}. `
		+ `Work at targets: ${(measures.work.milliseconds / 1000).toFixed(1)} slot-seconds, ${(measures.work.wastedMilliseconds / 1000).toFixed(1)} of them wasted.`,
		'',
	];
}

function table(rows: readonly ReportRow[]): string[] {
	return [
		'| measure | bound | measured | |',
		'|---|---|---|---|',
		...rows.map(({measure, bound, measured, met}) => `| ${measure} | ${bound} | ${measured} | ${met ? 'met' : '**missed**'} |`),
		'',
	];
}

/** Sums the bins of each second up to the last arrival. */
function perSecond(result: ExperimentResult, bins: readonly number[]): number[] {
	return Array.from({length: Math.floor(result.experiment.seconds)}, (_, second) =>
		total(bins.slice(second * result.binsPerSecond, (second + 1) * result.binsPerSecond)));
}

function panel(result: ExperimentResult, lines: ChartPanel['lines']): ChartPanel {
	const shaded = result.experiment.faults.map(fault => ({from: fault.at, to: fault.at + ('seconds' in fault ? fault.seconds : 0.5), label: fault.type}));
	return {
		title: result.experiment.name, lines, step: plotStepSeconds, shaded,
	};
}

function goodputPanel(result: ExperimentResult): ChartPanel {
	return panel(result, Object.entries(result.series).map(([label, counts]) => ({label, values: perSecond(result, counts.whole)})));
}

function worthPanel(result: ExperimentResult): ChartPanel {
	const kinds = Object.entries(result.series);
	const worth = (name: 'whole' | 'offered') => {
		const byKind = kinds.map(([kind, counts]) => perSecond(result, counts[name]).map(value => value * result.worths[kind]!));
		return byKind[0]!.map((_, second) => total(byKind.map(values => values[second]!)));
	};

	const {recovery, goodput} = result.measures;
	const level = recovery === undefined ? goodput.ideal : recovery.before;
	return panel(result, [
		{label: 'whole answers', values: worth('whole')},
		{label: recovery === undefined ? 'ideal' : 'before the trigger', values: worth('whole').map(() => level), dashed: true},
	]);
}

function workPanel(result: ExperimentResult): ChartPanel {
	const seconds = Math.floor(result.experiment.seconds);
	const services = Object.entries(result.work);
	return panel(result, [
		...services.map(([service, {all}]) => ({label: service, values: all.slice(0, seconds)})),
		...services.map(([service, {wasted}]) => ({label: `${service}, wasted`, values: wasted.slice(0, seconds), dashed: true})),
	]);
}
