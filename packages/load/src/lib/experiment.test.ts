/**
 * Tests the calculations behind the published results (arrivals, ideal goodput, measures) and the validation of experiment
 * files.
 */
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
	describe, expect, it,
} from 'vitest';
import {planArrivals} from './arrivals.js';
import {parseExperiment, type Experiment} from './experiment-file.js';
import {idealGoodput, offeredLoad} from './ideal.js';
import {computeMeasures} from './measures.js';
import {binsPerSecond, Recorder} from './recorder.js';

const directory = fileURLToPath(new URL('../../../../experiments/', import.meta.url));
const committed = readdirSync(directory).filter(name => name.endsWith('.json'));
const read = (name: string) => readFileSync(path.join(directory, name), 'utf8');

/** One service with 2 slots, 100 ms of work per request and kinds of worth 10 and 1: a capacity of 20 requests/s. */
function smallExperiment(changes: Partial<Experiment> = {}): Experiment {
	const kind = (name: string, worth: number) => ({
		name, worth, protected: false, irreversible: false, retries: 1, lifetimeMilliseconds: 1000,
	});
	const traffic = (name: string, rate: number) => ({
		service: 'only', kind: name, rate, retries: {mode: 'none', attempts: 1}, callerTimeoutMilliseconds: 1000,
	});
	return parseExperiment(JSON.stringify({
		name: 'small', description: 'small', warmUpSeconds: 0, seconds: 40, arrivals: 'constant', failureDomains: ['a'],
		services: {only: {instancesPerDomain: 1, slots: 2, kinds: {high: {workMilliseconds: 100}, low: {workMilliseconds: 100}}}},
		traffic: [traffic('high', 8), traffic('low', 4)],
		policy: {
			schemaVersion: 1, kinds: [kind('high', 10), kind('low', 1)], identityLifetimeMilliseconds: 60_000, coldStartRampMilliseconds: 0,
		},
		...changes,
	}));
}

describe('committed experiments', () => {
	it.each(committed)('%s is valid and takes at most 90 s', name => {
		const experiment = parseExperiment(read(name));
		expect(experiment.seconds + experiment.settleSeconds).toBeLessThanOrEqual(86);
	});

	it.each([
		['overload-2x.json', 2], ['overload-5x.json', 5], ['overload-10x.json', 10], ['recovery-on.json', 0.7],
	])('%s offers %d times the capacity', (name, load) => {
		const experiment = parseExperiment(read(name));
		const offered = Object.fromEntries(experiment.traffic.map(({kind, rate}) => [kind, rate]));
		expect(offeredLoad(experiment, offered)).toBeCloseTo(load, 1);
	});

	it('for recovery differ only in the controls, so that the comparison is fair', () => {
		const {name: _on, description: _onText, nodeSettings: on, ...first} = parseExperiment(read('recovery-on.json'));
		const {name: _off, description: _offText, nodeSettings: off, ...second} = parseExperiment(read('recovery-off.json'));
		expect(first).toEqual(second);
		expect([on, off]).toEqual([{controls: 'on'}, {controls: 'off'}]);
	});
});

describe('arrivals', () => {
	it.each([
		{arrivals: 'constant', tolerance: 2}, {arrivals: 'poisson', tolerance: 60},
	] as const)('with $arrivals distribution follow the rate and the surge', ({arrivals, tolerance}) => {
		const experiment = smallExperiment({
			arrivals, faults: [{
				type: 'surge', at: 10, seconds: 10, factor: 3,
			}],
		});
		const planned = planArrivals(experiment, 7).filter(arrival => arrival.traffic === 0);
		expect(Math.abs(planned.length - ((30 * 8) + (10 * 24)))).toBeLessThanOrEqual(tolerance);
		expect(planned).toEqual(planArrivals(experiment, 7).filter(arrival => arrival.traffic === 0));
	});
});

describe('ideal goodput', () => {
	it.each([
		{offered: {high: 8, low: 4}, weighted: 84, load: 0.6},
		{offered: {high: 8, low: 40}, weighted: 92, load: 2.4},
		{offered: {high: 50, low: 40}, weighted: 200, load: 4.5},
	])('of $offered is $weighted', ({offered, weighted, load}) => {
		expect(idealGoodput(smallExperiment(), offered).weighted).toBeCloseTo(weighted);
		expect(offeredLoad(smallExperiment(), offered)).toBeCloseTo(load);
	});
});

describe('measures', () => {
	/** Records a complete response for every arrival, except for `high` between second 10 and `backAt`. */
	function recordOutage(backAt: number) {
		const experiment = smallExperiment({
			faults: [{
				type: 'slow', at: 10, seconds: 5, service: 'only', factor: 9,
			}],
		});
		const recorder = new Recorder(['high', 'low'], 0, 44_000);
		for (const [index, {at, traffic}] of planArrivals(experiment, 1).entries()) {
			const {kind} = experiment.traffic[traffic]!;
			const lost = kind === 'high' && at >= 10_000 && at < backAt * 1000;
			recorder.recordOffered(kind, at);
			recorder.recordOutcome(kind, String(index), at, at, lost ? 'did-not-run' : 'whole', lost ? 'overloaded' : undefined);
		}

		const totals = recorder.totals();
		const run = (root: string, startedAt: number) => ({
			root, kind: 'high', startedAt, workMilliseconds: 100, whole: true, declaredNotRun: false,
		});
		const lost = [...recorder.finalOutcomes].find(([, outcome]) => outcome === 'did-not-run')![0];
		const whole = [...recorder.finalOutcomes].find(([, outcome]) => outcome === 'whole')![0];
		return computeMeasures({
			experiment, series: recorder.series(), finalOutcomes: recorder.finalOutcomes, rootKinds: new Map(),
			inWindow: Object.fromEntries(Object.entries(totals).map(([kind, total]) => [kind, total.inWindow])),
			runs: new Map([['only-a-1', [run(whole, 1000), run(whole, 2000), run(whole, 6000), run(lost, 9500)]]]),
			leavings: [{instance: 'only-a-1', at: 5000}],
		});
	}

	it.each([
		{backAt: 15, seconds: 0}, {backAt: 22, seconds: 7}, {backAt: 40, seconds: null},
	])('find the recovery when goodput is back at $backAt s', ({backAt, seconds}) => {
		const {recovery} = recordOutage(backAt);
		expect(recovery?.before).toBeCloseTo(84, 0);
		expect(recovery?.seconds === null || seconds === null ? recovery?.seconds : Math.abs(recovery!.seconds - seconds) <= 1 / binsPerSecond)
			.toBe(seconds === null ? null : true);
	});

	it('distinguish wasted from useful work and count new work at a leaving target', () => {
		const measures = recordOutage(15);
		expect(measures.work).toMatchObject({milliseconds: 400, wastedMilliseconds: 100, wastedFraction: 0.25});
		expect(measures.attempts).toMatchObject({runsPerRoot: 2, maximumRunsPerRoot: 3});
		expect(measures.leaving).toEqual([{instance: 'only-a-1', newWork: 2, lastNewWorkMilliseconds: 4500}]);
		expect(measures.topWorth).toMatchObject({kind: 'high'});
	});
});

describe('doubled irreversible runs', () => {
	it.each([
		{name: 'one run', runs: [false], doubled: 0},
		{name: 'two runs', runs: [false, false], doubled: 1},
		{name: 'a retry after a declared "did not run"', runs: [true, false], doubled: 0},
	])('of $name are counted as $doubled', ({runs, doubled}) => {
		const experiment = parseExperiment(read('overload-2x.json'));
		const recorder = new Recorder(experiment.traffic.map(({kind}) => kind), 0, 54_000);
		const run = (declaredNotRun: boolean) => ({
			root: 'r1', kind: 'withdrawal', startedAt: 0, workMilliseconds: 1, whole: !declaredNotRun, declaredNotRun,
		});
		const measures = computeMeasures({
			experiment, series: recorder.series(), finalOutcomes: new Map(), rootKinds: new Map([['r1', 'withdrawal']]), leavings: [],
			inWindow: Object.fromEntries(experiment.traffic.map(({kind}) => [kind, {offered: 0, whole: 0}])),
			runs: new Map([['racks-akl-a-1', runs.map(declared => run(declared))]]),
		});
		expect(measures.attempts.doubledIrreversible).toBe(doubled);
	});
});

describe('experiment files', () => {
	it.each([
		[{
			traffic: [{
				service: 'only', kind: 'other', rate: 1, retries: {mode: 'none'}, callerTimeoutMilliseconds: 1,
			}],
		}, 'kind other of service only'],
		[{faults: [{type: 'kill', at: 1, instance: 'only-a-9'}]}, 'unknown instance only-a-9'],
		[{
			faults: [{
				type: 'slow', at: 1, seconds: 1, service: 'none', factor: 2,
			}],
		}, 'unknown service none'],
		[{surprise: 1}, 'surprise'],
	])('with error %# are rejected', (changes, message) => {
		expect(() => smallExperiment(changes as unknown as Partial<Experiment>)).toThrow(message);
	});
});
