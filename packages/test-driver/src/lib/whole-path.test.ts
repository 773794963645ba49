/**
 * Guards against failures of the complete call path, from a caller through an entry node to a chain of three targets, each
 * with its node in a separate process.
 */
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {FleetDriver} from './fleet-driver.js';
import {cellarNetPlan} from './plans.js';

const driver = new FleetDriver();

beforeAll(async () => {
	await driver.start(cellarNetPlan());
});

afterAll(async () => {
	await driver.stop();
});

describe('complete call path', () => {
	it('serves a reversible call through three services', async () => {
		const response = await driver.call('racks-1', 'racks/stock-view', {body: 'rack 7'});
		expect(response).toMatchObject({status: 200, verdict: 'ran'});
		expect(JSON.parse(response.body)).toMatchObject({service: 'racks', body: 'rack 7'});
		expect(driver.instance('provenance-1').target.runs.length + driver.instance('provenance-2').target.runs.length).toBe(1);
	});

	it('runs a withdrawal once and replays its response through another node', async () => {
		const offer = await driver.call('racks-1', 'releases/withdrawal', {body: 'bottle 12'});
		expect(offer).toMatchObject({status: 428, verdict: 'did-not-run', reason: 'identity-needed'});
		const first = await driver.call('racks-1', 'releases/withdrawal', {body: 'bottle 12', identity: offer.identity});
		const second = await driver.call('provenance-2', 'releases/withdrawal', {body: 'bottle 12', identity: offer.identity});
		expect(first).toMatchObject({status: 200, verdict: 'ran'});
		expect(second.body).toBe(first.body);
		const runs = ['releases-1', 'releases-2'].flatMap(name => driver.instance(name).target.runs).filter(run => run.kind === 'withdrawal');
		expect(runs).toHaveLength(1);
	});
});
