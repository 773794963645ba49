/**
 * Leaving targets and graceful stops. Guards against new requests at a leaving target and against a stop that aborts a
 * request in progress.
 */
import {once} from 'node:events';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {FleetDriver, cellarNetPlan} from '@hemlockthread/test-driver';
import wreck from '@hapi/wreck';
import {CallOracle} from './call-oracle.js';
import {waitUntil} from './wait-until.js';

let driver: FleetDriver;
let oracle: CallOracle;
const view = 'provenance/history';
const leavingName = 'provenance-1';

beforeEach(async () => {
	driver = new FleetDriver();
	oracle = new CallOracle(driver);
	const plan = cellarNetPlan();
	for (const instance of plan.instances) {
		if (instance.service === 'provenance') {
			instance.kinds.history = {workMilliseconds: 300, downstreamCalls: []};
		}
	}

	await driver.start(plan);
});

afterEach(async () => {
	await driver.stop();
});

async function callMany(prefix: string, count: number) {
	return Promise.all(Array.from({length: count}, async (_, index) => {
		const through = ['racks-1', 'racks-2', 'releases-1', 'releases-2'][index % 4]!;
		const body = `${prefix} ${index}`;
		return oracle.record(body, await driver.call(through, view, {body}));
	}));
}

const waysToLeave = [
	{
		name: 'SIGTERM to its node',
		async leave() {
			driver.instance(leavingName).process.kill('SIGTERM');
		},
	},
	{
		name: 'notice of the target',
		async leave() {
			const instance = driver.instance(leavingName);
			await wreck.post(`${instance.target.plan.nodeUrl}/leave`);
		},
	},
];

describe('a target that leaves while the fleet list still shows it as live', () => {
	it.each(waysToLeave)('$name: calls in progress get complete responses, and the target gets no new requests', async ({leave}) => {
		const early = callMany('early', 12);
		await waitUntil('a run at the leaving target', () => driver.instance(leavingName).target.runs.length > 0);
		await leave();
		const earlyResponses = await early;
		expect(earlyResponses.map(response => response.verdict)).toEqual(Array.from({length: 12}, () => 'ran'));
		const runsBefore = driver.instance(leavingName).target.runs.length;
		const late = await callMany('late', 12);
		expect(late.map(response => response.verdict)).toEqual(Array.from({length: 12}, () => 'ran'));
		expect(driver.instance(leavingName).target.runs).toHaveLength(runsBefore);
	});
});

describe('a graceful stop', () => {
	it('of an entry node completes the calls in progress and exits with status 0', async () => {
		const responses = Promise.all(Array.from({length: 6}, async (_, index) => driver.call('racks-1', view, {body: `stop ${index}`})));
		await waitUntil('all runs', () => Array.from({length: 6}, (_, index) => oracle.runsOf('history', `stop ${index}`).length).every(runs => runs === 1));
		const ended = once(driver.instance('racks-1').process, 'exit');
		driver.instance('racks-1').process.kill('SIGTERM');
		const stopped = await responses;
		expect(stopped.map(response => response.verdict)).toEqual(Array.from({length: 6}, () => 'ran'));
		expect(await ended).toEqual([0, null]);
	});
});
