/**
 * Admission control in virtual time: which calls are admitted, in which order, and why the others are refused.
 */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	AdmissionController, admissionOptions, type Admission, type AdmissionOptions, type ReleaseOutcome,
} from './admission-controller.js';
import {VirtualClock} from './measurement/virtual-clock.js';

const seed = 7;
const rank = 128;

type AdmitOptions = {priority?: number; lifetime?: number; kind?: string; signal?: AbortSignal};

/** A controller with a virtual clock, and the outcome of each call: admitted, a refusal reason, or undefined while it is queued. */
class Bench {
	readonly clock = new VirtualClock();
	readonly controller: AdmissionController;
	readonly outcomes: Array<string | undefined> = [];
	readonly admissions: Array<Admission | undefined> = [];

	constructor(options: Partial<AdmissionOptions> = {}) {
		this.controller = new AdmissionController({
			...admissionOptions, limitPolicy: 'fixed', slots: 1, clock: this.clock, seed, ...options,
		});
	}

	async request({priority = 0, lifetime = 1000, kind = 'browse', signal = new AbortController().signal}: AdmitOptions = {}): Promise<number> {
		const index = this.outcomes.length;
		this.outcomes.push(undefined);
		this.admissions.push(undefined);
		void (async () => {
			const admission = await this.controller.admit({
				kind, rootKind: kind, priority, deadlineAt: this.clock.now() + lifetime, signal,
			});
			this.admissions[index] = admission;
			this.outcomes[index] = admission.admitted ? 'admitted' : admission.reason;
		})();

		await this.settle();
		return index;
	}

	async release(index: number, outcome: ReleaseOutcome = 'ok'): Promise<void> {
		const admission = this.admissions[index];
		if (admission?.admitted === true) {
			admission.release(outcome);
		}

		await this.settle();
	}

	/** Runs calls of a fixed duration one after another, so that the controller knows the service time. */
	async runInSequence(milliseconds: number, calls: number, outcome: ReleaseOutcome = 'ok'): Promise<void> {
		for (let call = 0; call < calls; call += 1) {
			const index = await this.request({lifetime: 100_000});
			await this.advance(milliseconds);
			await this.release(index, outcome);
		}
	}

	async advance(milliseconds: number): Promise<void> {
		await this.clock.runUntil(this.clock.now() + milliseconds);
		await this.settle();
	}

	dump(): Record<string, unknown> {
		return this.controller.dump() as Record<string, unknown>;
	}

	private async settle(): Promise<void> {
		await this.clock.runUntil(this.clock.now());
		for (let turn = 0; turn < 8; turn += 1) {
			await Promise.resolve();
		}
	}
}

describe('admission and refusal', () => {
	const cancelled = new AbortController();
	cancelled.abort();
	const cases: Array<{failure: string; options?: Partial<AdmissionOptions>; run: (bench: Bench) => Promise<void>; outcomes: Array<string | undefined>}> = [
		{
			failure: 'a call beyond the limit reaches the target',
			async run(bench) {
				await bench.request();
				await bench.request();
			},
			outcomes: ['admitted', undefined],
		},
		{
			failure: 'a call of low priority starts before a later call of higher priority',
			async run(bench) {
				const first = await bench.request();
				await bench.request({priority: 1});
				await bench.request({priority: rank});
				await bench.release(first);
			},
			outcomes: ['admitted', undefined, 'admitted'],
		},
		{
			failure: 'a full queue evicts a call that does not have the lowest priority',
			options: {maximumQueued: 2},
			async run(bench) {
				await bench.request();
				await bench.request({priority: 5});
				await bench.request({priority: 3});
				await bench.request({priority: 4});
			},
			outcomes: ['admitted', undefined, 'overloaded', undefined],
		},
		{
			failure: 'a call of the lowest priority displaces an equal one that waited longer',
			options: {maximumQueued: 1},
			async run(bench) {
				await bench.request();
				await bench.request({priority: 3});
				await bench.request({priority: 3});
			},
			outcomes: ['admitted', undefined, 'overloaded'],
		},
		{
			failure: 'a queued call outlives its deadline',
			async run(bench) {
				await bench.request();
				await bench.request({lifetime: 50});
				await bench.advance(51);
			},
			outcomes: ['admitted', 'deadline-exceeded'],
		},
		{
			failure: 'a call whose deadline has passed takes a slot',
			async run(bench) {
				await bench.request({lifetime: -1});
			},
			outcomes: ['deadline-exceeded'],
		},
		{
			failure: 'a cancelled call is queued',
			async run(bench) {
				await bench.request();
				await bench.request({signal: cancelled.signal});
			},
			outcomes: ['admitted', 'cancelled'],
		},
		{
			failure: 'a call that is cancelled while it is queued stays in the queue',
			async run(bench) {
				const cancellation = new AbortController();
				const first = await bench.request();
				await bench.request({signal: cancellation.signal});
				await bench.request();
				cancellation.abort();
				await bench.release(first);
			},
			outcomes: ['admitted', 'cancelled', 'admitted'],
		},
		{
			failure: 'a call queues although its service time exceeds its deadline',
			async run(bench) {
				await bench.runInSequence(100, 1);
				await bench.request({lifetime: 1000});
				await bench.request({lifetime: 80});
			},
			outcomes: ['admitted', 'admitted', 'cannot-finish-in-time'],
		},
		{
			failure: 'a call queues although queue and service time together exceed its deadline',
			async run(bench) {
				await bench.runInSequence(100, 1);
				await bench.request({lifetime: 1000});
				await bench.request({priority: 9, lifetime: 1000});
				await bench.request({priority: 1, lifetime: 250});
				await bench.request({priority: 10, lifetime: 250});
			},
			outcomes: ['admitted', 'admitted', undefined, 'cannot-finish-in-time', undefined],
		},
		{
			failure: 'a queued call starts although it can no longer finish',
			async run(bench) {
				await bench.runInSequence(100, 1);
				const first = await bench.request({lifetime: 1000});
				await bench.request({lifetime: 300});
				await bench.advance(250);
				await bench.release(first);
			},
			outcomes: ['admitted', 'admitted', 'cannot-finish-in-time'],
		},
		{
			failure: 'an estimate that is too high refuses every call forever',
			async run(bench) {
				await bench.runInSequence(500, 1);
				await bench.request({lifetime: 80});
				await bench.request({lifetime: 80});
			},
			outcomes: ['admitted', 'admitted', 'cannot-finish-in-time'],
		},
		{
			failure: 'with the controls off, priority or deadline matter',
			options: {controls: 'off', maximumQueued: 1},
			async run(bench) {
				await bench.runInSequence(100, 1);
				const first = await bench.request();
				await bench.request({lifetime: 1});
				await bench.request({priority: rank, lifetime: 1});
				await bench.advance(1000);
				await bench.release(first);
			},
			outcomes: ['admitted', 'admitted', 'admitted', undefined],
		},
	];

	it.each(cases)('guards against: $failure', async ({options, run, outcomes}) => {
		const bench = new Bench(options);
		await run(bench);
		expect(bench.outcomes).toEqual(outcomes);
	});

	it('frees a slot only once when a call is released twice', async () => {
		const bench = new Bench();
		const first = await bench.request();
		await bench.request();
		await bench.request();
		await bench.release(first);
		await bench.release(first);
		expect(bench.outcomes).toEqual(['admitted', 'admitted', undefined]);
	});

	it('adds jitter to the retry-after of refusals, so that callers do not retry at the same time', async () => {
		const bench = new Bench({maximumQueued: 0});
		await bench.request();
		for (let call = 0; call < 50; call += 1) {
			await bench.request();
		}

		const waits = bench.admissions.flatMap(admission => admission?.admitted === false ? [admission.retryAfterMilliseconds] : []);
		expect(new Set(waits).size).toBeGreaterThan(40);
		expect(Math.min(...waits)).toBeGreaterThanOrEqual(admissionOptions.minimumRetryAfterMilliseconds);
		expect(Math.max(...waits)).toBeLessThanOrEqual(admissionOptions.minimumRetryAfterMilliseconds * 2);
	});
});

describe('limit', () => {
	const cases: Array<{failure: string; options?: Partial<AdmissionOptions>; run: (bench: Bench) => Promise<void>; limit: number}> = [
		{
			failure: 'a cold target receives its full load at once',
			options: {coldStartRampMilliseconds: () => 1000},
			run: async bench => bench.advance(5000),
			limit: 10,
		},
		{
			failure: 'the ramp does not rise',
			options: {coldStartRampMilliseconds: () => 1000},
			run: async bench => bench.runInSequence(500, 1),
			limit: 55,
		},
		{
			failure: 'the ramp does not end',
			options: {coldStartRampMilliseconds: () => 1000},
			run: async bench => bench.runInSequence(500, 2),
			limit: 100,
		},
		{
			failure: 'a target that fails every call keeps its concurrency limit',
			run: async bench => bench.runInSequence(1, 120, 'failed'),
			limit: 1,
		},
		{
			failure: 'a few failures cost slots',
			async run(bench) {
				await bench.runInSequence(1, 10, 'failed');
				await bench.runInSequence(1, 10);
			},
			limit: 100,
		},
		{
			failure: 'calls that callers abandoned count as failures of the target',
			run: async bench => bench.runInSequence(1, 120, 'abandoned'),
			limit: 100,
		},
		{
			failure: 'a target that was down receives its full load after its first response',
			options: {coldStartRampMilliseconds: () => 100_000},
			async run(bench) {
				await bench.advance(100_000);
				await bench.runInSequence(1, 120, 'failed');
				await bench.runInSequence(1, 100);
			},
			limit: 10,
		},
		{
			failure: 'the limit adapts although the controls are off',
			options: {controls: 'off', limitPolicy: 'delay-gradient', coldStartRampMilliseconds: () => 1000},
			run: async bench => bench.runInSequence(1, 120, 'failed'),
			limit: 100,
		},
	];

	it.each(cases)('guards against: $failure', async ({options, run, limit}) => {
		const bench = new Bench({slots: 100, ...options});
		await run(bench);
		expect(bench.dump()).toMatchObject({limit});
	});
});

describe('level', () => {
	/** One slot and 100 ms per call: two queued calls have an acceptable wait, the others don't. */
	async function overloaded(): Promise<Bench> {
		const bench = new Bench();
		await bench.runInSequence(100, 1);
		await bench.request();
		for (const priority of [rank, 2 * rank, 3 * rank, 4 * rank]) {
			await bench.request({priority, lifetime: 5000});
		}

		await bench.advance(60);
		return bench;
	}

	it('rises to the first priority whose wait is too long and refuses lower priorities', async () => {
		const bench = await overloaded();
		expect(bench.controller.level).toBe(2 * rank);
		const below = await bench.request({priority: (2 * rank) - 1, lifetime: 5000});
		const above = await bench.request({priority: 2 * rank, lifetime: 5000});
		expect([bench.outcomes[below], bench.outcomes[above]]).toEqual(['overloaded', undefined]);
	});

	it('falls to zero once the queue is short, even without further calls', async () => {
		const bench = await overloaded();
		for (let index = 1; index <= 5; index += 1) {
			await bench.release(index);
		}

		await bench.advance(1000);
		expect(bench.controller.level).toBe(0);
	});

	it('stays zero with the controls off', async () => {
		const bench = new Bench({controls: 'off'});
		await bench.runInSequence(100, 1);
		for (let call = 0; call < 200; call += 1) {
			await bench.request({priority: call});
		}

		await bench.advance(500);
		expect(bench.controller.level).toBe(0);
	});

	it('never sheds a higher worth rank while it keeps a lower one (property)', async () => {
		const step = fc.oneof(
			fc.record({type: fc.constant('request' as const), priority: fc.integer({min: 0, max: 5 * rank})}),
			fc.record({type: fc.constant('advance' as const), milliseconds: fc.integer({min: 1, max: 200})}),
			fc.record({type: fc.constant('release' as const)}),
		);
		await fc.assert(fc.asyncProperty(fc.array(step, {maxLength: 60}), async steps => {
			const bench = new Bench({slots: 2, maximumQueued: 4});
			await bench.runInSequence(50, 1);
			const waiting = new Map<number, number>();
			for (const step of steps) {
				if (step.type === 'request') {
					waiting.set(await bench.request({priority: step.priority, lifetime: 1_000_000}), step.priority);
				} else if (step.type === 'advance') {
					await bench.advance(step.milliseconds);
				} else {
					await bench.release(bench.outcomes.findLastIndex((outcome, index) => outcome === 'admitted' && waiting.delete(index)));
				}

				const waitingPriorities = [...waiting].filter(([index]) => bench.outcomes[index] === undefined).map(([, priority]) => priority);
				for (const [index, priority] of waiting) {
					if (bench.outcomes[index] === 'overloaded') {
						expect(Math.min(...waitingPriorities)).toBeGreaterThanOrEqual(priority);
						waiting.delete(index);
					}
				}
			}
		}), {seed, numRuns: 100});
	});
});
