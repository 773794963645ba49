/**
 * Retries of a forwarded call, and the outcomes that it reports to routing. The local instance has a fake executor.
 */
import {randomUUID} from 'node:crypto';
import {IdentityAuthority, ProcessClock, RetryAllowance} from '@hemlockthread/identity';
import type {FleetInstance} from '@hemlockthread/membership';
import type {CallOutcome, Selection} from '@hemlockthread/routing';
import {
	RefusalReason, Verdict, type RefusalReasonName, type VerdictName,
} from '@hemlockthread/verdict';
import {describe, expect, it} from 'vitest';
import {CallForwarder} from './call-forwarder.js';
import {refusal, type Call} from './call.js';
import type {NodeTiming} from './dependencies.js';

const self = {
	instance: 'racks-1', service: 'racks', incarnation: randomUUID(), leaving: new AbortController().signal, leave: () => undefined, isListedAsLeaving: false,
};
const instance: FleetInstance = {
	name: self.instance, service: 'racks', failureDomain: 'here', region: 'test', peerAddress: '', callerAddress: '', operatorAddress: '', slots: 1, state: 'live',
};
const timing: NodeTiming = {now: () => 0, wait: async () => undefined, random: () => 0.5};
const knownLevel = 300;
const authority = new IdentityAuthority([{id: 'test', secret: 'a secret for tests with 32 characters or more'}]);

/** Forwards one call whose attempts all have the same result. */
async function forward(controls: 'on' | 'off', verdict: VerdictName, reason: RefusalReasonName, retries: number, refuses = false) {
	const outcomes: CallOutcome[] = [];
	const selection: Selection = {
		instance,
		finish(outcome) {
			outcomes.push(outcome);
		},
	};
	const forwarder = new CallForwarder(self, {current: undefined}, {instance: () => instance, hasService: () => true}, {
		choose: () => refuses ? 'overloaded' : selection,
		begin: () => selection,
		levelOf: () => knownLevel,
	}, {
		async connect() {
			throw new Error('unexpected connection: the only instance is local');
		},
	}, {execute: async () => refusal(verdict, reason)}, authority, new ProcessClock(), {count: () => undefined}, timing, controls);
	const call: Call = {
		service: 'racks', kind: 'browse', rootKind: 'browse', rootIdentifier: 'root', priority: 1, deadlineAt: 1000, depth: 1, isRetry: false,
		message: {
			method: 'GET', path: '', headers: {}, body: new Uint8Array(0),
		},
		allowance: new RetryAllowance(retries), signal: new AbortController().signal,
	};
	return {result: await forwarder.forward(call), outcomes};
}

describe('attempts of one hop', () => {
	const cases: Array<{failure: string; controls: 'on' | 'off'; reason: RefusalReasonName; retries: number; attempts: number}> = [
		{
			failure: 'a retry beyond the allowance', controls: 'on', reason: RefusalReason.targetFailed, retries: 0, attempts: 1,
		},
		{
			failure: 'a retry of an overloaded instance', controls: 'on', reason: RefusalReason.overloaded, retries: 5, attempts: 1,
		},
		{
			failure: 'a baseline that respects the allowance', controls: 'off', reason: RefusalReason.targetFailed, retries: 0, attempts: 3,
		},
		{
			failure: 'a baseline that does not retry an overloaded instance', controls: 'off', reason: RefusalReason.overloaded, retries: 0, attempts: 3,
		},
		{
			failure: 'a baseline without a bound on attempts', controls: 'off', reason: RefusalReason.leaving, retries: 9, attempts: 3,
		},
	];

	it.each(cases)('guards against: $failure', async ({controls, reason, retries, attempts}) => {
		const {outcomes} = await forward(controls, Verdict.mayHaveRun, reason, retries);
		expect(outcomes).toHaveLength(attempts);
	});
});

describe('outcomes reported to routing', () => {
	const cases: Array<{verdict: VerdictName; reason: RefusalReasonName; outcome: CallOutcome}> = [
		{verdict: Verdict.didNotRun, reason: RefusalReason.overloaded, outcome: 'refused'},
		{verdict: Verdict.didNotRun, reason: RefusalReason.connectionLost, outcome: 'connection-lost'},
		{verdict: Verdict.mayHaveRun, reason: RefusalReason.connectionLost, outcome: 'connection-lost'},
		{verdict: Verdict.mayHaveRun, reason: RefusalReason.deadlineExceeded, outcome: 'timed-out'},
		{verdict: Verdict.mayHaveRun, reason: RefusalReason.targetFailed, outcome: 'failed'},
	];

	it.each(cases)('$verdict, $reason counts as $outcome', async ({verdict, reason, outcome}) => {
		const {outcomes} = await forward('on', verdict, reason, 0);
		expect(outcomes[0]).toBe(outcome);
	});

	it('returns the known level upstream when every candidate refuses the priority', async () => {
		const {result} = await forward('on', Verdict.didNotRun, RefusalReason.overloaded, 0, true);
		expect(result).toMatchObject({reason: RefusalReason.overloaded, level: knownLevel, retryAfterMilliseconds: 1000});
	});
});
