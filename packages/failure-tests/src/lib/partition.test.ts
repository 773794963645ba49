/**
 * Partitions between failure domains, and a fleet without its platform. Guards against a side that stops serving, against
 * operations that run on both sides, and against false verdicts about the other side.
 */
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {FleetDriver, cellarNetPlan} from '@hemlockthread/test-driver';
import {Verdict} from '@hemlockthread/verdict';
import type {RelayDirection} from '@hemlockthread/stand-ins';
import {CallOracle} from './call-oracle.js';
import {waitUntil} from './wait-until.js';

const kind = 'withdrawal';
const call = `releases/${kind}`;

const driver = new FleetDriver();
const oracle = new CallOracle(driver);

beforeAll(async () => {
	const plan = cellarNetPlan();
	for (const instance of plan.instances) {
		// All connections into akl-b cross relays, so stopping these relays separates the failure domains.
		instance.relayed = true;
		if (instance.service === 'releases') {
			instance.kinds[kind] = {workMilliseconds: 5, downstreamCalls: []};
		}
	}

	await driver.start(plan);
});

afterAll(async () => {
	await driver.stop();
});

/** Stops peer traffic through the relay of an instance without closing connections, as a partition does. */
function stopPeerTraffic(name: string, directions: readonly RelayDirection[]): void {
	for (const direction of directions) {
		driver.instance(name).relays!.peers.stopForwarding(direction);
	}
}

const partitions: Array<{name: string; directions: RelayDirection[]}> = [
	{name: 'both directions', directions: ['forward', 'backward']},
	{name: 'requests only', directions: ['forward']},
	{name: 'responses only', directions: ['backward']},
];

describe('an executor behind a partition', () => {
	it.each(partitions)('$name: retries through the other side are reported as may-have-run, new withdrawals succeed, nothing runs twice', async ({name, directions}) => {
		const other = 'releases-2';
		const body = `bottle across ${name}`;
		// The entry node in akl-b prefers the executor in its failure domain, which the partition separates from the others.
		const offer = await driver.call('racks-2', call, {body});
		expect(offer.status).toBe(428);
		stopPeerTraffic(other, directions);
		const duringPartition = oracle.record(body, await driver.call('racks-1', call, {body, identity: offer.identity, remainingMilliseconds: 700}));
		expect(duringPartition.verdict).not.toBe(Verdict.didNotRun);

		for (const attempt of [1, 2, 3]) {
			const fresh = `bottle on this side ${name} ${attempt}`;
			const response = oracle.record(fresh, await driver.callOnce('racks-1', call, fresh));
			expect(response.verdict, 'a withdrawal on the side that can serve').toBe(Verdict.ran);
		}

		driver.instance(other).relays!.peers.heal();
		await waitUntil('a response from the executor after the partition', async () => {
			const healed = oracle.record(body, await driver.call('racks-1', call, {body, identity: offer.identity}));
			return healed.verdict === Verdict.ran || healed.reason !== 'executor-unreachable';
		});
		expect(oracle.violations(kind)).toEqual([]);
	});
});

describe('a fleet without its platform', () => {
	it('keeps serving with the records in force, including irreversible calls', async () => {
		driver.platform.setAvailable(false);
		for (const attempt of [1, 2, 3]) {
			const body = `bottle without platform ${attempt}`;
			const response = oracle.record(body, await driver.callOnce(attempt % 2 === 0 ? 'racks-1' : 'racks-2', call, body));
			expect(response.verdict).toBe(Verdict.ran);
		}

		driver.platform.setAvailable(true);
		expect(oracle.violations(kind)).toEqual([]);
	});
});
