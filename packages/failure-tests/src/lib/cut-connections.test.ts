/**
 * Connections reset at byte positions throughout an exchange. Guards against a false "did not run" verdict, a second run, and a
 * truncated response that is forwarded as complete.
 *
 * `HEMLOCKTHREAD_CUT_STRIDE=1` resets at every byte; the default of 7 shortens the test.
 */
import process from 'node:process';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {FleetDriver, cellarNetPlan, type CallerResponse} from '@hemlockthread/test-driver';
import {Verdict} from '@hemlockthread/verdict';
import type {RelayDirection} from '@hemlockthread/stand-ins';
import {CallOracle} from './call-oracle.js';

const kind = 'withdrawal';
const call = `releases/${kind}`;
const stride = Number(process.env.HEMLOCKTHREAD_CUT_STRIDE ?? 7);
const suiteTimeoutMilliseconds = 600_000;

const driver = new FleetDriver();
const oracle = new CallOracle(driver);

beforeAll(async () => {
	const plan = cellarNetPlan();
	// With a single executor, every withdrawal crosses the relays.
	plan.instances = plan.instances.filter(instance => instance.name !== 'releases-2');
	for (const instance of plan.instances) {
		instance.relayed = instance.name === 'releases-1' || instance.name === 'racks-1';
		if (instance.service === 'releases') {
			instance.kinds[kind] = {workMilliseconds: 0, downstreamCalls: []};
		}
	}

	await driver.start(plan);
});

afterAll(async () => {
	await driver.stop();
});

const places = [
	{place: 'entry node to executor', relay: () => driver.instance('releases-1').relays!.peers},
	{place: 'executor to target', relay: () => driver.instance('releases-1').relays!.target},
	{place: 'caller to entry node', relay: () => driver.instance('racks-1').relays!.callers},
];
const directions: RelayDirection[] = ['forward', 'backward'];
const cases = places.flatMap(place => directions.map(direction => ({...place, direction})));

async function callThroughReset(body: string, identity: string | undefined): Promise<CallerResponse | undefined> {
	try {
		return await driver.call('racks-1', call, {body, identity, remainingMilliseconds: 1500});
	} catch {
		// The connection of the caller itself was reset, so it received no response.
		return undefined;
	}
}

/** Counts the bytes of one exchange without faults in a direction. */
async function exchangeBytes(relay: () => {bytes: Record<RelayDirection, number>}, direction: RelayDirection, body: string): Promise<number> {
	const offer = await driver.call('racks-1', call, {body});
	const before = relay().bytes[direction];
	const response = await driver.call('racks-1', call, {body, identity: offer.identity});
	expect(response.verdict).toBe(Verdict.ran);
	return relay().bytes[direction] - before;
}

describe('a withdrawal', () => {
	it.each(cases)('$place, $direction: every reset gives a truthful verdict, and a retry completes or stays truthful', async ({place, relay, direction}) => {
		const total = await exchangeBytes(relay, direction, `bottle ${place} ${direction} whole`);
		expect(total).toBeGreaterThan(0);
		for (let position = 0; position < total; position += stride) {
			const body = `bottle ${place} ${direction} ${position}`;
			const offer = await driver.call('racks-1', call, {body});
			expect(offer.status, `no identity before position ${position}`).toBe(428);
			relay().resetAfter(direction, position);
			const interrupted = await callThroughReset(body, offer.identity);
			relay().heal();
			if (interrupted !== undefined) {
				oracle.record(body, interrupted);
				expect(oracle.violationsOf(kind, body), `after the reset at position ${position}`).toEqual([]);
			}

			const retried = await driver.call('racks-2', call, {body, identity: interrupted?.identity ?? offer.identity});
			oracle.record(body, retried);
			expect(oracle.violationsOf(kind, body), `after the retry at position ${position}`).toEqual([]);
			if (retried.verdict === Verdict.ran) {
				expect(JSON.parse(retried.body)).toMatchObject({service: 'releases', kind, body});
			}
		}

		expect(oracle.violations(kind)).toEqual([]);
	}, suiteTimeoutMilliseconds);
});

describe('a truncated response of the target', () => {
	it.each(['truncate', 'hang-up'] as const)('%s: is never forwarded as complete', async fault => {
		const {target} = driver.instance('releases-1');
		target.faults.set(kind, fault);
		const body = `bottle ${fault}`;
		const response = oracle.record(body, await driver.callOnce('racks-1', call, body));
		target.faults.delete(kind);
		expect(response.verdict).toBe(Verdict.mayHaveRun);
		expect(oracle.violations(kind)).toEqual([]);
	});
});
