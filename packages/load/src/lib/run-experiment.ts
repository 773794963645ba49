/**
 * Runs one experiment: starts its fleet, sends the planned operations, injects the faults and collects the measures.
 */
import {setMaxListeners} from 'node:events';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {planArrivals, randomNumbers, type Arrival} from './arrivals.js';
import {Caller} from './caller.js';
import {
	instanceNames, worthOf, type Experiment, type Traffic,
} from './experiment-file.js';
import {FaultSchedule} from './faults.js';
import {LoadFleet} from './load-fleet.js';
import type {LoadTargetRun} from './load-target.js';
import {computeMeasures, type Measures} from './measures.js';
import {machineDescription, UsageSampler} from './process-usage.js';
import {
	Recorder, binsPerSecond, type KindSeries, type KindTotals,
} from './recorder.js';

/** @public */
export type ExperimentResult = {
	experiment: Experiment;
	seed: number;
	startedAt: string;
	machine: ReturnType<typeof machineDescription>;
	binsPerSecond: number;
	worths: Record<string, number>;
	measures: Measures;
	totals: Record<string, KindTotals>;
	/** Peak CPU over one-second samples: `processPeaks` as shares of one core, `machinePeak` as the busy share of all cores including other programs. */
	usage: {machinePeak: number; processPeaks: Record<string, number>; largestArrivalDelayMilliseconds: number};
	series: Record<string, KindSeries>;
	/** Slot-milliseconds of work per second by service, in total and wasted. */
	work: Record<string, {all: number[]; wasted: number[]}>;
	counters: Record<string, unknown>;
};

/** @public */
export type RunOptions = {
	seed: number;
	/** Directory for CPU profiles of the nodes. */
	profileDirectory?: string;
	/** Called with each progress line. */
	report(line: string): void;
};

const progressIntervalMilliseconds = 5000;
/** Arrivals due within one interval are sent together; their latencies still count from the planned arrival. */
const sendIntervalMilliseconds = 1;
/** With its one-letter prefix, a root identifier has the 13 bytes of the small body in the design. */
const rootDigits = 12;

/** @public */
export async function runExperiment(experiment: Experiment, options: RunOptions): Promise<ExperimentResult> {
	const fleet = createFleet(experiment, options.profileDirectory);
	try {
		await fleet.start();
		options.report(`${experiment.name}: ${fleet.instances.size} instances are ready`);
		return await runOnFleet(experiment, options, fleet);
	} finally {
		await fleet.stop();
	}
}

/** Runs an experiment on a fleet that is already started. @public */
export async function runOnFleet(experiment: Experiment, options: RunOptions, fleet: LoadFleet): Promise<ExperimentResult> {
	return new ExperimentRun(experiment, options, fleet).run();
}

/** Creates, but does not start, the fleet of an experiment. @public */
export function createFleet(experiment: Experiment, profileDirectory?: string): LoadFleet {
	return new LoadFleet({
		policy: experiment.policy, nodeSettings: experiment.nodeSettings, profileDirectory,
		instances: instanceNames(experiment).map(instance => {
			const {slots, kinds} = experiment.services[instance.service]!;
			return {...instance, slots, kinds};
		}),
	});
}

class ExperimentRun {
	private readonly endController = new AbortController();
	private readonly recorder: Recorder;
	private readonly caller: Caller;
	private readonly faultSchedule: FaultSchedule;
	private readonly rootKinds = new Map<string, string>();
	private readonly pendingOperations = new Set<Promise<void>>();
	private largestArrivalDelay = 0;
	private startedAt = 0;

	constructor(private readonly experiment: Experiment, private readonly options: RunOptions, private readonly fleet: LoadFleet) {
		this.recorder = new Recorder(experiment.traffic.map(traffic => traffic.kind), experiment.warmUpSeconds * 1000, (experiment.seconds + experiment.settleSeconds) * 1000);
		// Each caller that waits before a retry listens for the end of the run, which exceeds the default listener limit.
		setMaxListeners(0, this.endController.signal);
		// Arrivals and entry nodes use separate random streams, so that responses do not influence arrivals.
		const random = randomNumbers(options.seed + 1);
		const instances = [...fleet.instances.values()];
		this.caller = new Caller({
			random, signal: this.endController.signal,
			chooseEntryUrl() {
				const entries = instances.filter(instance => !instance.unavailable);
				return entries[Math.floor(random() * entries.length)]!.callerUrl;
			},
			onRequest: kind => {
				this.recorder.recordRequest(kind);
			},
		});
		this.faultSchedule = new FaultSchedule(fleet, this.endController.signal, options.report);
	}

	async run(): Promise<ExperimentResult> {
		const {experiment, options} = this;
		const startedAt = new Date();
		const machine = machineDescription();
		const arrivals = planArrivals(experiment, options.seed);
		const sampler = new UsageSampler(() => this.processes());
		this.startedAt = performance.now();
		const progress = setInterval(() => {
			const at = performance.now() - this.startedAt;
			options.report(`${Math.round(at / 1000)}/${experiment.seconds} s, ${this.pendingOperations.size} pending; complete/offered in the last second: ${this.recorder.progressText(at)}`);
		}, progressIntervalMilliseconds);
		const faults = this.faultSchedule.run(experiment.faults);
		await this.send(arrivals);
		await Promise.race([Promise.all(this.pendingOperations), delay(experiment.settleSeconds * 1000)]);
		const pendingCount = this.pendingOperations.size;
		this.endController.abort();
		clearInterval(progress);
		sampler.stop();
		if (pendingCount > 0) {
			options.report(`${pendingCount} operations were still pending ${experiment.settleSeconds} s after the last arrival; their outcome counts as unknown`);
		}

		await faults;
		const counters = Object.fromEntries(await Promise.all([...this.fleet.instances.keys()].map(async name => {
			const state = await this.fleet.state(name);
			return [name, state?.counters] as const;
		})));
		const runs = new Map(await Promise.all([...this.fleet.instances.values()].map(async instance =>
			[instance.name, await instance.target.runs()] as const)));
		this.caller.close();
		const totals = this.recorder.totals();
		const records = {
			experiment, series: this.recorder.series(), finalOutcomes: this.recorder.finalOutcomes, rootKinds: this.rootKinds, runs,
			leavings: this.faultSchedule.leavings, inWindow: Object.fromEntries(Object.entries(totals).map(([kind, total]) => [kind, total.inWindow])),
		};
		return {
			experiment, seed: options.seed, startedAt: startedAt.toISOString(), machine, binsPerSecond,
			worths: Object.fromEntries(experiment.traffic.map(({kind}) => [kind, worthOf(experiment, kind)])),
			measures: computeMeasures(records), totals,
			usage: {machinePeak: sampler.machinePeak, processPeaks: sampler.peaks, largestArrivalDelayMilliseconds: this.largestArrivalDelay},
			series: records.series, work: this.workSeries(runs, startedAt.getTime()), counters,
		};
	}

	/** Starts every operation at its planned time, whether or not earlier ones have ended (open loop). */
	private async send(arrivals: readonly Arrival[]): Promise<void> {
		let next = 0;
		while (next < arrivals.length) {
			const now = performance.now() - this.startedAt;
			for (; next < arrivals.length && arrivals[next]!.at <= now; next += 1) {
				this.largestArrivalDelay = Math.max(this.largestArrivalDelay, now - arrivals[next]!.at);
				this.startOperation(arrivals[next]!, next);
			}

			await delay(sendIntervalMilliseconds);
		}
	}

	private startOperation(arrival: Arrival, index: number): void {
		const traffic = this.experiment.traffic[arrival.traffic]!;
		const root = `r${String(index).padStart(rootDigits, '0')}`;
		this.rootKinds.set(root, traffic.kind);
		this.recorder.recordOffered(traffic.kind, arrival.at);
		const running = this.runOperation(traffic, root, arrival.at);
		this.pendingOperations.add(running);
		void (async () => {
			await running;
			this.pendingOperations.delete(running);
		})();
	}

	private async runOperation(traffic: Traffic, root: string, plannedAt: number): Promise<void> {
		const {outcome, reason} = await this.caller.run(traffic, root);
		this.recorder.recordOutcome(traffic.kind, root, plannedAt, performance.now() - this.startedAt, outcome, reason);
	}

	private * processes(): Iterable<[string, number]> {
		yield ['load tool', process.pid];
		for (const instance of this.fleet.instances.values()) {
			yield [`node ${instance.name}`, instance.node.pid ?? 0];
			yield [`target ${instance.name}`, instance.target.process.pid ?? 0];
		}
	}

	private workSeries(runs: ReadonlyMap<string, readonly LoadTargetRun[]>, startedAt: number): ExperimentResult['work'] {
		const seconds = Math.ceil(this.experiment.seconds + this.experiment.settleSeconds);
		const zeros = () => Array.from({length: seconds}, () => 0);
		const work = Object.fromEntries(Object.keys(this.experiment.services).map(service => [service, {all: zeros(), wasted: zeros()}]));
		for (const [name, instanceRuns] of runs) {
			const series = work[this.fleet.instance(name).service]!;
			for (const run of instanceRuns) {
				const second = Math.min(seconds - 1, Math.max(0, Math.floor((run.startedAt - startedAt) / 1000)));
				series.all[second]! += run.workMilliseconds;
				series.wasted[second]! += this.recorder.finalOutcomes.get(run.root) === 'whole' ? 0 : run.workMilliseconds;
			}
		}

		return work;
	}
}
