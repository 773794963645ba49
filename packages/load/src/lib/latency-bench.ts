/**
 * Benchmarks the latency of four paths to the same target in one run: direct, through a bare relay of two processes,
 * through two nodes, and through the node beside the target.
 */
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {Agent, request as httpRequest} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setImmediate as yieldToEvents, setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {freePorts} from '@hemlockthread/stand-ins';
import {build, type Histogram} from 'hdr-histogram-js';
import {LoadFleet} from './load-fleet.js';
import {machineDescription, processUsage} from './process-usage.js';

const relayBinary = fileURLToPath(new URL('../bin/bare-relay.js', import.meta.url));

/** @public */
export const pathNames = ['direct', 'bare relay', 'two nodes', 'one node'] as const;

/** @public */
export type PathName = (typeof pathNames)[number];

/** Latencies in milliseconds, and CPU time per call summed over the processes between caller and target. @public */
export type PathLatency = {path: PathName; calls: number; failed: number; median: number; p90: number; p99: number; cpuMicroseconds: number};

/** @public */
export type LatencyResult = {
	startedAt: string;
	machine: ReturnType<typeof machineDescription>;
	seconds: number;
	rates: Array<{rate: number; paths: PathLatency[]}>;
};

/** @public */
export type LatencyOptions = {
	rates: readonly number[];
	/** Seconds per path and rate. */
	seconds: number;
	profileDirectory?: string;
	report(line: string): void;
};

/** Paths alternate in several rounds, so that interference on the machine affects all of them alike. */
const rounds = 5;
const warmUpCalls = 3000;
const warmUpRate = 1000;
const body = 'thirteen byte';
/** The last part of each wait polls, because timers are only accurate to a millisecond. */
const pollMilliseconds = 2;
const microsecondsPerMillisecond = 1000;

const policy = {
	schemaVersion: 1,
	kinds: [{
		name: 'ping', worth: 1, protected: false, irreversible: false, retries: 0, lifetimeMilliseconds: 5000,
	}],
	identityLifetimeMilliseconds: 60_000,
	coldStartRampMilliseconds: 0,
};

/** @public */
export async function measureLatency(options: LatencyOptions): Promise<LatencyResult> {
	const kinds = {ping: {workMilliseconds: 0, legs: []}};
	const instance = (service: string) => ({
		name: `${service}-1`, service, failureDomain: 'a', slots: 200, kinds,
	});
	const fleet = new LoadFleet({policy, instances: [instance('front'), instance('echo')], profileDirectory: options.profileDirectory});
	const relays: ChildProcess[] = [];
	try {
		await fleet.start();
		const relayUrl = await startRelays(fleet.instance('echo-1').targetUrl, relays, options.profileDirectory);
		const urls: Record<PathName, string> = {
			direct: `${fleet.instance('echo-1').targetUrl}/ping`,
			'bare relay': `${relayUrl}/calls/echo/ping`,
			'two nodes': `${fleet.instance('front-1').callerUrl}/calls/echo/ping`,
			'one node': `${fleet.instance('echo-1').callerUrl}/calls/echo/ping`,
		};
		const pids: Record<PathName, number[]> = {
			direct: [], 'bare relay': relays.map(relay => relay.pid!),
			'two nodes': [fleet.instance('front-1').node.pid!, fleet.instance('echo-1').node.pid!], 'one node': [fleet.instance('echo-1').node.pid!],
		};
		return await run(path => new PathRun(urls[path], pids[path]), options);
	} finally {
		for (const relay of relays) {
			relay.kill('SIGTERM');
		}

		await Promise.all(relays.map(async relay => relay.exitCode === null ? once(relay, 'exit') : undefined));
		await fleet.stop();
	}
}

async function startRelays(targetUrl: string, relays: ChildProcess[], profileDirectory: string | undefined): Promise<string> {
	const [exitPort] = await freePorts('127.0.0.3', 1);
	const [entryPort] = await freePorts('127.0.0.2', 1);
	const start = async (side: string, host: string, port: number, nextAddress: string) => {
		const execArgv = profileDirectory === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${profileDirectory}`, `--cpu-prof-name=relay-${side}.cpuprofile`];
		const relay = fork(relayBinary, [side, host, String(port), nextAddress], {execArgv});
		relays.push(relay);
		await once(relay, 'message');
	};

	await start('exit', '127.0.0.3', exitPort!, targetUrl);
	await start('entry', '127.0.0.2', entryPort!, `127.0.0.3:${exitPort!}`);
	return `http://127.0.0.2:${entryPort!}`;
}

async function run(createPathRun: (path: PathName) => PathRun, options: LatencyOptions): Promise<LatencyResult> {
	const startedAt = new Date().toISOString();
	const machine = machineDescription();
	for (const path of pathNames) {
		await createPathRun(path).send(warmUpRate, warmUpCalls);
	}

	const rates: LatencyResult['rates'] = [];
	for (const rate of options.rates) {
		const runs = new Map(pathNames.map(path => [path, createPathRun(path)]));
		for (let round = 0; round < rounds; round += 1) {
			options.report(`${rate} calls/s, round ${round + 1} of ${rounds}`);
			for (const index of pathNames.keys()) {
				// Each round starts with a different path.
				const path = pathNames[(index + round) % pathNames.length]!;
				await runs.get(path)!.send(rate, Math.ceil(rate * options.seconds / rounds));
			}
		}

		rates.push({rate, paths: pathNames.map(path => runs.get(path)!.result(path))});
	}

	return {
		startedAt, machine, seconds: options.seconds, rates,
	};
}

/** Sends calls over one path at one rate and records their latency. */
class PathRun {
	private readonly agent = new Agent({keepAlive: true, noDelay: true});
	private readonly histogram: Histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3});
	private failed = 0;
	private cpuMilliseconds = 0;

	constructor(private readonly url: string, private readonly pids: readonly number[]) {}

	/** Sends calls at a constant rate; latency counts from the planned time of each call. */
	async send(rate: number, calls: number): Promise<void> {
		const cpuBefore = this.cpu();
		const startedAt = performance.now();
		const pendingCalls: Array<Promise<void>> = [];
		for (let index = 0; index < calls; index += 1) {
			const plannedAt = startedAt + (index * 1000 / rate);
			await waitUntil(plannedAt);
			pendingCalls.push(this.call(plannedAt));
		}

		await Promise.all(pendingCalls);
		this.cpuMilliseconds += this.cpu() - cpuBefore;
	}

	result(path: PathName): PathLatency {
		const at = (percentile: number) => this.histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
		return {
			path, calls: this.histogram.totalCount, failed: this.failed, median: at(50), p90: at(90), p99: at(99),
			cpuMicroseconds: this.cpuMilliseconds * microsecondsPerMillisecond / this.histogram.totalCount,
		};
	}

	private cpu(): number {
		let milliseconds = 0;
		for (const pid of this.pids) {
			milliseconds += processUsage(pid)?.cpuMilliseconds ?? 0;
		}

		return milliseconds;
	}

	private async call(plannedAt: number): Promise<void> {
		return new Promise(resolve => {
			const request = httpRequest(this.url, {method: 'POST', agent: this.agent, headers: {'content-type': 'text/plain', 'content-length': body.length}}, response => {
				response.resume();
				response.once('end', () => {
					this.histogram.recordValue(Math.max(1, Math.round((performance.now() - plannedAt) * microsecondsPerMillisecond)));
					this.failed += response.statusCode === 200 ? 0 : 1;
					resolve();
				});
			});
			request.once('error', () => {
				this.failed += 1;
				resolve();
			});
			request.end(body);
		});
	}
}

async function waitUntil(time: number): Promise<void> {
	for (let wait = time - performance.now(); wait > 0; wait = time - performance.now()) {
		await (wait > pollMilliseconds ? delay(wait - pollMilliseconds) : yieldToEvents());
	}
}
