/**
 * Benchmarks the CPU, memory and transferred bytes of node processes for several numbers of nodes, services and call
 * rates. One target process serves all nodes, so that the measured processes are the nodes alone.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {planArrivals, randomNumbers} from './arrivals.js';
import {Caller} from './caller.js';
import {parseExperiment, type Traffic} from './experiment-file.js';
import {LoadFleet} from './load-fleet.js';
import {machineDescription, processUsage, type ProcessUsage} from './process-usage.js';

/** One combination of parameters to measure. @public */
export type ControlCase = {nodes: number; services: number; callsPerNode: number};

/** Means over all nodes. @public */
export type ControlCost = ControlCase & {
	/** Share of one core. */
	cpu: number;
	residentBytes: number;
	bytesPerSecond: number;
	/** Calls with a complete response. */
	whole: number;
	sent: number;
};

/** @public */
export type ControlResult = {startedAt: string; machine: ReturnType<typeof machineDescription>; seconds: number; costs: ControlCost[]};

/** @public */
export type ControlOptions = {
	/** Node counts in ascending order; a case with a single node is always added as the baseline. */
	nodes: readonly number[];
	seconds: number;
	report(line: string): void;
};

/** Time before the measurement for connections to open and records to propagate. */
const settleMilliseconds = 5000;
const domains = ['a', 'b'] as const;
const defaultServiceCount = 3;
/** Each service has an instance in both domains, so there can be at most half as many services as nodes. */
const increasedServiceCount = 12;
const callRates = [5, 20] as const;
const callerTimeoutMilliseconds = 2000;

/** Returns the cases: idle at each node count, more services at the middle one, call rates at the smallest and the middle one. @public */
export function controlCases(nodes: readonly number[]): ControlCase[] {
	const middle = nodes[Math.floor(nodes.length / 2)]!;
	return [
		{nodes: 1, services: 1, callsPerNode: 0},
		...nodes.map(count => ({nodes: count, services: defaultServiceCount, callsPerNode: 0})),
		{nodes: middle, services: increasedServiceCount, callsPerNode: 0},
		...callRates.flatMap(callsPerNode => [...new Set([nodes[0]!, middle])].map(count => ({nodes: count, services: defaultServiceCount, callsPerNode}))),
	];
}

/** @public */
export async function measureControl(options: ControlOptions): Promise<ControlResult> {
	const startedAt = new Date().toISOString();
	const machine = machineDescription();
	const costs: ControlCost[] = [];
	for (const controlCase of controlCases(options.nodes)) {
		options.report(`${controlCase.nodes} nodes, ${controlCase.services} services, ${controlCase.callsPerNode} calls/s at each node`);
		costs.push(await measureCase(controlCase, options.seconds));
	}

	return {
		startedAt, machine, seconds: options.seconds, costs,
	};
}

async function measureCase(controlCase: ControlCase, seconds: number): Promise<ControlCost> {
	const policy = {
		schemaVersion: 1, identityLifetimeMilliseconds: 60_000, coldStartRampMilliseconds: 0,
		kinds: [{
			name: 'ping', worth: 1, protected: false, irreversible: false, retries: 0, lifetimeMilliseconds: callerTimeoutMilliseconds,
		}],
	};
	const fleet = new LoadFleet({
		policy, sharedTarget: true,
		instances: Array.from({length: controlCase.nodes}, (_, index) => ({
			name: `instance-${index}`, service: `service-${index % controlCase.services}`, failureDomain: domains[Math.floor(index / controlCase.services) % domains.length]!,
			slots: 100, kinds: {ping: {workMilliseconds: 0, legs: []}},
		})),
	});
	try {
		await fleet.start();
		const calls = new ControlCalls(controlCase, policy, fleet, (settleMilliseconds / 1000) + seconds);
		const running = calls.run();
		await delay(settleMilliseconds);
		const before = usageOf(fleet);
		await delay(seconds * 1000);
		const after = usageOf(fleet);
		await running;
		const mean = (value: (usage: ProcessUsage) => number, usages: ProcessUsage[]) => {
			let sum = 0;
			for (const usage of usages) {
				sum += value(usage);
			}

			return sum / usages.length;
		};

		const changePerSecond = (value: (usage: ProcessUsage) => number) => (mean(value, after) - mean(value, before)) / seconds;
		return {
			...controlCase, whole: calls.whole, sent: calls.sent, residentBytes: mean(usage => usage.residentBytes, after),
			cpu: changePerSecond(usage => usage.cpuMilliseconds) / 1000, bytesPerSecond: changePerSecond(usage => usage.transferredBytes),
		};
	} finally {
		await fleet.stop();
	}
}

function usageOf(fleet: LoadFleet): ProcessUsage[] {
	return [...fleet.instances.values()].map(instance => {
		const usage = processUsage(instance.node.pid!);
		if (usage === undefined) {
			throw new Error(`node of instance ${instance.name} exited during the measurement`);
		}

		return usage;
	});
}

/** Calls all services through all nodes with open-loop arrivals. */
class ControlCalls {
	whole = 0;
	sent = 0;
	private readonly entryUrls: string[];

	constructor(private readonly controlCase: ControlCase, private readonly policy: Record<string, unknown>, fleet: LoadFleet, private readonly seconds: number) {
		this.entryUrls = [...fleet.instances.values()].map(instance => instance.callerUrl);
	}

	async run(): Promise<void> {
		if (this.controlCase.callsPerNode === 0) {
			return;
		}

		const random = randomNumbers(1);
		const endController = new AbortController();
		const caller = new Caller({
			random, signal: endController.signal, chooseEntryUrl: () => this.entryUrls[Math.floor(random() * this.entryUrls.length)]!, onRequest: () => {
				this.sent += 1;
			},
		});
		const traffic = this.traffic();
		const startedAt = performance.now();
		const pendingCalls: Array<Promise<void>> = [];
		for (const {at, traffic: index} of planArrivals(this.experiment(traffic), 1)) {
			await delay(Math.max(0, at - (performance.now() - startedAt)));
			pendingCalls.push(this.call(caller, traffic[index]!));
		}

		await Promise.all(pendingCalls);
		caller.close();
	}

	private async call(caller: Caller, traffic: Traffic): Promise<void> {
		const {outcome} = await caller.run(traffic, 'thirteen byte');
		this.whole += outcome === 'whole' ? 1 : 0;
	}

	private traffic(): Traffic[] {
		return Array.from({length: this.controlCase.services}, (_, index) => ({
			service: `service-${index}`, kind: 'ping', rate: this.controlCase.callsPerNode * this.controlCase.nodes / this.controlCase.services,
			retries: {mode: 'none', attempts: 1}, callerTimeoutMilliseconds,
		}));
	}

	private experiment(traffic: Traffic[]) {
		const service = {instancesPerDomain: 1, slots: 1, kinds: {ping: {workMilliseconds: 0}}};
		return parseExperiment(JSON.stringify({
			name: 'control', description: 'Calls of the control-cost bench', seconds: this.seconds, failureDomains: [...domains], traffic, policy: this.policy,
			services: Object.fromEntries(traffic.map(entry => [entry.service, service])),
		}));
	}
}
