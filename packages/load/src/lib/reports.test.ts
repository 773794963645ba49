/**
 * Guards against reports that show a missed bound as met or an invalid run as valid.
 */
import {
	describe, expect, it,
} from 'vitest';
import {loadExperiment} from './experiment-file.js';
import {checkLatencyBounds} from './latency-report.js';
import type {PathLatency, PathName} from './latency-bench.js';
import type {Measures} from './measures.js';
import {compareRecovery, checkBounds, writeReport} from './report.js';
import {planArrivals} from './arrivals.js';
import {Recorder} from './recorder.js';
import type {ExperimentResult} from './run-experiment.js';

function resultOf(name: string, changes: Partial<Measures>): ExperimentResult {
	const experiment = loadExperiment(new URL(`../../../../experiments/${name}.json`, import.meta.url).pathname);
	const recorder = new Recorder(experiment.traffic.map(({kind}) => kind), 0, experiment.seconds * 1000);
	for (const {at, traffic} of planArrivals(experiment, 1)) {
		recorder.recordOffered(experiment.traffic[traffic]!.kind, at);
	}

	return {
		experiment, seed: 1, startedAt: '', binsPerSecond: 4, worths: Object.fromEntries(experiment.traffic.map(({kind}) => [kind, 1])),
		machine: {
			cpu: '', cores: 1, memoryGigabytes: 1, node: '', loadAverage: 0,
		},
		measures: {
			goodput: {
				offeredLoad: 10, weighted: 90, ideal: 100, idealByKind: {}, ofIdeal: 0.9,
			},
			topWorth: {
				kind: 'withdrawal', offered: 1000, whole: 999, served: 0.999, ownLoad: 0.3,
			},
			work: {
				milliseconds: 100, wastedMilliseconds: 3, wastedFraction: 0.03, wastedByKind: {},
			},
			attempts: {runsPerRoot: 3, maximumRunsPerRoot: 4, doubledIrreversible: 0},
			leaving: [], ...changes,
		},
		totals: recorder.totals(), series: recorder.series(), work: {}, counters: {},
		usage: {machinePeak: 0, processPeaks: {}, largestArrivalDelayMilliseconds: 0},
	};
}

const recovery = (seconds: number | null) => ({
	recovery: {
		before: 100, triggerEndsAt: 32, seconds, observedSeconds: 50,
	},
});

describe('report', () => {
	it.each([
		{changes: {}, missed: []},
		{
			changes: {
				goodput: {
					offeredLoad: 10.2, weighted: 89, ideal: 100, idealByKind: {}, ofIdeal: 0.89,
				},
			}, missed: ['goodput'],
		},
		{
			changes: {
				goodput: {
					offeredLoad: 2, weighted: 94, ideal: 100, idealByKind: {}, ofIdeal: 0.94,
				},
			}, missed: ['goodput'],
		},
		{
			changes: {
				topWorth: {
					kind: 'withdrawal', offered: 1000, whole: 998, served: 0.998, ownLoad: 0.3,
				},
			}, missed: ['withdrawal'],
		},
		{
			changes: {
				work: {
					milliseconds: 100, wastedMilliseconds: 4, wastedFraction: 0.04, wastedByKind: {},
				},
			}, missed: ['work'],
		},
		{changes: {attempts: {runsPerRoot: 3, maximumRunsPerRoot: 4, doubledIrreversible: 1}}, missed: ['root']},
		{changes: {leaving: [{instance: 'x', newWork: 1, lastNewWorkMilliseconds: 3001}]}, missed: ['new']},
		{changes: recovery(2.25), missed: ['recovery']},
		{changes: recovery(null), missed: ['recovery']},
		{changes: recovery(2), missed: []},
	] as Array<{changes: Partial<Measures>; missed: string[]}>)('shows $missed as missed with $changes', ({changes, missed}) => {
		const rows = checkBounds(resultOf('overload-10x', changes));
		expect(rows.filter(({met}) => !met).map(({measure}) => measure.split(' ')[0])).toEqual(missed);
	});

	it.each([
		{on: 2, off: 20, met: true}, {on: 2, off: 19, met: false}, {on: 2, off: null, met: true}, {on: null, off: null, met: false},
	])('compares recovery in $on s with $off s', ({on, off, met}) => {
		const results = [resultOf('recovery-on', recovery(on)), resultOf('recovery-off', recovery(off))];
		expect(compareRecovery(results)?.met).toBe(met);
		expect(writeReport(results, 'x').plots.goodput).toContain('shift-acceptance');
	});
});

describe('validity', () => {
	it.each([
		{delay: 10, busy: 0.5, valid: true}, {delay: 300, busy: 0.5, valid: false}, {delay: 10, busy: 1, valid: false},
	])('of a run with arrivals $delay ms late and $busy of the machine busy is $valid', ({delay, busy, valid}) => {
		const result = {...resultOf('overload-10x', {}), usage: {machinePeak: busy, processPeaks: {}, largestArrivalDelayMilliseconds: delay}};
		expect(writeReport([result], 'x').markdown.includes('not valid')).toBe(!valid);
	});
});

describe('latency bounds', () => {
	const path = (name: PathName, p99: number): PathLatency => ({
		path: name, calls: 1, failed: 0, median: p99 / 2, p90: p99, p99, cpuMicroseconds: p99,
	});

	it.each([
		{
			relay: 1.4, nodes: 1.45, added: true, ratio: true,
		},
		{
			relay: 1.3, nodes: 1.45, added: true, ratio: false,
		},
		{
			relay: 1.5, nodes: 1.55, added: false, ratio: true,
		},
		{
			relay: 0.9, nodes: 1.2, added: true, ratio: false,
		},
	])('are checked for nodes $nodes ms, relay $relay ms and direct 1 ms', ({relay, nodes, added, ratio}) => {
		const check = checkLatencyBounds([path('direct', 1), path('bare relay', relay), path('two nodes', nodes), path('one node', 1.1)]);
		expect([check.addedMet, check.ratioMet]).toEqual([added, ratio]);
	});
});
