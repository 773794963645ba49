/**
 * Starts the platform stand-in, target processes and a real node process beside each target, on loopback addresses in
 * 127.0.0.0/8: the second byte identifies the failure domain, the last byte the instance.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
	closeSync, mkdtempSync, openSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {PlatformStandIn, freePorts} from '@hemlockthread/stand-ins';
import wreck from '@hapi/wreck';
import type {ServicePlan} from './experiment-file.js';
import {TargetProcess} from './target-process.js';

const nodeBinary = fileURLToPath(new URL('../../../node/dist/bin/hemlockthread-node.js', import.meta.url));
const readyTimeoutMilliseconds = 30_000;
const readyPollMilliseconds = 50;
const identityKeys = [{id: 'load', secret: 'a secret for load runs with 32 characters or more'}];

/** @public */
export type LoadInstancePlan = {
	name: string;
	service: string;
	failureDomain: string;
	slots: number;
	kinds: ServicePlan['kinds'];
};

/** @public */
export type LoadInstance = LoadInstancePlan & {
	host: string;
	targetUrl: string;
	callerUrl: string;
	operatorUrl: string;
	peerAddress: string;
	settingsPath: string;
	target: TargetProcess;
	node: ChildProcess;
	/** Set while a fault has killed the instance or made it leave; callers do not choose it as an entry. */
	unavailable: boolean;
};

/** @public */
export type LoadFleetOptions = {
	policy: unknown;
	instances: LoadInstancePlan[];
	nodeSettings?: Record<string, unknown>;
	/** Share one target process between all nodes, to measure the nodes alone. */
	sharedTarget?: boolean;
	/** Directory for `node --cpu-prof` files of the nodes. */
	profileDirectory?: string;
};

/** The processes of one run. @public */
export class LoadFleet {
	readonly platform = new PlatformStandIn();
	readonly instances = new Map<string, LoadInstance>();
	private readonly directory = mkdtempSync(path.join(tmpdir(), 'hemlockthread-load-'));
	private readonly killOnExit: () => void;

	constructor(private readonly options: LoadFleetOptions) {
		this.killOnExit = () => {
			this.killAll();
		};
	}

	async start(): Promise<void> {
		process.once('exit', this.killOnExit);
		const [platformPort] = await freePorts('127.0.0.1', 1);
		await this.platform.listen('127.0.0.1', platformPort!);
		this.platform.publish('policy', JSON.stringify(this.options.policy));
		const domains = [...new Set(this.options.instances.map(instance => instance.failureDomain))];
		for (const [index, plan] of this.options.instances.entries()) {
			await this.prepareInstance(plan, `127.${domains.indexOf(plan.failureDomain) + 1}.0.${index + 2}`, `http://127.0.0.1:${platformPort!}`);
		}

		this.publishFleet();
		await Promise.all([...this.instances.values()].map(async instance => {
			await instance.target.ready;
			instance.node = this.spawnNode(instance);
			await waitUntilReady(instance);
		}));
	}

	instance(name: string): LoadInstance {
		const instance = this.instances.get(name);
		if (instance === undefined) {
			throw new RangeError(`unknown instance ${name}`);
		}

		return instance;
	}

	instancesOf(service: string): LoadInstance[] {
		return [...this.instances.values()].filter(instance => instance.service === service);
	}

	/** Publishes the fleet list with the given instances marked as leaving. */
	publishFleet(leaving: readonly string[] = []): void {
		this.platform.publish('fleet', JSON.stringify({
			schemaVersion: 1, instances: [...this.instances.values()].map(instance => ({
				name: instance.name, service: instance.service, failureDomain: instance.failureDomain, region: 'local', slots: instance.slots,
				peerAddress: instance.peerAddress, callerAddress: new URL(instance.callerUrl).host, operatorAddress: new URL(instance.operatorUrl).host,
				state: leaving.includes(instance.name) ? 'leaving' : 'live',
			})),
		}));
	}

	async restartNode(name: string): Promise<void> {
		const instance = this.instance(name);
		instance.node = this.spawnNode(instance);
		await waitUntilReady(instance);
	}

	/** Reads the state dump of a node; undefined if the node does not respond. */
	async state(name: string): Promise<Record<string, unknown> | undefined> {
		try {
			const {payload} = await wreck.get<Record<string, unknown>>(`${this.instance(name).operatorUrl}/state`, {json: true, timeout: 2000});
			return payload;
		} catch {
			return undefined;
		}
	}

	async stop(): Promise<void> {
		const nodes = [...this.instances.values()].map(instance => instance.node);
		for (const node of nodes) {
			// A process suspended by a pause fault can't handle SIGTERM.
			node.kill('SIGCONT');
			node.kill('SIGTERM');
		}

		await Promise.race([
			Promise.all(nodes.map(async node => node.exitCode === null && node.signalCode === null ? once(node, 'exit') : undefined)),
			delay(2000, undefined, {ref: false}),
		]);
		this.killAll();
		await this.platform.close();
		rmSync(this.directory, {recursive: true, force: true});
		process.off('exit', this.killOnExit);
	}

	private killAll(): void {
		for (const instance of this.instances.values()) {
			instance.node?.kill('SIGKILL');
			instance.target.process.kill('SIGKILL');
		}
	}

	private startTarget(plan: LoadInstancePlan, host: string, port: number, nodeUrl: string): Pick<LoadInstance, 'target' | 'targetUrl'> {
		const [first] = this.instances.values();
		if (this.options.sharedTarget === true && first !== undefined) {
			return {target: first.target, targetUrl: first.targetUrl};
		}

		return {
			targetUrl: `http://${host}:${port}`,
			target: new TargetProcess({
				service: plan.service, host, port, nodeUrl, slots: plan.slots, kinds: plan.kinds,
			}),
		};
	}

	private async prepareInstance(plan: LoadInstancePlan, host: string, platformUrl: string): Promise<void> {
		const [targetPort, callerPort, targetListenerPort, peerPort, operatorPort] = await freePorts(host, 5) as [number, number, number, number, number];
		const target = this.startTarget(plan, host, targetPort, `http://${host}:${targetListenerPort}`);
		const settingsPath = path.join(this.directory, `${plan.name}.json`);
		writeFileSync(settingsPath, JSON.stringify({
			instance: plan.name, service: plan.service, failureDomain: plan.failureDomain, region: 'local',
			listen: {
				callers: {host, port: callerPort}, target: {host, port: targetListenerPort}, peers: {host, port: peerPort}, operators: {host, port: operatorPort},
			},
			targetUrl: target.targetUrl, targetSlots: plan.slots, platformUrl, identityKeys, logLevel: 'warn',
			shutdownGraceMilliseconds: 500,
			...this.options.nodeSettings,
		}));
		this.instances.set(plan.name, {
			...plan, ...target, host, settingsPath, peerAddress: `${host}:${peerPort}`,
			callerUrl: `http://${host}:${callerPort}`, operatorUrl: `http://${host}:${operatorPort}`,
			node: undefined as unknown as ChildProcess,
			unavailable: false,
		});
	}

	private spawnNode(instance: LoadInstance): ChildProcess {
		const log = openSync(path.join(this.directory, `${instance.name}.log`), 'a');
		const {profileDirectory} = this.options;
		const flags = profileDirectory === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${profileDirectory}`, `--cpu-prof-name=${instance.name}.cpuprofile`];
		const child = spawn(process.execPath, [...flags, nodeBinary, instance.settingsPath], {stdio: ['ignore', log, log]});
		closeSync(log);
		return child;
	}
}

async function waitUntilReady(instance: LoadInstance): Promise<void> {
	const deadline = Date.now() + readyTimeoutMilliseconds;
	while (Date.now() < deadline) {
		try {
			const response = await wreck.request('GET', `${instance.operatorUrl}/ready`, {timeout: 1000});
			await wreck.read(response, {});
			if (response.statusCode === 200) {
				return;
			}
		} catch {
			// The node does not listen yet.
		}

		await delay(readyPollMilliseconds);
	}

	throw new Error(`node of instance ${instance.name} did not become ready within ${readyTimeoutMilliseconds} ms`);
}
