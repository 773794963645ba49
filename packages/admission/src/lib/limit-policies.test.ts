/**
 * Limit policies against simple closed-loop targets. Guards against a limit that ignores congestion, that gives up slots
 * because a downstream service is slow, or that leaves the range from one call to the published slots.
 */
import {describe, expect, it} from 'vitest';
import {limitPolicies, type LimitPolicyName} from './limit-policies.js';

const slots = 60;
const uncongestedLatency = 20;

/** Runs a number of calls at the full limit against a target whose latency depends on the calls in progress. */
function drive(policy: ReturnType<(typeof limitPolicies)[LimitPolicyName]>, calls: number, latencyAt: (inProgress: number) => number, succeeded = true): void {
	let now = 0;
	for (let call = 0; call < calls; call += 1) {
		const inProgress = policy.limit;
		const latencyMilliseconds = latencyAt(inProgress);
		now += latencyMilliseconds / inProgress;
		policy.observe({
			now, latencyMilliseconds, inProgress, succeeded,
		});
	}
}

const uncongested = () => uncongestedLatency;
const congested = (inProgress: number) => uncongestedLatency * Math.max(1, inProgress / 20);
const slowDownstream = () => uncongestedLatency * 10;

describe('limit policies', () => {
	const cases: Array<{name: LimitPolicyName; failure: string; after: (inProgress: number) => number; calls: number; atLeast: number; atMost: number}> = [
		{
			name: 'fixed', calls: 20_000, failure: 'the limit leaves the published slots', after: congested, atLeast: slots, atMost: slots,
		},
		{
			name: 'delay-gradient', calls: 800, failure: 'congestion leaves the limit unchanged', after: congested, atLeast: 1, atMost: 50,
		},
		{
			name: 'additive-increase', calls: 2000, failure: 'congestion leaves the limit unchanged', after: congested, atLeast: 10, atMost: 35,
		},
		{
			name: 'throughput-probing', calls: 200_000, failure: 'congestion leaves the limit unchanged', after: congested, atLeast: 10, atMost: 35,
		},
		{
			name: 'throughput-probing', calls: 20_000, failure: 'a slow downstream service costs slots', after: slowDownstream, atLeast: 50, atMost: slots,
		},
		{
			name: 'throughput-probing', calls: 20_000, failure: 'an uncongested target loses slots', after: uncongested, atLeast: slots, atMost: slots,
		},
	];

	it.each(cases)('$name guards against: $failure', ({name, after, calls, atLeast, atMost}) => {
		const policy = limitPolicies[name](slots);
		drive(policy, 1000, uncongested);
		drive(policy, calls, after);
		expect(policy.limit).toBeGreaterThanOrEqual(atLeast);
		expect(policy.limit).toBeLessThanOrEqual(atMost);
	});

	it.each(Object.keys(limitPolicies) as LimitPolicyName[])('%s stays between one call and the published slots under any latency', name => {
		const policy = limitPolicies[name](slots);
		for (const latencyAt of [uncongested, congested, () => 0, slowDownstream, (inProgress: number) => inProgress ** 3, uncongested]) {
			drive(policy, 3000, latencyAt);
			drive(policy, 200, latencyAt, false);
			expect(policy.limit).toBeGreaterThanOrEqual(1);
			expect(policy.limit).toBeLessThanOrEqual(slots);
		}
	});

	it.each(['delay-gradient', 'additive-increase', 'throughput-probing'] as const)('%s regains the slots after congestion', name => {
		const policy = limitPolicies[name](slots);
		drive(policy, 1000, uncongested);
		drive(policy, 20_000, congested);
		drive(policy, 20_000, uncongested);
		expect(policy.limit).toBeGreaterThanOrEqual(50);
	});
});
