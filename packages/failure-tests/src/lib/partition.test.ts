/**
 * Partitions between failure domains, and a domain cut off from the platform. Guards against a side that stops serving,
 * against work doubled on both sides, and against false statements about the other side.
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
		// Connections into akl-b cross relays; with those stopped, neither side reaches the other.
		instance.relayed = true;
		if (instance.service === 'releases') {
			instance.kinds[kind] = {workMilliseconds: 5, legs: []};
		}
	}

	await driver.start(plan);
});

afterAll(async () => {
	await driver.stop();
});

/** Stops what crosses the relays of an instance, so that peers see silence as in a partition. */
function isolate(name: string, directions: readonly RelayDirection[]): void {
	for (const direction of directions) {
		driver.instance(name).relays!.peers.stopForwarding(direction);
	}
}

const cuts: Array<{name: string; directions: RelayDirection[]}> = [
	{name: 'both directions', directions: ['forward', 'backward']},
	{name: 'requests only', directions: ['forward']},
	{name: 'answers only', directions: ['backward']},
];

describe('an executor behind a cut', () => {
	it.each(cuts)('$name: retries through the other side may have run, new withdrawals go on, nothing is doubled', async ({name, directions}) => {
		const other = 'releases-2';
		const body = `bottle across ${name}`;
		// The entry node in akl-b prefers the executor in its own domain, which the cut separates from the others.
		const offer = await driver.call('racks-2', call, {body});
		expect(offer.status).toBe(428);
		isolate(other, directions);
		const across = oracle.record(body, await driver.call('racks-1', call, {body, identity: offer.identity, remainingMilliseconds: 700}));
		expect(across.verdict).not.toBe(Verdict.didNotRun);

		for (const attempt of [1, 2, 3]) {
			const fresh = `bottle on this side ${name} ${attempt}`;
			const told = oracle.record(fresh, await driver.callOnce('racks-1', call, fresh));
			expect(told.verdict, 'a withdrawal on the side that can serve').toBe(Verdict.ran);
		}

		driver.instance(other).relays!.peers.heal();
		await waitUntil('an answer from the executor after the cut', async () => {
			const healed = oracle.record(body, await driver.call('racks-1', call, {body, identity: offer.identity}));
			return healed.verdict === Verdict.ran || healed.reason !== 'executor-unreachable';
		});
		expect(oracle.violations(kind)).toEqual([]);
	});
});

describe('a fleet without its platform', () => {
	it('goes on with the records in force, also irreversible work', async () => {
		driver.platform.setAvailable(false);
		for (const attempt of [1, 2, 3]) {
			const body = `bottle without platform ${attempt}`;
			const told = oracle.record(body, await driver.callOnce(attempt % 2 === 0 ? 'racks-1' : 'racks-2', call, body));
			expect(told.verdict).toBe(Verdict.ran);
		}

		driver.platform.setAvailable(true);
		expect(oracle.violations(kind)).toEqual([]);
	});
});
