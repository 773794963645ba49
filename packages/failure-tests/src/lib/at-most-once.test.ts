/**
 * At-most-once execution while the executor is killed, paused and restarted. Guards against a second run of a withdrawal and
 * against a false "did not run" verdict.
 */
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {FleetDriver, cellarNetPlan} from '@hemlockthread/test-driver';
import {CallOracle} from './call-oracle.js';
import {waitUntil} from './wait-until.js';

const kind = 'withdrawal';
const call = `releases/${kind}`;
const executors = ['releases-1', 'releases-2'];
const slowWorkMilliseconds = 600;

const driver = new FleetDriver();
const oracle = new CallOracle(driver);

beforeAll(async () => {
	const plan = cellarNetPlan();
	for (const instance of plan.instances) {
		if (instance.service === 'releases') {
			instance.kinds[kind] = {workMilliseconds: slowWorkMilliseconds, downstreamCalls: []};
		}
	}

	await driver.start(plan);
});

afterAll(async () => {
	await driver.stop();
});

/** Waits until a paused node responds again after SIGCONT. */
async function waitUntilResponsive(name: string): Promise<void> {
	await waitUntil('a response from the node', async () => {
		const state = await driver.state(name);
		return state.node !== undefined;
	});
}

/** Starts a withdrawal and waits until a target runs it; returns the pending response and the executor. */
async function beginWithdrawal(body: string) {
	const offer = await driver.call('racks-1', call, {body});
	const response = driver.call('racks-1', call, {body, identity: offer.identity});
	await waitUntil('the run', () => oracle.runsOf(kind, body).length > 0);
	const executor = executors.find(name => driver.instance(name).target.runs.some(run => run.body === body))!;
	return {identity: offer.identity, response, executor};
}

const interruptions = [
	{
		name: 'kill',
		async interrupt(executor: string) {
			driver.instance(executor).process.kill('SIGKILL');
		},
		async heal(executor: string) {
			await driver.restart(executor);
		},
	},
	{
		name: 'freeze and late wake-up',
		async interrupt(executor: string) {
			driver.instance(executor).process.kill('SIGSTOP');
		},
		async heal(executor: string) {
			driver.instance(executor).process.kill('SIGCONT');
			await waitUntilResponsive(executor);
		},
	},
];

describe('an executor interrupted between the run and its response', () => {
	it.each(interruptions)('$name: retries anywhere never cause a second run', async ({name, interrupt, heal}) => {
		const body = `bottle ${name}`;
		const {identity, response, executor} = await beginWithdrawal(body);
		await interrupt(executor);
		const first = oracle.record(body, await response);
		expect(first.verdict).toBe('may-have-run');
		const during = oracle.record(body, await driver.call('provenance-2', call, {body, identity, remainingMilliseconds: 1500}));
		expect(during.verdict).toBe('may-have-run');
		await heal(executor);
		for (const through of ['racks-1', 'provenance-1', ...executors]) {
			const after = oracle.record(body, await driver.call(through, call, {body, identity}));
			expect(after.verdict).not.toBe('did-not-run');
		}

		expect(oracle.runsOf(kind, body)).toHaveLength(1);
		expect(oracle.violations(kind)).toEqual([]);
	});
});

describe('requests that wait in the socket of a paused process', () => {
	it('are refused by age after the pause, although their stated time remaining has not passed', async () => {
		const body = 'bottle queued in a socket';
		const offer = await driver.call('racks-1', call, {body});
		const executor = executors.find(name => offer.identity !== undefined && decodeExecutor(offer.identity) === name)!;
		driver.instance(executor).process.kill('SIGSTOP');
		const response = oracle.record(body, await driver.call('racks-1', call, {body, identity: offer.identity, remainingMilliseconds: 300}));
		expect(response.verdict).toBe('may-have-run');
		driver.instance(executor).process.kill('SIGCONT');
		await waitUntilResponsive(executor);
		await delay(2 * slowWorkMilliseconds);
		expect(oracle.runsOf(kind, body)).toHaveLength(0);
		expect(oracle.violations(kind)).toEqual([]);
	});

	it('at an entry node are refused once their deadline passed during the pause', async () => {
		const body = 'view queued at the entry';
		driver.instance('racks-1').process.kill('SIGSTOP');
		const response = driver.call('racks-1', 'racks/stock-view', {body, remainingMilliseconds: 400});
		await delay(1000);
		driver.instance('racks-1').process.kill('SIGCONT');
		expect(await response).toMatchObject({verdict: 'did-not-run', reason: 'deadline-exceeded'});
		expect(oracle.runsOf('stock-view', body)).toHaveLength(0);
	});
});

describe('identities', () => {
	it('with another body are refused and do not change the operation', async () => {
		const offer = await driver.call('racks-1', call, {body: 'bottle 1'});
		const first = oracle.record('bottle 1', await driver.call('racks-1', call, {body: 'bottle 1', identity: offer.identity}));
		const other = await driver.call('racks-2', call, {body: 'bottle 2', identity: offer.identity});
		expect(first).toMatchObject({status: 200, verdict: 'ran'});
		expect(other).toMatchObject({status: 422, verdict: 'may-have-run', reason: 'identity-reused'});
		expect(oracle.runsOf(kind, 'bottle 2')).toHaveLength(0);
		expect(oracle.violations(kind)).toEqual([]);
	});

	it.each([
		['forged', 'eyJhbGciOiJub25lIn0.e30.'],
		['cut short', 'abc'],
		['signed with another key', 'eyJhbGciOiJIUzI1NiIsInR5cCI6IkpXVCIsImtpZCI6InRlc3QifQ.eyJvcGVyYXRpb24iOiJ4In0.AAAA'],
	])('%s are refused before anything runs, without a claim about nodes that know other keys', async (name, identity) => {
		const response = await driver.call('racks-1', call, {body: `bottle ${name}`, identity});
		expect(response).toMatchObject({status: 400, verdict: 'may-have-run', reason: 'identity-invalid'});
		expect(oracle.runsOf(kind, `bottle ${name}`)).toHaveLength(0);
	});

	it('join a run in progress from several nodes and all get its complete response', async () => {
		const body = 'bottle joined';
		const {identity, response} = await beginWithdrawal(body);
		const joined = await Promise.all(['racks-2', 'provenance-1', 'releases-1'].map(async through =>
			driver.call(through, call, {body, identity})));
		const first = await response;
		expect(first.verdict).toBe('ran');
		expect(joined.map(other => other.body)).toEqual([first.body, first.body, first.body]);
		expect(oracle.runsOf(kind, body)).toHaveLength(1);
	});
});

function decodeExecutor(identity: string): string {
	const claims = JSON.parse(Buffer.from(identity.split('.')[1]!, 'base64url').toString()) as {executor: string};
	return claims.executor;
}
