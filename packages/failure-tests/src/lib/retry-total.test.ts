/**
 * Retry total of one request over its chain of calls. Guards against retries that multiply with depth, with targets that retry
 * on their side, and with targets that drop the context.
 */
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {FleetDriver, type FleetPlan} from '@hemlockthread/test-driver';
import {CallOracle} from './call-oracle.js';

const retryTotal = 3;
const depth = 4;
const policy = {
	schemaVersion: 1,
	kinds: [
		...Array.from({length: depth}, (_, index) => ({
			name: `view-${index + 1}`, worth: 1, protected: false, irreversible: false, retries: retryTotal, lifetimeMilliseconds: 20_000,
		})),
		...Array.from({length: depth}, (_, index) => ({
			name: `book-${index + 1}`, worth: 10, protected: true, irreversible: true, retries: retryTotal, lifetimeMilliseconds: 20_000,
		})),
	],
	identityLifetimeMilliseconds: 60_000,
	coldStartRampMilliseconds: 0,
};

/** A chain of services with two instances each, where each service calls the next. */
function chainPlan(options: {passContext: boolean; downstreamAttempts: number}): FleetPlan {
	return {
		policy,
		instances: Array.from({length: depth}, (_, level) => ['suva-a', 'nadi-a'].map((failureDomain, index) => {
			const last = level === depth - 1;
			const kinds = Object.fromEntries(['view', 'book'].map(name => [`${name}-${level + 1}`, {
				workMilliseconds: 1,
				downstreamCalls: last ? [] : [{service: `level-${level + 2}`, kind: `${name}-${level + 2}`}],
			}]));
			return {
				name: `level-${level + 1}-${index + 1}`, service: `level-${level + 1}`, failureDomain, kinds, ...options,
			};
		})).flat(),
	};
}

let driver: FleetDriver;

afterEach(async () => {
	await driver.stop();
});

function attemptsAt(oracle: CallOracle, kind: string, body: string): number[] {
	return Array.from({length: depth}, (_, level) => oracle.runsOf(`${kind}-${level + 1}`, body).length);
}

describe('the deepest service fails', () => {
	it.each([
		{
			name: 'targets that pass the context', passContext: true, downstreamAttempts: 1, kind: 'view', fault: 'hang-up',
		},
		{
			name: 'targets that make five attempts', passContext: true, downstreamAttempts: 5, kind: 'view', fault: 'hang-up',
		},
		{
			name: 'targets that retry complete error responses', passContext: true, downstreamAttempts: 5, kind: 'view', fault: 'fail',
		},
		{
			name: 'targets that drop the context and retry', passContext: false, downstreamAttempts: 5, kind: 'view', fault: 'hang-up',
		},
		{
			name: 'irreversible downstream calls of targets that retry', passContext: true, downstreamAttempts: 5, kind: 'book', fault: 'fail',
		},
		{
			name: 'irreversible downstream calls whose targets declare that they did not run', passContext: true, downstreamAttempts: 5, kind: 'book', fault: 'shed',
		},
	] as const)('$name: extra attempts over all services stay within the total', async ({passContext, downstreamAttempts, kind, fault}) => {
		driver = new FleetDriver();
		const oracle = new CallOracle(driver);
		await driver.start(chainPlan({passContext, downstreamAttempts}));
		for (const index of [1, 2]) {
			driver.instance(`level-${depth}-${index}`).target.faults.set(`${kind}-${depth}`, fault);
		}

		const call = `level-1/${kind}-1`;
		const first = await driver.call('level-1-1', call, {body: 'request'});
		let {identity} = first;
		for (const through of ['level-1-1', 'level-1-2', 'level-2-1', 'level-3-1', 'level-1-1', 'level-4-2']) {
			if (kind === 'view') {
				break;
			}

			const response = await driver.call(through, call, {body: 'request', identity});
			identity = response.identity ?? identity;
		}

		const attempts = attemptsAt(oracle, kind, 'request');
		const extra = attempts.reduce((sum, count) => sum + Math.max(0, count - 1), 0);
		expect(extra, `attempts by depth: ${attempts.join(', ')}`).toBeLessThanOrEqual(retryTotal);
		if (kind === 'book') {
			expect(Math.max(...attempts), 'an irreversible downstream call ran twice').toBeLessThanOrEqual(1);
		}
	});
});

describe('a target that drops the context', () => {
	it('can\'t make an irreversible call while several calls are in progress', async () => {
		driver = new FleetDriver();
		const oracle = new CallOracle(driver);
		await driver.start(chainPlan({passContext: false, downstreamAttempts: 1}));
		for (const name of ['level-1-1', 'level-1-2']) {
			driver.instance(name).target.slowness = 100;
		}

		await Promise.all(['first', 'second', 'third', 'fourth', 'fifth', 'sixth'].map(async body => driver.callOnce('level-1-1', 'level-1/book-1', body)));
		const states = await Promise.all(['level-1-1', 'level-1-2'].map(async name => driver.state(name)));
		const detached = states.map(state => state.counters?.['call.detached'] as number | undefined ?? 0);
		expect(detached[0]! + detached[1]!).toBeGreaterThan(0);
		for (const body of ['first', 'second', 'third', 'fourth', 'fifth', 'sixth']) {
			expect(oracle.runsOf('book-2', body).length).toBeLessThanOrEqual(1);
		}
	});
});
