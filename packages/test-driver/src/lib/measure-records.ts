/**
 * Measures how records propagate from one platform to many members, which run in a few processes on 127.0.0.0/8.
 */
import {fork, type ChildProcess} from 'node:child_process';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import type {FleetInstance} from '@hemlockthread/membership';
import {PlatformStandIn} from '@hemlockthread/stand-ins';
import {build} from 'hdr-histogram-js';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {WorkerCommand, WorkerReport, WorkerSample} from '../bin/measure-records-worker.js';

/** @public */
export type RecordMeasurePlan = {
	nodes: number;
	processes: number;
	domains: number;
	recordBytes: number;
	changes: number;
	/** Time between changes; 28,800 ms is the rate of 3,000 a day. */
	intervalMilliseconds: number;
	/** Duration of the measurement without changes, which comes first. */
	idleMilliseconds: number;
	seed: number;
	/** `patch` changes one field per record; `whole` also changes the formatting, so that members must send whole records. */
	spread: 'patch' | 'whole';
};

/** Result of a measurement; rates are per node and second. @public */
export type RecordMeasure = {
	inForceMilliseconds: {p50: number; p99: number; p999: number; maximum: number};
	reached: number;
	expected: number;
	controlConnections: number;
	idle: {bytes: number; messages: number; cpuPercent: number; platformReadsPerSecond: number};
	changing: {bytes: number; messages: number; cpuPercent: number; platformReadsPerSecond: number};
	/** Cost of one change above the idle rates. */
	perChange: {bytes: number; cpuMilliseconds: number};
	heapBytesPerNode: number;
	residentBytesPerProcess: number;
	servedWhole: number;
	servedPatch: number;
};

const workerPath = fileURLToPath(new URL('../bin/measure-records-worker.js', import.meta.url));
const platformAddress = {host: '127.200.0.1', port: 17_000};
const peerPort = 17_100;
const readyTimeoutMilliseconds = 60_000;
/** Time for the last change to take effect at all members. */
const settleMilliseconds = 10_000;
const nodesPerHostByte = 250;

type Totals = WorkerSample & {at: number; reads: number};

/** @public */
export async function measureRecords(plan: RecordMeasurePlan): Promise<RecordMeasure> {
	const platform = new PlatformStandIn();
	await platform.listen(platformAddress.host, platformAddress.port);
	const workers = Array.from({length: plan.processes}, () => fork(workerPath, {execArgv: ['--expose-gc']}));
	try {
		return await runPlan(plan, platform, workers);
	} finally {
		for (const worker of workers) {
			worker.kill('SIGKILL');
		}

		await platform.close();
	}
}

async function runPlan(plan: RecordMeasurePlan, platform: PlatformStandIn, workers: ChildProcess[]): Promise<RecordMeasure> {
	const instances = instancesOf(plan);
	const random = xoroshiro128plus(plan.seed);
	const publishedAt = new Map<number, number>();
	const latencies = build({highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3});
	for (const worker of workers) {
		worker.on('message', (message: WorkerReport) => {
			const from = message.type === 'in-force' && message.key === 'policy' ? publishedAt.get(message.revision) : undefined;
			if (message.type === 'in-force' && from !== undefined) {
				latencies.recordValue(Math.max(1, message.at - from));
			}
		});
	}

	platform.publish('fleet', JSON.stringify({schemaVersion: 1, instances}));
	platform.publish('policy', policyOf(plan, 0, 0));
	const platformUrl = `http://${platformAddress.host}:${platformAddress.port}`;
	for (const [index, worker] of workers.entries()) {
		const plans = instances.filter((_, position) => position % workers.length === index).map(instance => ({instance, platformUrl}));
		worker.send({type: 'start', plans} satisfies WorkerCommand);
	}

	await waitUntilReady(plan, workers, platform);
	const first = await sample(workers, platform);
	await delay(plan.idleMilliseconds);
	const second = await sample(workers, platform);
	for (let change = 1; change <= plan.changes; change += 1) {
		const value = policyOf(plan, change, uniformInt(random, 1, 1_000_000));
		const at = Number(process.hrtime.bigint() / 1000n);
		publishedAt.set(platform.publish('policy', value), at);
		await delay(plan.intervalMilliseconds);
	}

	const expected = plan.nodes * plan.changes;
	const endAt = Date.now() + settleMilliseconds;
	while (latencies.totalCount < expected && Date.now() < endAt) {
		await delay(100);
	}

	const third = await sample(workers, platform);
	return summarise(plan, latencies, [first, second, third], expected);
}

function summarise(plan: RecordMeasurePlan, latencies: ReturnType<typeof build>, [first, second, third]: [Totals, Totals, Totals], expected: number): RecordMeasure {
	const idle = rates(first, second);
	const changing = rates(second, third);
	const seconds = (third.at - second.at) / 1000;
	return {
		inForceMilliseconds: {
			p50: latencies.getValueAtPercentile(50) / 1000, p99: latencies.getValueAtPercentile(99) / 1000,
			p999: latencies.getValueAtPercentile(99.9) / 1000, maximum: latencies.maxValue / 1000,
		},
		reached: latencies.totalCount, expected, controlConnections: third.controlConnections / third.members, idle, changing,
		perChange: {
			bytes: (changing.bytes - idle.bytes) * seconds / plan.changes,
			cpuMilliseconds: (changing.cpuPercent - idle.cpuPercent) * 10 * seconds / plan.changes,
		},
		heapBytesPerNode: third.heapBytes / third.members, residentBytesPerProcess: third.residentBytes / plan.processes,
		servedWhole: third.servedWhole, servedPatch: third.servedPatch,
	};
}

function rates(from: Totals, to: Totals): RecordMeasure['idle'] {
	const seconds = (to.at - from.at) / 1000;
	const perNode = (total: number) => total / to.members / seconds;
	return {
		bytes: perNode(to.sentBytes - from.sentBytes), messages: perNode(to.sentFrames - from.sentFrames),
		cpuPercent: perNode(to.cpuMicroseconds - from.cpuMicroseconds) / 10_000, platformReadsPerSecond: (to.reads - from.reads) / seconds,
	};
}

async function sample(workers: ChildProcess[], platform: PlatformStandIn): Promise<Totals> {
	const samples = await Promise.all(workers.map(async worker => new Promise<WorkerSample>(resolve => {
		const listen = (message: WorkerReport) => {
			if (message.type === 'sample') {
				worker.off('message', listen);
				resolve(message.sample);
			}
		};

		worker.on('message', listen);
		worker.send({type: 'sample'} satisfies WorkerCommand);
	})));
	const totals = {...samples[0]!, at: performance.now(), reads: platform.reads};
	for (const other of samples.slice(1)) {
		for (const [field, value] of Object.entries(other) as Array<[keyof WorkerSample, number]>) {
			totals[field] += value;
		}
	}

	return totals;
}

async function waitUntilReady(plan: RecordMeasurePlan, workers: ChildProcess[], platform: PlatformStandIn): Promise<void> {
	const endAt = Date.now() + readyTimeoutMilliseconds;
	const settleAfterReadyMilliseconds = 3000;
	while (Date.now() < endAt) {
		const {ready} = await sample(workers, platform);
		if (ready === plan.nodes) {
			await delay(settleAfterReadyMilliseconds);
			return;
		}

		await delay(500);
	}

	throw new Error(`members are not ready after ${readyTimeoutMilliseconds} ms`);
}

function instancesOf(plan: RecordMeasurePlan): FleetInstance[] {
	return Array.from({length: plan.nodes}, (_, index) => {
		const host = `127.1.${Math.floor(index / nodesPerHostByte)}.${(index % nodesPerHostByte) + 1}`;
		return {
			name: `seed-${plan.seed}-node-${index}`, service: `service-${index % 94}`, failureDomain: `domain-${index % plan.domains}`, region: 'test',
			peerAddress: `${host}:${peerPort}`, callerAddress: `${host}:${peerPort + 1}`, operatorAddress: `${host}:${peerPort + 2}`, slots: 110, state: 'live',
		};
	});
}

/** Returns a policy of about `recordBytes` bytes; for `whole`, the indentation alternates between changes. */
function policyOf(plan: RecordMeasurePlan, change: number, random: number): string {
	const kinds = Array.from({length: Math.ceil(plan.recordBytes / 160)}, (_, index) => ({
		name: `kind-${index}`, worth: index === 7 ? random : index + 1, protected: false, irreversible: false, retries: 3,
		lifetimeMilliseconds: 2000, note: 'a kind of request of the measurement'.padEnd(20),
	}));
	const indent = plan.spread === 'whole' ? ' '.repeat(change % 2) : '';
	return JSON.stringify({schemaVersion: 1, kinds, change}, undefined, indent);
}
