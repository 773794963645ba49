/**
 * Guards against a node process that exposes an identity key secret or a token in its state dump, or that sends no metrics.
 */
import {StatsDStandIn} from '@hemlockthread/stand-ins';
import wreck from '@hapi/wreck';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {FleetDriver} from './fleet-driver.js';
import {cellarNetPolicy} from './plans.js';

const driver = new FleetDriver();
const receiver = new StatsDStandIn();
const secret = 'a secret that this test looks for, 32 characters or more';
const maximumDumpBytes = 1_000_000;

beforeAll(async () => {
	const port = await receiver.listen('127.0.0.1');
	await driver.start({
		policy: cellarNetPolicy,
		instances: [{
			name: 'releases-1', service: 'releases', failureDomain: 'akl-a', kinds: {withdrawal: {workMilliseconds: 1, downstreamCalls: []}},
			settings: {identityKeys: [{id: 'key-of-test', secret}], statsd: {host: '127.0.0.1', port}},
		}],
	});
});

afterAll(async () => {
	await driver.stop();
	await receiver.close();
});

describe('a node that served an irreversible call', () => {
	it('exposes neither its key secret nor a token in the state dump', async () => {
		const offer = await driver.call('releases-1', 'releases/withdrawal', {body: 'bottle 12'});
		const response = await driver.call('releases-1', 'releases/withdrawal', {body: 'bottle 12', identity: offer.identity});
		expect(response).toMatchObject({status: 200, verdict: 'ran'});
		const {payload} = await wreck.get<Uint8Array>(`${driver.instance('releases-1').operatorUrl}/state`);
		const dump = payload.toString();
		expect(JSON.parse(dump)).toMatchObject({node: {instance: 'releases-1'}, operations: {entries: 1}});
		expect(payload.byteLength).toBeLessThan(maximumDumpBytes);
		for (const hidden of [secret, offer.identity!, offer.identity!.split('.')[1]!, 'eyJ']) {
			expect(dump).not.toContain(hidden);
		}
	});

	it('sends metrics with its tags', async () => {
		const line = await receiver.waitFor('hemlockthread.call.answered');
		expect(line).toMatchObject({type: 'c', tags: {instance: 'releases-1', service: 'releases'}});
	});
});
