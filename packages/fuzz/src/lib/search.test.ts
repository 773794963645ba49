/**
 * Guards against violations of the guarantees in a fixed set of worlds, and against checks of the oracle that miss the fault
 * they are for: each mutation disables one mechanism, and the search must find the violation.
 */
import {RetryAllowance} from '@hemlockthread/identity';
import {CallInProgress} from '@hemlockthread/node';
import {Operation, OperationTable} from '@hemlockthread/operations';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {Violation, type ViolationName} from './oracle.js';
import {search} from './search.js';
import type {WorldOptions} from './world.js';

afterEach(() => {
	vi.restoreAllMocks();
});

const fixedWorlds = 150;
const worldsUntilFound = 1500;

describe('search', () => {
	it.each([11, 12])('finds no violation with seed %d', async seed => {
		const result = await search({seed, runs: fixedWorlds});
		expect(result.failure).toBeUndefined();
		expect(result.steps).toBeGreaterThan(3000);
		expect(result.arrivals).toBeGreaterThan(500);
	});

	it('reproduces a case from its path and replay path', async () => {
		mutations.completeResponse!();
		const found = await search({seed: 1, runs: worldsUntilFound});
		const again = await search({
			seed: 1, runs: 1, path: found.failure!.path, replayPath: found.failure!.replayPath,
		});
		expect(again.failure?.counterexample.split('/*')[0]).toBe(found.failure!.counterexample.split('/*')[0]);
	});
});

type Mutation = () => Omit<WorldOptions, 'seed'> | undefined;

const mutations: Record<string, Mutation> = {
	closing() {
		vi.spyOn(Operation.prototype, 'closeGeneration').mockImplementation(function (this: Operation) {
			return this.generation;
		});
		return undefined;
	},
	reopening() {
		const {reopen} = Operation.prototype;
		vi.spyOn(Operation.prototype, 'reopen').mockImplementation(function (this: Operation) {
			reopen.call(this);
			Object.assign(this, {currentGeneration: this.generation - 1});
		});
		return undefined;
	},
	startGate() {
		vi.spyOn(Operation.prototype, 'start').mockImplementation(function (this: Operation, generation) {
			const starts = this.state !== 'running' && generation === this.generation;
			Object.assign(this, starts ? {currentState: 'running'} : {});
			return starts;
		});
		return undefined;
	},
	incarnation: () => ({sameIncarnation: true}),
	watermark() {
		vi.spyOn(OperationTable.prototype as unknown as {isBelowWatermark(): boolean}, 'isBelowWatermark').mockReturnValue(false);
		const {begin} = OperationTable.prototype;
		vi.spyOn(OperationTable.prototype, 'begin').mockImplementation(function (this: OperationTable, request) {
			const begun = begin.call(this, request);
			return begun.action === 'refuse' && begun.reason === 'operation-table-full' ? {...begun, verdict: 'did-not-run'} : begun;
		});
		return undefined;
	},
	share() {
		vi.spyOn(RetryAllowance.prototype, 'returnUnused').mockImplementation(function (this: RetryAllowance) {
			Object.assign(this, {remainingRetries: this.remaining + 2});
		});
		return undefined;
	},
	account() {
		vi.spyOn(Operation.prototype, 'attempt').mockReturnValue(true);
		return undefined;
	},
	composition() {
		vi.spyOn(CallInProgress.prototype, 'irreversibleVerdicts').mockReturnValue([]);
		return undefined;
	},
	completeResponse() {
		const {finish} = Operation.prototype;
		vi.spyOn(Operation.prototype, 'finish').mockImplementation(function (this: Operation, response) {
			finish.call(this, {...response, body: response.body.subarray(0, 5)});
		});
		return undefined;
	},
};

describe('the oracle reports', () => {
	it.each<[ViolationName, string, string]>([
		[Violation.falseDidNotRun, 'refusals do not close the generation', 'closing'],
		[Violation.falseDidNotRun, 'a reopened operation keeps its generation', 'reopening'],
		[Violation.ranTwice, 'a run starts again after an earlier one has ended', 'startGate'],
		[Violation.ranTwice, 'a restarted executor keeps its incarnation', 'incarnation'],
		[Violation.falseDidNotRun, 'a full table refuses without a watermark', 'watermark'],
		[Violation.tooManyAttempts, 'more retries are returned than were granted', 'share'],
		[Violation.tooManyAttempts, 'retries of the caller are not charged', 'account'],
		[Violation.falseDidNotRun, 'verdicts of downstream calls are not combined with that of the target', 'composition'],
		[Violation.wrongResponse, 'a truncated response is stored', 'completeResponse'],
	])('"%s" when %s', async (violation, _what, mechanism) => {
		const found = new Set<ViolationName>();
		const world = mutations[mechanism]!();
		for (let seed = 1; seed <= 3 && !found.has(violation); seed += 1) {
			const result = await search({
				seed, runs: worldsUntilFound, world, firstOnly: true,
			});
			for (const name of result.failure?.violations ?? []) {
				found.add(name);
			}
		}

		expect(found).toContain(violation);
	});
});
