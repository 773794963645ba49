/**
 * Formats a short plain-text summary of an experiment result and decides whether the run is valid.
 */
import type {RecoveryMeasure} from './measures.js';
import {outcomes} from './recorder.js';
import type {ExperimentResult} from './run-experiment.js';

/** @public */
export function percent(fraction: number, digits = 1): string {
	return `${(fraction * 100).toFixed(digits)}%`;
}

/** @public */
export function total(values: readonly number[]): number {
	return values.reduce((all, value) => all + value, 0);
}

/** Beyond either limit, the load tool or the machine was the bottleneck, not the nodes. */
const validityLimits = {arrivalDelayMilliseconds: 250, machineBusy: 0.95} as const;

/** Returns why a run is not valid, or undefined if it is. @public */
export function invalidReason({usage}: Pick<ExperimentResult, 'usage'>): string | undefined {
	const reasons = [
		...(usage.largestArrivalDelayMilliseconds > validityLimits.arrivalDelayMilliseconds ? [`arrivals were up to ${usage.largestArrivalDelayMilliseconds.toFixed(0)} ms late`] : []),
		...(usage.machinePeak > validityLimits.machineBusy ? [`all cores were up to ${percent(usage.machinePeak, 0)} busy`] : []),
	];
	return reasons.length === 0 ? undefined : `not valid, this run measured the machine: ${reasons.join(', ')}`;
}

/** @public */
export function recoveryText({seconds, observedSeconds}: RecoveryMeasure): string {
	return seconds === null ? `not within ${observedSeconds} s` : `${seconds} s`;
}

/** @public */
export function summarize(result: ExperimentResult): string {
	const {usage, series, totals} = result;
	const invalid = invalidReason(result);
	const {goodput, topWorth, work, attempts, recovery, leaving} = result.measures;
	const kinds = Object.entries(series).map(([kind, counts]) => {
		const {latency, requests, reasons} = totals[kind]!;
		return `  ${kind}: offered ${total(counts.offered)}, ${outcomes.map(outcome => `${outcome} ${total(counts[outcome])}`).join(', ')}; `
			+ `${requests} requests; median ${latency.median.toFixed(0)} ms, p99 ${latency.p99.toFixed(0)} ms; ${JSON.stringify(reasons)}`;
	});
	const busiest = Object.entries(usage.processPeaks).toSorted(([, first], [, second]) => second - first)[0];
	return [
		`${result.experiment.name} (seed ${result.seed})`,
		...kinds,
		`  goodput ${goodput.weighted.toFixed(0)} of ideal ${goodput.ideal.toFixed(0)} (${percent(goodput.ofIdeal)}) at ${goodput.offeredLoad.toFixed(2)} times capacity`,
		`  top worth (${topWorth.kind}) served ${percent(topWorth.served, 2)}, own load ${topWorth.ownLoad.toFixed(2)}`,
		`  wasted work ${percent(work.wastedFraction, 2)}; runs per root ${attempts.runsPerRoot.toFixed(2)}, at most ${attempts.maximumRunsPerRoot}`,
		`  root requests with a doubled irreversible run: ${attempts.doubledIrreversible}`,
		...(recovery === undefined ? [] : [`  recovery ${recoveryText(recovery)} (level before ${recovery.before.toFixed(0)})`]),
		...leaving.map(({instance, lastNewWorkMilliseconds, newWork}) => `  ${instance} left: ${newWork} new requests, the last after ${lastNewWorkMilliseconds} ms`),
		`  busiest process: ${busiest?.[0] ?? 'none'} ${percent(busiest?.[1] ?? 0, 0)} of a core; machine peak ${percent(usage.machinePeak, 0)}`,
		`  arrivals at most ${usage.largestArrivalDelayMilliseconds.toFixed(0)} ms late`,
		...(invalid === undefined ? [] : [`  ${invalid}`]),
	].join('\n');
}
