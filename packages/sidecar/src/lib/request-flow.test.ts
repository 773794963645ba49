/**
 * Tests of the final response for all outcomes of the instances tried: a refusal only if nothing ran, a bounded number of retries and
 * exactly one response.
 */
import {Buffer} from 'node:buffer';
import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {CallProfile} from './call-profile.js';
import {DecisionLog} from './decision-log.js';
import {FakeClock} from './fake-clock.js';
import type {DecodedRecord, Route, TargetInstance} from './fleet-model.js';
import {FleetRecords} from './fleet-records.js';
import type {RunOutcome} from './link-messages.js';
import type {ForwardedRequest} from './peer-link.js';
import type {PeerLinks} from './peer-links.js';
import {Neighbourhood} from './neighbourhood.js';
import {Placement} from './placement.js';
import {RequestHandler, type EntryResponse, type StopTimes} from './request-flow.js';
import {RetryBudget} from './retry-budget.js';
import {RootAdmission} from './root-admission.js';
import {SidecarMetrics} from './sidecar-metrics.js';
import {TargetRunner} from './target-runner.js';

type Sent = {host: string; request: ForwardedRequest; cancelled: boolean; settle(outcome: RunOutcome): void};

let clock: FakeClock;
let handler: RequestHandler;
let sent: Sent[];
let slack: number;
let unreachable: Set<string>;
/** Number of the next forwarded requests that are refused immediately. */
let immediateRefusals: number;
let profile: CallProfile;
let stopTimes: StopTimes | undefined;

/** Name of the instance beside this node. */
const ownName = 'own';

const headers = {
	attempt: 'x-attempt', remainingTime: 'x-remaining', signature: 'x-signature', expectedInstance: 'x-expected', notRun: 'x-not-run', callerService: 'x-caller',
};

const route = (name: string, idempotent: boolean, service = 'racks'): Route => ({
	name, host: 'shop', pathPrefix: `/${name}/`, idempotent, timeoutMilliseconds: 1000, objectiveMilliseconds: 500, maximumTargets: 2, rank: 1,
	serviceWeights: [{service, weight: 1}],
});

const decode = (key: string): DecodedRecord => key === 'policy'
	? {
		type: 'policy', policy: {
			version: 1, routes: [route('view', true), route('book', false), route('deep', true, 'intake')], services: new Map(['racks', 'intake'].map(name => [name, {name, maximumConnections: 9}])),
			limits: {
				maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1,
			},
		},
	}
	: {type: 'instance', instance: instance(key)};

function instance(name: string): TargetInstance {
	return {
		name, service: name.startsWith('deep') ? 'intake' : 'racks', address: {host: name === ownName ? 'own' : `host-${name}`, port: 80}, failureDomain: 'a', slots: 4, state: 'ready',
		startedAtUnixMilliseconds: 0, reportCount: 1, coldMilliseconds: 0,
	};
}

beforeEach(() => {
	clock = new FakeClock();
	sent = [];
	slack = 100;
	unreachable = new Set();
	immediateRefusals = 0;
	stopTimes = undefined;
	build(['one', 'two', 'three']);
});

function build(instances: string[]): void {
	const records = new FleetRecords({decode, heartbeatMilliseconds: 1500, now: () => clock.now()});
	for (const [index, key] of ['policy', ...instances].entries()) {
		records.apply({key, revision: index + 1, value: '{}'}, 'service');
	}

	profile = new CallProfile();
	const links = {
		isAvailable: ({host}: {host: string}) => !unreachable.has(host),
		forward(address: {host: string}, request: ForwardedRequest, settle: (outcome: RunOutcome) => void) {
			const entry: Sent = {
				host: address.host, request, settle, cancelled: false,
			};
			sent.push(entry);
			if (immediateRefusals > 0) {
				immediateRefusals -= 1;
				settle(notRun(false));
			}

			return () => {
				entry.cancelled = true;
			};
		},
	};
	handler = new RequestHandler({
		service: 'racks', targetAddress: {host: 'own', port: 80}, peerPort: 1, headers, records, profile, clock,
		neighbourhood: new Neighbourhood({host: 'own', failureDomain: 'a'}, () => records.instances()), areRecordsConfirmed: () => true,
		placement: new Placement('a', clock, () => 0.5), parentOfCall: attempt => attempt.split('.', 2).length > 1 ? attempt.split('.', 1)[0] : undefined,
		budget: new RetryBudget({
			ratio: 0.2, slack, windowMilliseconds: 10_000, nodeCount: () => 1, clock,
		}),
		admission: new RootAdmission(() => 0.5), links: links as unknown as PeerLinks,
		runner: new TargetRunner({
			address: {host: 'own', port: 80}, slots: 1, headers, profile, clock, departures: records.departures,
		}),
		log: new DecisionLog({}, clock, (_text, done) => {
			done(null);
		}),
		metrics: new SidecarMetrics(), random: () => 0.5,
		stopTimes: () => stopTimes,
	});
}

function send(path: string, attempt = 'a1'): {responses: EntryResponse[]; cancel: () => void} {
	const responses: EntryResponse[] = [];
	const cancel = handler.handle({
		method: 'GET', host: 'shop', path, headers: ['X-Attempt', attempt], body: undefined, attempt, remainingMilliseconds: 5000, receivedAt: clock.now(),
	}, response => {
		responses.push(response);
	});
	return {responses, cancel};
}

const answered = (status: number): RunOutcome => ({
	result: 'answered', status, headers: ['X-Signature', 's'], body: Buffer.from('body'),
});
const notRun = (reachedTarget: boolean, reason = 'overloaded'): RunOutcome => ({
	result: 'not-run', reason, reachedTarget, estimatedWaitMilliseconds: 200,
});
const lost: RunOutcome = {result: 'may-have-run', reason: 'link-lost'};

describe('the final status for the outcomes of the instances tried', () => {
	it.each<[string, string, RunOutcome[], number, number]>([
		['a response', '/book/', [answered(200)], 200, 1],
		['a failure of the target, not idempotent', '/book/', [answered(500)], 500, 1],
		['a failure of the target, then a response', '/view/', [answered(500), answered(200)], 200, 2],
		['two failures of targets', '/view/', [answered(500), answered(500)], 500, 2],
		['lost, not idempotent', '/book/', [lost], 502, 1],
		['lost, then a response', '/view/', [lost, answered(200)], 200, 2],
		['lost, then refused by the target', '/view/', [lost, notRun(true)], 502, 2],
		['refused by a target, then a response', '/book/', [notRun(true), answered(200)], 200, 2],
		['refused by two targets', '/book/', [notRun(true), notRun(true)], 503, 2],
		['refused by a target, then lost', '/book/', [notRun(true), lost], 502, 2],
		['refused by a queue, then a response', '/book/', [notRun(false), answered(200)], 200, 2],
		['refused by all queues tried', '/book/', [notRun(false), notRun(false), notRun(false)], 503, 3],
	])('%s', (_name, path, outcomes, status, tried) => {
		const {responses} = send(path);
		for (const outcome of outcomes) {
			sent.at(-1)!.settle(outcome);
		}

		expect(responses.map(response => response.status)).toEqual([status]);
		expect(sent).toHaveLength(tried);
		expect(new Set(sent.map(({host}) => host)).size).toBe(tried);
	});
});

it('a refusal has a Retry-After header', () => {
	const {responses} = send('/book/');
	sent[0]!.settle(notRun(true));
	sent[1]!.settle(notRun(true));
	const list = responses[0]!.headers;
	expect(Number(list[list.indexOf('Retry-After') + 1])).toBeGreaterThan(0);
});

it('a request that no target responds to gets its final response at the timeout of the route, and its work is cancelled', () => {
	const {responses} = send('/book/');
	clock.advance(999);
	expect(responses).toEqual([]);
	clock.advance(2);
	expect(responses[0]!.status).toBe(504);
	expect(sent[0]!.cancelled).toBe(true);
	sent[0]!.settle(answered(200));
	expect(responses).toHaveLength(1);
});

it('the work of a disconnected caller is cancelled and not retried', () => {
	const {responses, cancel} = send('/view/');
	cancel();
	sent[0]!.settle(lost);
	expect({cancelled: sent[0]!.cancelled, sent: sent.length, responses: responses.length}).toEqual({cancelled: true, sent: 1, responses: 0});
});

it.each<[string, (cancel: () => void) => void]>([
	['its caller disconnects', cancel => {
		cancel();
	}],
	['its deadline passes', () => {
		clock.advance(1001);
	}],
])('work that was sent after an immediate refusal is cancelled when %s', (_name, end) => {
	immediateRefusals = 1;
	const {cancel} = send('/view/');
	end(cancel);
	expect(sent.map(({cancelled}) => cancelled)).toEqual([false, true]);
});

it('retries stop when the budget is exhausted', () => {
	slack = 0;
	build(['one', 'two']);
	const {responses} = send('/view/');
	sent[0]!.settle(answered(500));
	expect({sent: sent.length, status: responses[0]!.status}).toEqual({sent: 1, status: 500});
});

it('downstream calls whose parent has ended add nothing to the retry budget', () => {
	slack = 0;
	build(['one', 'two']);
	for (let call = 0; call < 50; call += 1) {
		send('/view/', `ended.${call}`);
		sent.at(-1)!.settle(answered(200));
	}

	const {responses} = send('/view/', 'root');
	sent.at(-1)!.settle(answered(500));
	expect({sent: sent.length, status: responses[0]!.status}).toEqual({sent: 51, status: 500});
});

describe('a request that requires a downstream service', () => {
	it.each<[string, string[], number]>([
		['is refused on receipt while no instance of that service is reachable', ['host-deep-1', 'host-deep-2'], 503],
		['is forwarded while one is reachable', ['host-deep-1'], 200],
	])('%s', (_name, hosts, status) => {
		build(['one', 'deep-1', 'deep-2']);
		for (let run = 0; run < 10; run += 1) {
			profile.recordRun('book');
			profile.recordCall('book', 'deep');
		}

		unreachable = new Set(hosts);
		const {responses} = send('/book/');
		sent.at(0)?.settle(answered(200));
		expect(responses.map(response => response.status)).toEqual([status]);
		expect(sent).toHaveLength(status === 200 ? 1 : 0);
	});
});

it('a request that requires a downstream service is refused on receipt while no instance of the neighbourhood is reachable', () => {
	build(['one', ...Array.from({length: 12}, (_, index) => `deep-${index}`)]);
	for (let run = 0; run < 10; run += 1) {
		profile.recordRun('book');
		profile.recordCall('book', 'deep');
	}

	// The node has no links to the others, so that it can't know whether they are reachable.
	unreachable = new Set(handler.dependencies.neighbourhood.instancesOf('intake').map(({address}) => address.host));
	expect(unreachable.size).toBeLessThan(12);
	expect(send('/book/').responses.map(({status}) => status)).toEqual([503]);
	expect(sent).toHaveLength(0);
});

it('a request goes to another instance while the one beside this node is busy', () => {
	build([ownName, 'two']);
	handler.dependencies.runner.queue.submit({
		instance: ownName, rank: 0, latestStartAt: clock.now() + 1000, start: () => undefined, refuse: () => undefined,
	});
	send('/book/');
	expect(sent.map(({host}) => host)).toEqual(['host-two']);
});

describe('a request at a node that stops is never cut off', () => {
	// Requests have a timeout of 1000 ms and an objective of 500 ms.
	it.each<[string, {sinceStop: number; untilEnd: number}, number]>([
		['is served with time for its whole timeout', {sinceStop: 3000, untilEnd: 1300}, 200],
		['is served within the objective while callers still send', {sinceStop: 1000, untilEnd: 1000}, 200],
		['is refused without time for its objective', {sinceStop: 1000, untilEnd: 600}, 503],
		['is refused without time for its timeout once callers have stopped', {sinceStop: 3000, untilEnd: 1100}, 503],
	])('%s', (_name, {sinceStop, untilEnd}, status) => {
		stopTimes = {requestedAt: clock.now() - sinceStop, endsAt: clock.now() + untilEnd};
		const {responses} = send('/book/');
		sent.at(0)?.settle(answered(200));
		expect(responses.map(response => response.status)).toEqual([status]);
		expect(sent).toHaveLength(status === 200 ? 1 : 0);
	});

	it('gives targets no more time than the node has left', () => {
		stopTimes = {requestedAt: clock.now(), endsAt: clock.now() + 900};
		send('/book/');
		expect(sent[0]!.request.remainingMilliseconds).toBe(700);
	});
});

it('without an instance the request is refused and did not run', () => {
	build([]);
	expect(send('/book/').responses[0]!.status).toBe(503);
});
