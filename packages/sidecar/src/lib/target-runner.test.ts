/**
 * Tests that a leaving target receives no further requests: not from senders with an older record, from its queue or over a connection
 * that is still opening.
 */
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {CallProfile} from './call-profile.js';
import {processClock} from './clock.js';
import {DepartureCause, Departures} from './departures.js';
import type {TargetInstance} from './fleet-model.js';
import type {RunOutcome} from './link-messages.js';
import {TargetRunner} from './target-runner.js';

const headers = {
	attempt: 'x-attempt', remainingTime: 'x-remaining', signature: 'x-signature', expectedInstance: 'x-expected', notRun: 'x-not-run', callerService: 'x-caller',
};

const leavingInstance: TargetInstance = {
	name: 'i-1', service: 'racks', address: {host: '127.0.0.1', port: 80}, failureDomain: 'a', slots: 1, state: 'draining',
	startedAtUnixMilliseconds: 7, reportCount: 1, coldMilliseconds: 0,
};

/** Longer than a connection and a request over loopback take. */
const settleMilliseconds = 100;

let server: Server;
let arrived: string[];
let sockets: Socket[];
let departures: Departures;
let runner: TargetRunner;

beforeEach(async () => {
	arrived = [];
	sockets = [];
	server = createServer(socket => {
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.on('data', bytes => {
			arrived.push(/x-attempt: (?<id>\w+)/iv.exec(String(bytes))!.groups!.id!);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	departures = new Departures(() => processClock.now());
	runner = new TargetRunner({
		address: {host: '127.0.0.1', port: (server.address() as AddressInfo).port}, slots: 1, headers, profile: new CallProfile(), clock: processClock, departures,
	});
});

afterEach(() => {
	for (const socket of sockets) {
		socket.destroy();
	}

	server.close();
});

function run(attempt: string): {outcomes: RunOutcome[]; cancel: () => void} {
	const outcomes: RunOutcome[] = [];
	const deadlineAt = processClock.now() + 5000;
	const cancel = runner.run({
		instance: 'i-1', route: 'view', attempt, callerService: 'racks', rank: 1, deadlineAt, latestStartAt: deadlineAt, method: 'GET', path: '/',
		headers: ['X-Attempt', attempt], body: undefined,
	}, outcome => {
		outcomes.push(outcome);
	});
	return {outcomes, cancel};
}

const leave = () => {
	departures.add(leavingInstance, DepartureCause.draining, 5);
};

const waitForArrivals = async (count: number) => expect.poll(() => arrived.length).toBe(count);
const refused = [{
	result: 'not-run', reason: 'instance-leaving', reachedTarget: false, estimatedWaitMilliseconds: 0,
}];

/** Guards against a request that ran and is reported as not run, because parts of two answers were read as one. */
describe('a statement that the request did not run', () => {
	const mayHaveRun = (status: number) => ({result: 'may-have-run', reason: `answer-contradictory-${status}`});
	const notRun = (status: number) => ({result: 'not-run', reason: `target-refused-${status}`, reachedTarget: true});

	it.each<[name: string, status: number, statement: string, expected: Record<string, unknown>]>([
		['with status 400 is believed', 400, 'X-Not-Run: 1', notRun(400)],
		['with status 429 is believed', 429, 'X-Not-Run: 1', notRun(429)],
		['with status 503 is believed', 503, 'X-Not-Run: 1', notRun(503)],
		['with a success is a contradiction', 200, 'X-Not-Run: 1', mayHaveRun(200)],
		['with a signed success is a contradiction', 200, 'X-Signature: s\r\nX-Not-Run: 1', mayHaveRun(200)],
		['with a failure of work that ran is a contradiction', 500, 'X-Signature: s\r\nX-Not-Run: 1', mayHaveRun(500)],
		['given twice is a contradiction', 503, 'X-Not-Run: 1\r\nX-Not-Run: 1', mayHaveRun(503)],
		['replaced by a second signature is a contradiction', 200, 'X-Signature: s\r\nX-Signature: s', mayHaveRun(200)],
	])('%s', async (_name, status, statement, expected) => {
		const {outcomes} = run('first');
		await waitForArrivals(1);
		sockets[0]!.write(`HTTP/1.1 ${status} Status\r\nX-Attempt: first\r\n${statement}\r\nContent-Length: 0\r\n\r\n`);
		await expect.poll(() => outcomes).toMatchObject([expected]);
	});
});

describe('a leaving target', () => {
	it('gets no request from a sender with an older record', () => {
		leave();
		const {outcomes} = run('stale');
		expect(outcomes).toEqual(refused);
		expect(runner.load).toMatchObject({active: 0, waiting: 0});
	});

	it('gets no request from its queue, and completes the running one', async () => {
		const first = run('first');
		const second = run('second');
		await waitForArrivals(1);
		leave();
		expect(second.outcomes).toEqual(refused);
		sockets[0]!.write('HTTP/1.1 200 OK\r\nX-Attempt: first\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok');
		await expect.poll(() => first.outcomes).toMatchObject([{result: 'answered', status: 200}]);
		expect(arrived).toEqual(['first']);
		expect(runner.load).toMatchObject({active: 0, waiting: 0});
	});

	it('gets no request whose connection is still opening', async () => {
		const {outcomes} = run('opening');
		leave();
		expect(outcomes).toEqual(refused);
		await delay(settleMilliseconds);
		expect(arrived).toEqual([]);
		expect(runner.load.active).toBe(0);
	});

	it('gets requests again after a later run of the target is known', async () => {
		leave();
		departures.applyTo({...leavingInstance, state: 'ready', startedAtUnixMilliseconds: 8});
		const {cancel} = run('again');
		await waitForArrivals(1);
		cancel();
	});
});
