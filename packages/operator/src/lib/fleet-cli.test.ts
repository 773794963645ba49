/**
 * Guards against commands that misreport the state of a running platform and running nodes. Runs the real binary against the
 * stand-ins and real node processes.
 */
import {readFileSync} from 'node:fs';
import {cellarNetPlan, cellarNetPolicy, FleetDriver} from '@hemlockthread/test-driver';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {exampleFile, runBinary} from './run-binary.js';

const driver = new FleetDriver();
const nodeNames = cellarNetPlan().instances.map(instance => instance.name).toSorted();

type Lines = Array<Record<string, unknown>>;

const operatorAddress = (name: string) => new URL(driver.instance(name).operatorUrl).host;
const run = async (...arguments_: string[]) => runBinary(arguments_.map(argument => argument.replace('PLATFORM', driver.platformUrl)));
const json = async (...arguments_: string[]): Promise<unknown> => {
	const {output} = await run(...arguments_, '--json');
	return JSON.parse(output);
};

beforeAll(async () => {
	await driver.start(cellarNetPlan());
});

afterAll(async () => {
	await driver.stop();
});

describe('published', () => {
	it('lists revisions and prints a record', async () => {
		expect(await json('published', '--platform', 'PLATFORM')).toMatchObject({
			records: [
				{
					key: 'policy', revision: 1, published: true, valid: true,
				}, {
					key: 'fleet', revision: 2, published: true, valid: true,
				},
			],
		});
		const shown = await run('published', '--platform', 'PLATFORM', 'policy');
		expect(JSON.parse(shown.output)).toEqual(cellarNetPolicy);
		expect(shown.status).toBe(0);
	});

	it('says when a record is not published', async () => {
		const result = await run('published', '--platform', 'PLATFORM', 'nothing');
		expect(result).toMatchObject({status: 1, output: 'nothing: not published\n'});
	});
});

describe('explain', () => {
	it.each([
		['releases', 'stock-view', 0, 'admitted'],
		['releases', 'no-such-kind', 1, 'refused (unknown-kind)'],
		['no-such-service', 'stock-view', 1, 'refused (unknown-service)'],
	])('reports the outcome for %s/%s', async (service, kind, status, outcome) => {
		const result = await run('explain', '--address', operatorAddress('racks-1'), '--service', service, '--kind', kind);
		expect(result.output).toContain(`${service}/${kind} at racks-1: ${outcome}`);
		expect(result.status).toBe(status);
	});

	it('makes no call', async () => {
		const runs = () => [...driver.instances.values()].reduce((sum, instance) => sum + instance.target.runs.length, 0);
		const before = runs();
		expect(await json('explain', '--address', operatorAddress('racks-1'), '--service', 'racks', '--kind', 'stock-view'))
			.toMatchObject({outcome: 'admitted', admittedShare: 1, policyRevision: 1});
		expect(runs()).toBe(before);
	});
});

describe('dump', () => {
	it('shows one node', async () => {
		expect(await json('dump', '--address', operatorAddress('racks-1'))).toMatchObject({node: {instance: 'racks-1', leaving: false}, policy: {revision: 1}});
	});

	it('shows every live node', async () => {
		const dump = await json('dump', '--platform', 'PLATFORM') as {nodes: Record<string, unknown>; unreachable: unknown[]};
		expect(Object.keys(dump.nodes).toSorted()).toEqual(nodeNames);
		expect(dump.unreachable).toEqual([]);
	});
});

describe('follow', () => {
	it('reports a published policy and ends when it is in force at every live node', async () => {
		const revision = driver.platform.publish('policy', readFileSync(exampleFile('policy-version-2.json'), 'utf8'));
		const result = await run('follow', '--platform', 'PLATFORM', '--until-in-force', '--every', '100ms', '--timeout', '50s', '--json');
		const lines = result.output.trim().split('\n').map(line => JSON.parse(line) as unknown) as Lines;
		expect(result.status).toBe(0);
		expect(lines[0]).toMatchObject({event: 'published', key: 'policy', revision});
		const inForce = lines.filter(line => line.event === 'in force' && line.key === 'policy' && line.revision === revision);
		expect(inForce.map(line => line.node as string).toSorted()).toEqual(nodeNames);
		expect(lines.at(-1)).toMatchObject({event: 'end', reached: true});
	});

	it('ends with status 1 when the timeout comes first', async () => {
		const result = await run('follow', '--platform', 'PLATFORM', '--changes', '1000', '--timeout', '1ms');
		expect(result.status).toBe(1);
	});
});

describe('with a node that does not respond', () => {
	it('lists the node as unreachable', async () => {
		driver.instance('racks-2').process.kill('SIGKILL');
		const dump = await run('dump', '--platform', 'PLATFORM');
		expect(dump.output).toContain(`racks-2 at ${operatorAddress('racks-2')} is unreachable`);
		expect(dump.status).toBe(3);
		const followed = await run('follow', '--platform', 'PLATFORM', '--changes', '20', '--every', '100ms', '--timeout', '1s');
		expect(followed.output).toContain('racks-2: node unreachable');
	});

	it('reports that no fleet list is published', async () => {
		driver.platform.withdraw('fleet');
		expect(await run('dump', '--platform', 'PLATFORM')).toMatchObject({status: 3, errors: 'no fleet list is published, so the nodes are not known\n'});
		expect(await run('published', '--platform', 'PLATFORM')).toMatchObject({status: 1});
	});
});
