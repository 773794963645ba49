/**
 * Deterministic discrete-event time of a simulated world: nothing waits in real time, and the same seed and commands give the same
 * order of events.
 */
import {setImmediate as turn} from 'node:timers/promises';
import type {NodeTiming} from '@hemlockthread/node';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

type Event = {at: number; order: number; run(): void};

/** Event queue of one world, ordered by time. @public */
export class VirtualTime {
	/** Milliseconds since the start of the world. */
	now = 0;
	private order = 0;
	private readonly events: Event[] = [];

	schedule(milliseconds: number, run: () => void): void {
		const event = {at: this.now + Math.max(0, milliseconds), order: this.order++, run};
		let index = this.events.length;
		while (index > 0 && this.events[index - 1]!.at <= event.at) {
			index -= 1;
		}

		// The queue is sorted latest first, so that the next event is popped from the end.
		this.events.splice(index, 0, event);
	}

	/** Runs all events due within a duration and lets promises settle after each. */
	async advance(milliseconds: number): Promise<void> {
		const end = this.now + milliseconds;
		await turn();
		for (let next = this.events.at(-1); next !== undefined && next.at <= end; next = this.events.at(-1)) {
			this.events.pop();
			this.now = Math.max(this.now, next.at);
			next.run();
			await turn();
		}

		this.now = end;
	}
}

/** Seeded random number generator of one world. @public */
export class RandomSource {
	private readonly generator;

	constructor(seed: number) {
		this.generator = xoroshiro128plus(seed);
	}

	/** Returns a number from 0 (inclusive) to 1 (exclusive). */
	next(): number {
		return uniformFloat64(this.generator);
	}

	/** Returns true with the given probability. */
	nextBoolean(probability: number): boolean {
		return this.next() < probability;
	}

	between(from: number, to: number): number {
		return from + (this.next() * (to - from));
	}

	pick<Value>(values: readonly Value[]): Value {
		return values[Math.floor(this.next() * values.length)]!;
	}
}

/**
 * A simulated process. Its timers and received messages are deferred while it is paused, and dropped once it ended.
 *
 * @public
 */
export class SimulatedProcess {
	readonly timing: NodeTiming = {
		now: () => this.now(),
		random: () => this.random.next(),
		wait: async (milliseconds, signal) => this.wait(milliseconds, signal),
	};

	private paused = false;
	private ended = false;
	private readonly deferred: Array<() => void> = [];

	constructor(private readonly time: VirtualTime, private readonly random: RandomSource, private readonly clockOffset: number) {}

	get alive(): boolean {
		return !this.ended;
	}

	/** Monotonic clock of the process, with an offset that differs between processes. */
	now(): number {
		return this.time.now + this.clockOffset;
	}

	pause(): void {
		this.paused = true;
	}

	resume(): void {
		this.paused = false;
		for (const run of this.deferred.splice(0)) {
			run();
		}
	}

	end(): void {
		this.ended = true;
		this.deferred.length = 0;
	}

	/** Runs an action immediately, or when a paused process resumes; drops it in an ended one. */
	run(action: () => void): void {
		if (this.ended) {
			return;
		}

		if (this.paused) {
			this.deferred.push(action);
		} else {
			action();
		}
	}

	after(milliseconds: number, action: () => void): void {
		this.time.schedule(milliseconds, () => {
			this.run(action);
		});
	}

	private async wait(milliseconds: number, signal: AbortSignal): Promise<void> {
		if (signal.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
			this.after(milliseconds, resolve);
		});
	}
}
