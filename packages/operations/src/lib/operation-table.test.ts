/**
 * The rules of the operation table, each with the failure that it prevents.
 */
import {ProcessClock, type OperationIdentity} from '@hemlockthread/identity';
import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {OperationTable, operationTableOptions, type BeginResult} from './operation-table.js';
import type {Operation} from './operation.js';

const self = {instance: 'releases-1', incarnation: 'first'};
const startedAt = 1_700_000_000_000;
const lifetime = 60_000;
const bound = operationTableOptions.maximumClockSkewMilliseconds;
const answer = (bytes: number) => ({status: 200, headers: {}, body: new Uint8Array(bytes)});

let now = 0;
let clock: ProcessClock;
let table: OperationTable;

beforeEach(() => {
	now = 0;
	clock = new ProcessClock(() => startedAt, () => now);
	table = new OperationTable(self, clock, {...operationTableOptions, maximumEntries: 3, maximumResponseBytes: 100});
});

function identity(changes: Partial<OperationIdentity> = {}): OperationIdentity {
	const issuedAt = changes.issuedAt ?? clock.now();
	return {
		operation: 'a', service: 'releases', kind: 'withdrawal', executor: self.instance, executorAddress: '127.0.0.1:1',
		incarnation: self.incarnation, failureDomain: 'akl-a', issuedAt, expiresAt: issuedAt + lifetime, generation: 0, ...changes,
	};
}

function begin(changes: Partial<OperationIdentity> = {}, fingerprint = 'f', retries: number | undefined = 3): BeginResult {
	return table.begin({identity: identity(changes), fingerprint, retries});
}

function attempt(changes: Partial<OperationIdentity> = {}): Operation {
	const begun = begin(changes);
	if (begun.action !== 'attempt') {
		throw new Error(`expected an attempt, got ${begun.action}`);
	}

	return begun.operation;
}

function started(changes: Partial<OperationIdentity> = {}): Operation {
	const operation = attempt(changes);
	expect(operation.start(operation.generation)).toBe(true);
	return operation;
}

const endings: Record<string, (operation: Operation) => void> = {
	open() {
		// Held and not started.
	},
	running(operation) {
		operation.start(0);
	},
	done(operation) {
		operation.start(0);
		table.finish(operation, answer(1));
	},
	unknown(operation) {
		operation.start(0);
		operation.markOutcomeUnknown();
	},
	reopened(operation) {
		operation.start(0);
		operation.reopen();
	},
};

describe('a repeated call', () => {
	it.each([
		['open', {action: 'attempt'}],
		['running', {action: 'join'}],
		['done', {action: 'replay'}],
		['unknown', {action: 'refuse', verdict: 'may-have-run', reason: 'outcome-unknown'}],
		['reopened', {action: 'refuse', verdict: 'did-not-run', reason: 'identity-superseded'}],
	])('on an entry that is %s does not cause a second run', (state, expected) => {
		endings[state]!(attempt());
		expect(begin()).toMatchObject(expected);
	});

	it.each([
		['open', 'did-not-run', 1],
		['reopened', 'did-not-run', 2],
		['running', 'may-have-run', 0],
		['done', 'may-have-run', 0],
		['unknown', 'may-have-run', 0],
	])('with another body on an entry that is %s gets no false did-not-run', (state, verdict, generation) => {
		const operation = attempt();
		endings[state]!(operation);
		expect(begin({}, 'other')).toMatchObject({action: 'refuse', verdict, reason: 'identity-reused'});
		expect(operation.generation).toBe(generation);
	});

	it('with another body closes a first call that still waits for admission', () => {
		const waiting = attempt();
		begin({}, 'other');
		expect(waiting.start(0)).toBe(false);
	});

	it('of an older generation closes what was open, so a delayed newer frame does not run after the refusal', () => {
		endings.reopened!(attempt());
		const newer = attempt({generation: 1});
		expect(begin({generation: 0})).toMatchObject({reason: 'identity-superseded'});
		expect(newer.start(1)).toBe(false);
	});
});

describe('a run', () => {
	it('is started by one of two calls of the same generation only', () => {
		const [first, second] = [attempt(), attempt()];
		expect([first.start(0), second.start(0)]).toEqual([true, false]);
	});

	it.each(['done', 'unknown', 'reopened'])('that ends as %s wakes the calls that joined it', async state => {
		const operation = started();
		const {settled} = operation;
		const end = {
			done() {
				table.finish(operation, answer(1));
			},
			unknown() {
				operation.markOutcomeUnknown();
			},
			reopened() {
				operation.reopen();
			},
		}[state]!;
		end();
		await expect(Promise.race([settled.then(() => 'woken'), new Promise(resolve => {
			setImmediate(resolve, 'waits');
		})])).resolves.toBe('woken');
	});

	it('gives a second run after a reopening its own joiners', async () => {
		const operation = started();
		operation.reopen();
		operation.start(1);
		await expect(Promise.race([operation.settled.then(() => 'woken'), new Promise(resolve => {
			setImmediate(resolve, 'waits');
		})])).resolves.toBe('waits');
	});

	it.each(['done', 'unknown', 'running'])('can not be closed as did-not-run when the entry is %s', state => {
		const operation = attempt();
		endings[state]!(operation);
		expect(() => operation.closeGeneration()).toThrow(RangeError);
	});
});

describe('retries', () => {
	it('are charged per attempt after the first and refused at zero with the generation closed', () => {
		expect(begin({}, 'f', 1)).toMatchObject({action: 'attempt'});
		expect(begin({}, 'f', 1)).toMatchObject({action: 'attempt'});
		expect(begin({}, 'f', 1)).toMatchObject({
			action: 'refuse', verdict: 'did-not-run', reason: 'retries-exhausted', operation: {generation: 1},
		});
	});

	it('are not charged for joins and replays', () => {
		const operation = started();
		begin();
		table.finish(operation, answer(1));
		begin();
		expect(operation.allowance?.remaining).toBe(3);
	});
});

describe('loss', () => {
	it.each([
		['another incarnation', {incarnation: 'earlier'}, 'executor-restarted'],
		['another instance', {executor: 'releases-2'}, 'executor-restarted'],
		['a time before the start of the executor', {issuedAt: startedAt - bound - 1}, 'executor-restarted'],
		['a time past', {issuedAt: startedAt - lifetime}, 'identity-expired'],
	])('an identity of %s is may-have-run', (_name, changes, reason) => {
		expect(begin(changes)).toMatchObject({action: 'refuse', verdict: 'may-have-run', reason});
	});

	it('an entry is replayed until its retention ends and never runs again afterwards', () => {
		const token = identity();
		table.finish(started(token), answer(1));
		now = lifetime + bound - 1;
		expect(begin(token)).toMatchObject({action: 'replay'});
		now = lifetime + bound + 1000;
		expect(begin(token)).toMatchObject({action: 'refuse', verdict: 'may-have-run', reason: 'identity-expired'});
		expect(table.size).toBe(0);
	});

	it('a long-lived entry does not keep later short-lived ones in the table', () => {
		started({operation: 'long', expiresAt: startedAt + 3_600_000}).markOutcomeUnknown();
		started({operation: 'short', expiresAt: startedAt + 1000}).markOutcomeUnknown();
		now = bound + 2000;
		begin({operation: 'next'});
		expect(table.size).toBe(2);
	});

	it('a running entry past its retention keeps neither itself out of the table nor others in it', () => {
		const running = started({operation: 'running', expiresAt: startedAt + 1000});
		started({operation: 'lost', expiresAt: startedAt + 1000}).markOutcomeUnknown();
		now = bound + 2000;
		expect(begin({operation: 'running'})).toMatchObject({action: 'join'});
		expect(table.size).toBe(1);
		running.markOutcomeUnknown();
		now += 1000;
		begin({operation: 'next'});
		expect(table.size).toBe(1);
	});
});

describe('a full table', () => {
	beforeEach(() => {
		for (const operation of ['x', 'y', 'z']) {
			started({operation, expiresAt: startedAt + 1000}).markOutcomeUnknown();
		}
	});

	const free = () => {
		now = bound + 3000;
	};

	it.each([
		['exactly at the time of the refusal', 0, 'did-not-run'],
		['by a clock ahead within the bound', bound, 'did-not-run'],
		['by a clock ahead by more than the bound', bound + 1, 'may-have-run'],
		['by a clock ahead by an hour', 3_600_000, 'may-have-run'],
	])('tells a new identity issued %s nothing that a later run makes false', (_name, ahead, verdict) => {
		const token = identity({issuedAt: startedAt + ahead});
		expect(begin(token)).toMatchObject({action: 'refuse', verdict, reason: 'operation-table-full'});
		free();
		const later = begin(token);
		expect(verdict === 'did-not-run' ? later : {action: 'refuse'}).toMatchObject({action: 'refuse'});
	});

	it('still serves the entries it holds', () => {
		expect(begin({operation: 'x'})).toMatchObject({reason: 'outcome-unknown'});
	});

	it('takes identities above the watermark when there is room again', () => {
		begin();
		free();
		expect(begin({issuedAt: startedAt + bound + 1})).toMatchObject({action: 'attempt'});
	});
});

describe('answers held', () => {
	it.each([
		['as large as the limit', 100, 'replay'],
		['one byte over the limit', 101, 'refuse'],
	])('a body %s is handled', (_name, bytes, action) => {
		table.finish(started(), answer(bytes));
		expect(begin()).toMatchObject({action});
	});

	it('count headers, so that large headers do not pass the bound', () => {
		table.finish(started(), {status: 200, headers: {etag: 'x'.repeat(100)}, body: new Uint8Array(0)});
		expect(begin()).toMatchObject({action: 'refuse', verdict: 'may-have-run'});
	});

	it('give their bytes back on expiry', () => {
		table.finish(started({expiresAt: startedAt + 1000}), answer(100));
		now = bound + 2000;
		table.finish(started({operation: 'b'}), answer(100));
		expect(begin({operation: 'b'})).toMatchObject({action: 'replay'});
	});

	it('are not counted for an entry that expired while its call waited for admission', () => {
		const waiting = attempt({expiresAt: startedAt + 1000});
		now = bound + 2000;
		begin({operation: 'b'});
		waiting.start(0);
		table.finish(waiting, answer(100));
		expect(table.dump()).toMatchObject({answerBytes: 0});
	});
});

it('a step of the wall clock revives no removed entry', () => {
	let wall = startedAt;
	const stepped = new ProcessClock(() => wall, () => now);
	table = new OperationTable(self, stepped);
	const token = identity();
	started(token).markOutcomeUnknown();
	now = lifetime + bound + 1000;
	begin({operation: 'next'});
	wall -= 2 * lifetime;
	expect(begin(token)).toMatchObject({action: 'refuse', verdict: 'may-have-run', reason: 'identity-expired'});
});
