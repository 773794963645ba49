/**
 * Runs a fleet for tests on 127.0.0.0/8 addresses: a platform, targets, and one node process beside each target.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	PlatformStandIn, TargetStandIn, TcpRelayStandIn, freePorts, processLoopbackHost, type TargetKindPlan,
} from '@hemlockthread/stand-ins';
import wreck from '@hapi/wreck';

const nodeBinary = fileURLToPath(new URL('../../../node/dist/bin/hemlockthread-node.js', import.meta.url));
const readyTimeoutMilliseconds = 20_000;
const identityKeys = [{id: 'test', secret: 'a secret for tests with 32 characters or more'}];

/** @public */
export type FleetPlan = {
	policy: unknown;
	instances: Array<{
		name: string;
		service: string;
		failureDomain: string;
		slots?: number;
		kinds: Record<string, TargetKindPlan>;
		passContext?: boolean;
		downstreamAttempts?: number;
		/** Inserts TCP relays in front of the node's listeners for peers and callers and in front of the target. */
		relayed?: boolean;
		/** Overrides of the default node settings. */
		settings?: Record<string, unknown>;
	}>;
};

/** TCP relays, by the listener that they forward to. @public */
export type Relays = Record<'peers' | 'callers' | 'target', TcpRelayStandIn>;

/** @public */
export type DrivenInstance = {
	name: string;
	target: TargetStandIn;
	callerUrl: string;
	operatorUrl: string;
	/** Base URL of the node's listener for its target. */
	targetListenerUrl: string;
	peerAddress: string;
	settingsPath: string;
	/** Undefined unless the plan of the instance sets `relayed`. */
	relays: Relays | undefined;
	process: ChildProcess;
	fleetEntry: Record<string, unknown>;
};

/** @public */
export type CallerResponse = {
	status: number;
	verdict?: string;
	reason?: string;
	identity?: string;
	body: string;
};

/**
 * Starts, controls and stops a fleet.
 *
 * @public
 */
export class FleetDriver {
	readonly platform = new PlatformStandIn();
	readonly instances = new Map<string, DrivenInstance>();
	/** Base URL of the platform stand-in; empty before `start`. */
	platformUrl = '';
	private readonly directory = mkdtempSync(path.join(tmpdir(), 'hemlockthread-'));

	async start(plan: FleetPlan): Promise<void> {
		const platformHost = processLoopbackHost(0);
		const [platformPort] = await freePorts(platformHost, 1);
		this.platformUrl = `http://${platformHost}:${platformPort}`;
		await this.platform.listen(platformHost, platformPort!);
		this.platform.publish('policy', JSON.stringify(plan.policy));
		for (const [index, instance] of plan.instances.entries()) {
			await this.prepareInstance(instance, processLoopbackHost(index + 1));
		}

		this.publishFleet();
		for (const instance of this.instances.values()) {
			instance.process = this.spawnNode(instance.settingsPath);
		}

		await Promise.all([...this.instances.values()].map(async instance => this.waitUntilReady(instance)));
	}

	instance(name: string): DrivenInstance {
		const instance = this.instances.get(name);
		if (instance === undefined) {
			throw new RangeError(`unknown instance ${name}`);
		}

		return instance;
	}

	/** Publishes the fleet list with the given instances marked as leaving, and returns its revision. */
	publishFleet(leaving: readonly string[] = []): number {
		const instances = [...this.instances.values()].map(instance =>
			({...instance.fleetEntry, state: leaving.includes(instance.name) ? 'leaving' : 'live'}));
		return this.platform.publish('fleet', JSON.stringify({schemaVersion: 1, instances}));
	}

	/** Changes the settings file of a node, which reads it at its next start. */
	changeSettings(name: string, change: Record<string, unknown>): void {
		const {settingsPath} = this.instance(name);
		const settings = JSON.parse(readFileSync(settingsPath, 'utf8')) as Record<string, unknown>;
		writeFileSync(settingsPath, JSON.stringify({...settings, ...change}));
	}

	/** Starts the node of an instance again after its process exited. */
	async restart(name: string): Promise<void> {
		const instance = this.instance(name);
		instance.process = this.spawnNode(instance.settingsPath);
		await this.waitUntilReady(instance);
	}

	/** Makes a call through the node of an instance, as a caller. */
	async call(through: string, call: string, options: {body?: string; identity?: string; remainingMilliseconds?: number} = {}): Promise<CallerResponse> {
		const headers: Record<string, string> = {'content-type': 'text/plain'};
		if (options.identity !== undefined) {
			headers['idempotency-key'] = options.identity;
		}

		if (options.remainingMilliseconds !== undefined) {
			headers['hemlockthread-remaining-milliseconds'] = String(options.remainingMilliseconds);
		}

		const response = await wreck.request('POST', `${this.instance(through).callerUrl}/calls/${call}`, {payload: options.body ?? '', headers});
		const body = await wreck.read(response);
		return {
			status: response.statusCode ?? 0,
			verdict: response.headers['hemlockthread-verdict'] as string | undefined,
			reason: response.headers['hemlockthread-reason'] as string | undefined,
			identity: response.headers['idempotency-key'] as string | undefined,
			body: body.toString(),
		};
	}

	/** Requests an identity and makes the call with it. */
	async callOnce(through: string, call: string, body = ''): Promise<CallerResponse> {
		const offer = await this.call(through, call, {body});
		return offer.identity === undefined ? offer : this.call(through, call, {body, identity: offer.identity});
	}

	async state(name: string): Promise<Record<string, Record<string, unknown>>> {
		const {payload} = await wreck.get<Record<string, Record<string, unknown>>>(`${this.instance(name).operatorUrl}/state`, {json: true});
		return payload;
	}

	async stop(): Promise<void> {
		for (const instance of this.instances.values()) {
			instance.process.kill('SIGKILL');
			await instance.target.close();
			await Promise.all(Object.values(instance.relays ?? {}).map(async relay => relay.close()));
		}

		await this.platform.close();
		rmSync(this.directory, {recursive: true, force: true});
	}

	private async prepareInstance(plan: FleetPlan['instances'][number], host: string): Promise<void> {
		const [target, callers, nodeForTarget, peers, operators] = await freePorts(host, 5) as [number, number, number, number, number];
		const slots = plan.slots ?? 10;
		const relays = plan.relayed === true ? await startRelays(host, {peers, callers, target}) : undefined;
		const publishedPorts = relays?.ports ?? {peers, callers, target};
		const settings = {
			instance: plan.name, service: plan.service, failureDomain: plan.failureDomain, region: 'test',
			listen: {
				callers: {host, port: callers}, target: {host, port: nodeForTarget}, peers: {host, port: peers}, operators: {host, port: operators},
			},
			targetUrl: `http://${host}:${publishedPorts.target}`, targetSlots: slots, platformUrl: this.platformUrl, identityKeys, startSpreadMilliseconds: 100,
			...plan.settings,
		};
		const settingsPath = path.join(this.directory, `${plan.name}.json`);
		writeFileSync(settingsPath, JSON.stringify(settings, undefined, '\t'));
		const standIn = new TargetStandIn({
			service: plan.service, nodeUrl: `http://${host}:${nodeForTarget}`, slots, kinds: plan.kinds,
			passContext: plan.passContext, downstreamAttempts: plan.downstreamAttempts,
		});
		await standIn.listen(host, target);
		this.instances.set(plan.name, {
			name: plan.name, target: standIn, settingsPath,
			relays: relays?.relays, callerUrl: `http://${host}:${publishedPorts.callers}`, operatorUrl: `http://${host}:${operators}`, targetListenerUrl: `http://${host}:${nodeForTarget}`, peerAddress: `${host}:${publishedPorts.peers}`,
			process: undefined as unknown as ChildProcess,
			fleetEntry: {
				name: plan.name, service: plan.service, failureDomain: plan.failureDomain, region: 'test', slots,
				peerAddress: `${host}:${publishedPorts.peers}`, callerAddress: `${host}:${publishedPorts.callers}`, operatorAddress: `${host}:${operators}`,
			},
		});
	}

	private spawnNode(settingsPath: string): ChildProcess {
		const verbose = process.env.HEMLOCKTHREAD_TEST_LOGS === '1';
		return spawn(process.execPath, [nodeBinary, settingsPath], {stdio: ['ignore', 'ignore', verbose ? 'inherit' : 'ignore']});
	}

	private async waitUntilReady(instance: DrivenInstance): Promise<void> {
		const endAt = Date.now() + readyTimeoutMilliseconds;
		while (Date.now() < endAt) {
			try {
				const response = await wreck.request('GET', `${instance.operatorUrl}/ready`, {});
				await wreck.read(response);
				if (response.statusCode === 200) {
					return;
				}
			} catch {
				// Not listening yet.
			}

			await delay(50);
		}

		throw new Error(`node of instance ${instance.name} did not become ready within ${readyTimeoutMilliseconds} ms`);
	}
}

async function startRelays(host: string, ports: Record<keyof Relays, number>): Promise<{relays: Relays; ports: Record<keyof Relays, number>}> {
	const relays: Relays = {
		peers: new TcpRelayStandIn({host, port: ports.peers}),
		callers: new TcpRelayStandIn({host, port: ports.callers}),
		target: new TcpRelayStandIn({host, port: ports.target}),
	};
	const [peers, callers, target] = await Promise.all([relays.peers, relays.callers, relays.target].map(async relay => relay.listen(host)));
	return {relays, ports: {peers: peers!.port, callers: callers!.port, target: target!.port}};
}
