/**
 * A fixed search finds nothing, and each check of the oracle finds the fault that it exists for.
 */
import {RetryAllowance} from '@hemlockthread/identity';
import {CallInProgress} from '@hemlockthread/node';
import {Operation, OperationTable} from '@hemlockthread/operations';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {Breach, type BreachName} from './oracle.js';
import {search} from './search.js';
import type {WorldOptions} from './world.js';

afterEach(() => {
	vi.restoreAllMocks();
});

const fixedWorlds = 150;
const worldsUntilFound = 1500;

describe('search', () => {
	it.each([11, 12])('finds no broken promise with seed %d', async seed => {
		const result = await search({seed, runs: fixedWorlds});
		expect(result.failure).toBeUndefined();
		expect(result.steps).toBeGreaterThan(3000);
		expect(result.arrivals).toBeGreaterThan(500);
	});

	it('gives the same case again from the path that it prints', async () => {
		switchOff.wholeAnswer!();
		const found = await search({seed: 1, runs: worldsUntilFound});
		const again = await search({
			seed: 1, runs: 1, path: found.failure!.path, replayPath: found.failure!.replayPath,
		});
		expect(again.failure?.counterexample.split('/*')[0]).toBe(found.failure!.counterexample.split('/*')[0]);
	});
});

type Switch = () => Omit<WorldOptions, 'seed'> | undefined;

const switchOff: Record<string, Switch> = {
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
	wholeAnswer() {
		const {finish} = Operation.prototype;
		vi.spyOn(Operation.prototype, 'finish').mockImplementation(function (this: Operation, answer) {
			finish.call(this, {...answer, body: answer.body.subarray(0, 5)});
		});
		return undefined;
	},
};

describe('the oracle reports', () => {
	it.each<[BreachName, string, string]>([
		[Breach.falseDidNotRun, 'refusals do not close the generation', 'closing'],
		[Breach.falseDidNotRun, 'a reopened operation keeps its generation', 'reopening'],
		[Breach.ranTwice, 'a run starts again after an earlier one has ended', 'startGate'],
		[Breach.ranTwice, 'a restarted executor keeps its incarnation', 'incarnation'],
		[Breach.falseDidNotRun, 'a full table refuses without a watermark', 'watermark'],
		[Breach.tooManyAttempts, 'more than the share is given back', 'share'],
		[Breach.tooManyAttempts, 'repeated calls of the caller are not charged', 'account'],
		[Breach.falseDidNotRun, 'verdicts of legs are not combined with the own one', 'composition'],
		[Breach.wrongAnswer, 'a truncated answer is held', 'wholeAnswer'],
	])('"%s" when %s', async (breach, _what, mechanism) => {
		const found = new Set<BreachName>();
		const world = switchOff[mechanism]!();
		for (let seed = 1; seed <= 3 && !found.has(breach); seed += 1) {
			const result = await search({
				seed, runs: worldsUntilFound, world, firstOnly: true,
			});
			for (const name of result.failure?.breaches ?? []) {
				found.add(name);
			}
		}

		expect(found).toContain(breach);
	});
});
