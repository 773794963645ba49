/**
 * Guards against records that do not reach a node, or that revert to an older revision, while nodes, connections or the
 * platform fail. Runs a fleet of real node processes.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {FleetDriver, type FleetPlan} from './fleet-driver.js';
import {cellarNetPolicy} from './plans.js';

const timeoutMilliseconds = 40_000;
const domains = ['akl-a', 'akl-a', 'akl-a', 'akl-b', 'akl-b', 'akl-b'];
const names = domains.map((_, index) => `racks-${index + 1}`);
const policyOf = (lifetimeMilliseconds: number) => JSON.stringify({
	...cellarNetPolicy, kinds: cellarNetPolicy.kinds.map(kind => ({...kind, lifetimeMilliseconds})),
});

let driver: FleetDriver;

async function startFleet(change: (name: string) => Partial<FleetPlan['instances'][number]> = () => ({})): Promise<void> {
	driver = new FleetDriver();
	await driver.start({
		policy: cellarNetPolicy,
		instances: names.map((name, index) => ({
			name, service: 'racks', failureDomain: domains[index]!, kinds: {'stock-view': {workMilliseconds: 1, downstreamCalls: []}}, ...change(name),
		})),
	});
}

afterEach(async () => {
	await driver.stop();
});

async function policyRevisions(members: readonly string[] = names): Promise<number[]> {
	const states = await Promise.all(members.map(async name => driver.state(name)));
	return states.map(state => state.policy!.revision as number);
}

/** Revisions in the record stores, whether or not their content was accepted. */
async function storedRevisions(): Promise<number[]> {
	const states = await Promise.all(names.map(async name => driver.state(name)));
	return states.map(state => (state.records!.policy as {revision: number}).revision);
}

async function waitForRevision(revision: number, members: readonly string[] = names): Promise<void> {
	const endAt = Date.now() + timeoutMilliseconds;
	let seen: number[] = [];
	while (Date.now() < endAt) {
		seen = await policyRevisions(members);
		if (seen.every(value => value === revision)) {
			return;
		}

		await delay(100);
	}

	throw new Error(`revision ${revision} is not in force everywhere: ${seen.join(' ')}`);
}

async function watchers(): Promise<string[]> {
	const states = await Promise.all(names.map(async name => ({name, state: await driver.state(name)})));
	return states.filter(({state}) => state.fleet!.watcher === true).map(({name}) => name);
}

async function counter(name: string, counterName: string): Promise<number> {
	const {counters} = await driver.state(name);
	return (counters![counterName] as number | undefined) ?? 0;
}

async function controlConnections(members: readonly string[]): Promise<number> {
	const states = await Promise.all(members.map(async name => driver.state(name)));
	return states.flatMap(state => (state.distribution!.overlay as {control: unknown[]}).control).length;
}

/** Waits until the nodes have closed their silent control connections. */
async function waitUntilDisconnected(members: readonly string[]): Promise<void> {
	const endAt = Date.now() + timeoutMilliseconds;
	while (Date.now() < endAt) {
		const connections = await controlConnections(members);
		if (connections === 0) {
			return;
		}

		await delay(50);
	}

	throw new Error('nodes still have control connections across the partition');
}

async function kill(name: string): Promise<void> {
	driver.instance(name).process.kill('SIGKILL');
	await delay(50);
}

const publish = (lifetimeMilliseconds: number) => driver.platform.publish('policy', policyOf(lifetimeMilliseconds));

describe('records in six nodes of two failure domains', () => {
	it('reach nodes that do not watch, and the newer of two in quick succession takes effect', async () => {
		await startFleet();
		publish(2001);
		await waitForRevision(publish(2002));
		const watching = await watchers();
		expect(watching).toHaveLength(4);
		const unwatching = names.filter(name => !watching.includes(name));
		const reads = await Promise.all(unwatching.map(async name => counter(name, 'platform.read')));
		expect(reads).toEqual([2, 2]);
	});

	it('reach a domain whose watchers are dead', async () => {
		await startFleet();
		const watching = await watchers();
		const dead = watching.filter(name => domains[names.indexOf(name)] === 'akl-a');
		await Promise.all(dead.map(async name => kill(name)));
		await waitForRevision(publish(2003), names.filter(name => !dead.includes(name)));
	});

	it('stay in force while the platform is down, and a restarted node gets them from its neighbours', async () => {
		await startFleet();
		const revision = publish(2004);
		await waitForRevision(revision);
		driver.platform.setAvailable(false);
		await kill('racks-6');
		await driver.restart('racks-6');
		await waitForRevision(revision);
		driver.platform.setAvailable(true);
		await waitForRevision(publish(2005));
	});

	it('reach a node that no neighbour knows through its bootstrap peers while the platform is down', async () => {
		await startFleet();
		await kill('racks-6');
		const instances = names.slice(0, 5).map(name => ({...driver.instance(name).fleetEntry, state: 'live'}));
		driver.platform.publish('fleet', JSON.stringify({schemaVersion: 1, instances}));
		const revision = publish(2012);
		await waitForRevision(revision, names.slice(0, 5));
		driver.platform.setAvailable(false);
		const [host, port] = driver.instance('racks-1').peerAddress.split(':') as [string, string];
		driver.changeSettings('racks-6', {bootstrapPeers: [{host, port: Number(port)}]});
		await driver.restart('racks-6');
		await waitForRevision(revision);
	});

	it('do not revert to an older revision in a restarted node when the platform serves one', async () => {
		await startFleet();
		const stale = {revision: 1, value: policyOf(2006)};
		const revision = publish(2007);
		await waitForRevision(revision);
		driver.platform.revert('policy', stale);
		await kill('racks-5');
		await driver.restart('racks-5');
		// The node is ready; a count of 1 shows that no older policy was in force before.
		expect(await policyRevisions(['racks-5'])).toEqual([revision]);
		expect(await counter('racks-5', 'policy.accepted')).toBe(1);
	});

	it('stay in force when withdrawn, also in a restarted node', async () => {
		await startFleet();
		const [before] = await policyRevisions();
		driver.platform.withdraw('policy');
		await kill('racks-4');
		await driver.restart('racks-4');
		await waitForRevision(before!);
	});

	it.each([
		['malformed', '{"schemaVersion":'],
		['of an unknown schema version', JSON.stringify({schemaVersion: 99})],
	])('%s are refused by every node, distributed, and replaced by the next valid one', async (_case, value) => {
		await startFleet();
		const [before] = await policyRevisions();
		const refused = driver.platform.publish('policy', value);
		const endAt = Date.now() + timeoutMilliseconds;
		let stored = await storedRevisions();
		while (Date.now() < endAt && stored.some(revision => revision !== refused)) {
			await delay(100);
			stored = await storedRevisions();
		}

		expect(stored).toEqual(names.map(() => refused));
		expect(await policyRevisions()).toEqual(names.map(() => before));
		await waitForRevision(publish(2008));
	});

	it('over the size limit are refused without being distributed', async () => {
		await startFleet();
		const [before] = await policyRevisions();
		driver.platform.publish('policy', 'x'.repeat(1_000_001));
		const [watching] = await watchers();
		const endAt = Date.now() + timeoutMilliseconds;
		while (await counter(watching!, 'records.refused') === 0 && Date.now() < endAt) {
			await delay(50);
		}

		expect(await counter(watching!, 'records.refused')).toBe(1);
		expect(await policyRevisions()).toEqual(names.map(() => before));
		await waitForRevision(publish(2009));
	});

	it.each([
		['in both directions', ['forward', 'backward']],
		['in one direction', ['forward']],
		['in the other direction', ['backward']],
	] as const)('reach a domain without the platform after a partition %s heals', async (_case, directions) => {
		const domainOf = (name: string) => domains[names.indexOf(name)];
		// Nothing listens on port 1, so nodes of akl-b receive records only from peers.
		await startFleet(name => ({relayed: true, settings: domainOf(name) === 'akl-b' ? {platformUrl: 'http://127.0.0.1:1'} : {}}));
		const [before] = await policyRevisions();
		const relays = names.map(name => driver.instance(name).relays!.peers);
		for (const relay of relays) {
			for (const direction of directions) {
				relay.stopForwarding(direction);
			}
		}

		const revision = publish(2010);
		const watching = await watchers();
		await waitForRevision(revision, watching.filter(name => domainOf(name) === 'akl-a'));
		const disconnected = names.filter(name => domainOf(name) === 'akl-b');
		await waitUntilDisconnected(disconnected);
		expect(await policyRevisions(disconnected)).toEqual(disconnected.map(() => before));
		for (const relay of relays) {
			relay.heal();
		}

		await waitForRevision(revision);
	});
});
