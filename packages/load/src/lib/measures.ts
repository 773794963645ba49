/**
 * Computes the measures of section 1.2 of the design page from the records of one run.
 */
import {
	irreversibleKinds, worthOf, type Experiment,
} from './experiment-file.js';
import type {Leaving} from './faults.js';
import {idealGoodput, offeredLoad} from './ideal.js';
import type {LoadTargetRun} from './load-target.js';
import {binsPerSecond, type KindSeries, type Outcome} from './recorder.js';

/** Fraction of the goodput before the trigger at which the system counts as recovered. */
const recoveryThreshold = 0.95;
/** The mean goodput must reach the threshold over both spans, so that a single high bin does not count as recovery. */
const recoverySpansSeconds = [1, 5] as const;

/** @public */
export type GoodputMeasure = {
	/** Offered slot time as a multiple of capacity. */
	offeredLoad: number;
	/** Worth of complete responses per second in the measured window. */
	weighted: number;
	ideal: number;
	idealByKind: Record<string, number>;
	ofIdeal: number;
};

/** @public */
export type TopWorthMeasure = {kind: string; offered: number; whole: number; served: number; ownLoad: number};

/** @public */
export type WorkMeasure = {
	/** Work time of targets in slot-milliseconds, excluding waits for downstream calls. */
	milliseconds: number;
	wastedMilliseconds: number;
	wastedFraction: number;
	wastedByKind: Record<string, number>;
};

/** @public */
export type AttemptMeasure = {
	/** Mean number of runs at targets, over root requests that reached a target. */
	runsPerRoot: number;
	maximumRunsPerRoot: number;
	/** Root requests of irreversible kinds of which an irreversible request or downstream call ran more than once. */
	doubledIrreversible: number;
};

/** @public */
export type RecoveryMeasure = {
	/** Weighted goodput per second before the trigger. */
	before: number;
	triggerEndsAt: number;
	/** Seconds since the end of the trigger; null if goodput did not recover within the run. */
	seconds: number | null;
	observedSeconds: number;
};

/** @public */
export type LeavingMeasure = {instance: string; lastNewWorkMilliseconds: number; newWork: number};

/** @public */
export type Measures = {
	goodput: GoodputMeasure;
	topWorth: TopWorthMeasure;
	work: WorkMeasure;
	attempts: AttemptMeasure;
	recovery?: RecoveryMeasure;
	leaving: LeavingMeasure[];
};

/** @public */
export type RunRecords = {
	experiment: Experiment;
	series: Record<string, KindSeries>;
	inWindow: Record<string, {offered: number; whole: number}>;
	finalOutcomes: ReadonlyMap<string, Outcome>;
	rootKinds: ReadonlyMap<string, string>;
	runs: ReadonlyMap<string, readonly LoadTargetRun[]>;
	leavings: readonly Leaving[];
};

/** @public */
export function computeMeasures(records: RunRecords): Measures {
	const recovery = measureRecovery(records);
	return {
		goodput: measureGoodput(records), topWorth: measureTopWorth(records), work: measureWork(records), attempts: measureAttempts(records),
		...(recovery === undefined ? {} : {recovery}), leaving: measureLeaving(records),
	};
}

function sum(values: Iterable<number>): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}

function largest(values: Iterable<number>): number {
	let result = 0;
	for (const value of values) {
		result = Math.max(result, value);
	}

	return result;
}

/** Compares goodput from the end of the warm-up to the last arrival with the ideal for the load offered in that window. */
function measureGoodput({experiment, series}: RunRecords): GoodputMeasure {
	const from = Math.round(experiment.warmUpSeconds * binsPerSecond);
	const to = Math.round(experiment.seconds * binsPerSecond);
	const seconds = (to - from) / binsPerSecond;
	const rate = (values: readonly number[]) => sum(values.slice(from, to)) / seconds;
	const offered = Object.fromEntries(experiment.traffic.map(({kind}) => [kind, rate(series[kind]!.offered)]));
	const ideal = idealGoodput(experiment, offered);
	const weighted = sum(experiment.traffic.map(({kind}) => worthOf(experiment, kind) * rate(series[kind]!.whole)));
	return {
		offeredLoad: offeredLoad(experiment, offered), weighted, ideal: ideal.weighted, idealByKind: ideal.byKind, ofIdeal: weighted / ideal.weighted,
	};
}

function measureTopWorth({experiment, inWindow}: RunRecords): TopWorthMeasure {
	const top = experiment.traffic.toSorted((first, second) => worthOf(experiment, second.kind) - worthOf(experiment, first.kind))[0]!;
	const {offered, whole} = inWindow[top.kind]!;
	return {
		kind: top.kind, offered, whole, served: offered === 0 ? 1 : whole / offered,
		ownLoad: offeredLoad(experiment, {[top.kind]: offered / (experiment.seconds - experiment.warmUpSeconds)}),
	};
}

/** Work is wasted if the caller of its root request did not get a complete response. */
function measureWork({runs, finalOutcomes}: RunRecords): WorkMeasure {
	let milliseconds = 0;
	let wastedMilliseconds = 0;
	const wastedByKind: Record<string, number> = {};
	for (const run of [...runs.values()].flat()) {
		milliseconds += run.workMilliseconds;
		if (finalOutcomes.get(run.root) !== 'whole') {
			wastedMilliseconds += run.workMilliseconds;
			wastedByKind[run.kind] = (wastedByKind[run.kind] ?? 0) + run.workMilliseconds;
		}
	}

	return {
		milliseconds, wastedMilliseconds, wastedFraction: milliseconds === 0 ? 0 : wastedMilliseconds / milliseconds, wastedByKind,
	};
}

function measureAttempts({experiment, runs, rootKinds}: RunRecords): AttemptMeasure {
	const irreversible = irreversibleKinds(experiment);
	const runsByRoot = new Map<string, number>();
	const runsByRootAndKind = new Map<string, number>();
	const duplicatedRoots = new Set<string>();
	for (const run of [...runs.values()].flat()) {
		runsByRoot.set(run.root, (runsByRoot.get(run.root) ?? 0) + 1);
		if (run.declaredNotRun) {
			continue;
		}

		const rootAndKind = `${run.root} ${run.kind}`;
		const count = (runsByRootAndKind.get(rootAndKind) ?? 0) + 1;
		runsByRootAndKind.set(rootAndKind, count);
		if (count > 1 && irreversible.has(run.kind) && irreversible.has(rootKinds.get(run.root) ?? '')) {
			duplicatedRoots.add(run.root);
		}
	}

	return {
		runsPerRoot: runsByRoot.size === 0 ? 0 : sum(runsByRoot.values()) / runsByRoot.size,
		maximumRunsPerRoot: largest(runsByRoot.values()),
		doubledIrreversible: duplicatedRoots.size,
	};
}

/** Measures the time from the end of the last slow or surge fault until weighted goodput has recovered. */
function measureRecovery({experiment, series}: RunRecords): RecoveryMeasure | undefined {
	const triggers = experiment.faults.filter(fault => fault.type === 'slow' || fault.type === 'surge');
	if (triggers.length === 0) {
		return undefined;
	}

	const triggerStartsAt = Math.min(...triggers.map(fault => fault.at));
	const triggerEndsAt = Math.max(...triggers.map(fault => fault.at + fault.seconds));
	const endBin = Math.round(experiment.seconds * binsPerSecond);
	const weighted = Array.from({length: endBin}, (_, bin) =>
		binsPerSecond * sum(experiment.traffic.map(({kind}) => worthOf(experiment, kind) * series[kind]!.whole[bin]!)));
	const mean = (from: number, to: number) => sum(weighted.slice(from, to)) / Math.max(1, Math.min(to, endBin) - from);
	const before = mean(Math.round(experiment.warmUpSeconds * binsPerSecond), Math.round(triggerStartsAt * binsPerSecond));
	const triggerEndBin = Math.round(triggerEndsAt * binsPerSecond);
	let seconds: number | null = null;
	for (let bin = triggerEndBin; bin + (Math.max(...recoverySpansSeconds) * binsPerSecond) <= endBin; bin += 1) {
		if (recoverySpansSeconds.every(span => mean(bin, bin + (span * binsPerSecond)) >= recoveryThreshold * before)) {
			seconds = (bin - triggerEndBin) / binsPerSecond;
			break;
		}
	}

	return {
		before, triggerEndsAt, seconds, observedSeconds: experiment.seconds - triggerEndsAt,
	};
}

function measureLeaving({runs, leavings}: RunRecords): LeavingMeasure[] {
	return leavings.map(({instance, at}) => {
		const laterRuns = (runs.get(instance) ?? []).filter(run => run.startedAt > at);
		return {instance, newWork: laterRuns.length, lastNewWorkMilliseconds: largest(laterRuns.map(run => run.startedAt - at))};
	});
}

/** Number of runs at targets that a request of a kind needs without failures. @public */
export function runsWithoutFailure(experiment: Experiment, service: string, kind: string): number {
	return 1 + sum(experiment.services[service]!.kinds[kind]!.legs.map(downstreamCall => runsWithoutFailure(experiment, downstreamCall.service, downstreamCall.kind)));
}

