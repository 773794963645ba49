/**
 * What callers are told, whatever happens between the nodes: truthful refusals, bounded repeats, one final answer.
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
import {Placement} from './placement.js';
import {RequestFlows, type EntryAnswer} from './request-flow.js';
import {RetryBudget} from './retry-budget.js';
import {RootAdmission} from './root-admission.js';
import {SidecarMetrics} from './sidecar-metrics.js';
import {TargetRunner} from './target-runner.js';

type Sent = {host: string; request: ForwardedRequest; cancelled: boolean; settle(outcome: RunOutcome): void};

let clock: FakeClock;
let flows: RequestFlows;
let sent: Sent[];
let slack: number;
let unreachable: Set<string>;
/** Refusals that the next hand-overs get before they are sent. */
let refusedAtOnce: number;
let profile: CallProfile;

const headers = {
	attempt: 'x-attempt', remainingTime: 'x-remaining', signature: 'x-signature', expectedInstance: 'x-expected', notRun: 'x-not-run', callerService: 'x-caller',
};

const route = (name: string, repeatable: boolean, service = 'racks'): Route => ({
	name, host: 'shop', pathPrefix: `/${name}/`, idempotent: repeatable, timeoutMilliseconds: 1000, objectiveMilliseconds: 500, maximumTargets: 2, rank: 1,
	weightedServices: [{service, weight: 1}],
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
		name, service: name.startsWith('deep') ? 'intake' : 'racks', address: {host: `host-${name}`, port: 80}, failureDomain: 'a', slots: 4, state: 'ready',
		startedAtUnixMilliseconds: 0, reportCount: 1, coldMilliseconds: 0,
	};
}

beforeEach(() => {
	clock = new FakeClock();
	sent = [];
	slack = 100;
	unreachable = new Set();
	refusedAtOnce = 0;
	build(['one', 'two', 'three']);
});

function build(instances: string[]): void {
	const records = new FleetRecords({decode, heartbeatMilliseconds: 1500, now: () => clock.now()});
	for (const [index, key] of ['policy', ...instances].entries()) {
		records.apply({key, revision: index + 1, value: '{}'}, 'service');
	}

	profile = new CallProfile();
	const links = {
		accepts: ({host}: {host: string}) => !unreachable.has(host),
		handOver(address: {host: string}, request: ForwardedRequest, settle: (outcome: RunOutcome) => void) {
			const entry: Sent = {
				host: address.host, request, settle, cancelled: false,
			};
			sent.push(entry);
			if (refusedAtOnce > 0) {
				refusedAtOnce -= 1;
				settle(notRun(false));
			}

			return () => {
				entry.cancelled = true;
			};
		},
	};
	flows = new RequestFlows({
		service: 'entry', targetAddress: {host: 'own', port: 80}, peerPort: 1, headers, records, profile, clock,
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
	});
}

function ask(path: string, attempt = 'a1'): {answers: EntryAnswer[]; leave: () => void} {
	const answers: EntryAnswer[] = [];
	const leave = flows.handle({
		method: 'GET', host: 'shop', path, headers: ['X-Attempt', attempt], body: undefined, attempt, limitMilliseconds: 5000, receivedAt: clock.now(),
	}, answer => {
		answers.push(answer);
	});
	return {answers, leave};
}

const answered = (status: number): RunOutcome => ({
	result: 'answered', status, headers: ['X-Signature', 's'], body: Buffer.from('body'), unframed: false,
});
const notRun = (reachedTarget: boolean, reason = 'overloaded'): RunOutcome => ({
	result: 'not-run', reason, reachedTarget, roomInMilliseconds: 200,
});
const lost: RunOutcome = {result: 'may-have-run', reason: 'link-lost'};

describe('the final status after the outcomes of the instances asked', () => {
	it.each<[string, string, RunOutcome[], number, number]>([
		['an answer', '/book/', [answered(200)], 200, 1],
		['a failure of the target, not repeatable', '/book/', [answered(500)], 500, 1],
		['a failure of the target, then an answer', '/view/', [answered(500), answered(200)], 200, 2],
		['two failures of targets', '/view/', [answered(500), answered(500)], 500, 2],
		['lost, not repeatable', '/book/', [lost], 502, 1],
		['lost, then an answer', '/view/', [lost, answered(200)], 200, 2],
		['lost, then refused by the target', '/view/', [lost, notRun(true)], 502, 2],
		['refused by a target, then an answer', '/book/', [notRun(true), answered(200)], 200, 2],
		['refused by two targets', '/book/', [notRun(true), notRun(true)], 503, 2],
		['refused by a target, then lost', '/book/', [notRun(true), lost], 502, 2],
		['refused by a queue, then an answer', '/book/', [notRun(false), answered(200)], 200, 2],
		['refused by all queues asked', '/book/', [notRun(false), notRun(false), notRun(false)], 503, 3],
	])('%s', (_name, path, outcomes, status, asked) => {
		const {answers} = ask(path);
		for (const outcome of outcomes) {
			sent.at(-1)!.settle(outcome);
		}

		expect(answers.map(answer => answer.status)).toEqual([status]);
		expect(sent).toHaveLength(asked);
		expect(new Set(sent.map(({host}) => host)).size).toBe(asked);
	});
});

it('a refusal names when to come back', () => {
	const {answers} = ask('/book/');
	sent[0]!.settle(notRun(true));
	sent[1]!.settle(notRun(true));
	const list = answers[0]!.headers;
	expect(Number(list[list.indexOf('Retry-After') + 1])).toBeGreaterThan(0);
});

it('a request without an answer gets its final answer at the timeout of the route, and its work is ended', () => {
	const {answers} = ask('/book/');
	clock.advance(999);
	expect(answers).toEqual([]);
	clock.advance(2);
	expect(answers[0]!.status).toBe(504);
	expect(sent[0]!.cancelled).toBe(true);
	sent[0]!.settle(answered(200));
	expect(answers).toHaveLength(1);
});

it('work of a caller that left is ended and not repeated', () => {
	const {answers, leave} = ask('/view/');
	leave();
	sent[0]!.settle(lost);
	expect({cancelled: sent[0]!.cancelled, sent: sent.length, answers: answers.length}).toEqual({cancelled: true, sent: 1, answers: 0});
});

it.each<[string, (leave: () => void) => void]>([
	['its caller leaves', leave => {
		leave();
	}],
	['its time is over', () => {
		clock.advance(1001);
	}],
])('work that was sent after a refusal at once is ended where %s', (_name, end) => {
	refusedAtOnce = 1;
	const {leave} = ask('/view/');
	end(leave);
	expect(sent.map(({cancelled}) => cancelled)).toEqual([false, true]);
});

it('repeats end with the budget', () => {
	slack = 0;
	build(['one', 'two']);
	const {answers} = ask('/view/');
	sent[0]!.settle(answered(500));
	expect({sent: sent.length, status: answers[0]!.status}).toEqual({sent: 1, status: 500});
});

it('calls whose parent has ended earn no budget for repeats', () => {
	slack = 0;
	build(['one', 'two']);
	for (let call = 0; call < 50; call += 1) {
		ask('/view/', `ended.${call}`);
		sent.at(-1)!.settle(answered(200));
	}

	const {answers} = ask('/view/', 'root');
	sent.at(-1)!.settle(answered(500));
	expect({sent: sent.length, status: answers[0]!.status}).toEqual({sent: 51, status: 500});
});

describe('a request whose calls need another service', () => {
	it.each<[string, string[], number]>([
		['is refused where it enters while no instance of that service can be reached', ['host-deep-1', 'host-deep-2'], 503],
		['goes on while one can', ['host-deep-1'], 200],
	])('%s', (_name, hosts, status) => {
		build(['one', 'deep-1', 'deep-2']);
		for (let run = 0; run < 10; run += 1) {
			profile.noteRun('book');
			profile.noteCall('book', 'deep');
		}

		unreachable = new Set(hosts);
		const {answers} = ask('/book/');
		sent.at(0)?.settle(answered(200));
		expect(answers.map(answer => answer.status)).toEqual([status]);
		expect(sent).toHaveLength(status === 200 ? 1 : 0);
	});
});

it('without an instance the request is refused and did not run', () => {
	build([]);
	expect(ask('/book/').answers[0]!.status).toBe(503);
});
