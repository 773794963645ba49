/**
 * The time of a simulated world: nothing waits in real time, and the same inputs give the same order of events.
 */
import {setImmediate as turn} from 'node:timers/promises';
import type {NodeTiming} from '@hemlockthread/node';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

type Event = {at: number; order: number; run(): void};

/** Events of one world in order of time. @public */
export class VirtualTime {
	/** Milliseconds since the world began. */
	now = 0;
	private order = 0;
	private readonly events: Event[] = [];

	schedule(milliseconds: number, run: () => void): void {
		const event = {at: this.now + Math.max(0, milliseconds), order: this.order++, run};
		let index = this.events.length;
		while (index > 0 && this.events[index - 1]!.at <= event.at) {
			index -= 1;
		}

		// Latest first, so that the next event is taken from the end.
		this.events.splice(index, 0, event);
	}

	/** Runs all events of the next milliseconds; promises settle between them. */
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

/** Random choices of one world, all from one seed. @public */
export class Chance {
	private readonly generator;

	constructor(seed: number) {
		this.generator = xoroshiro128plus(seed);
	}

	/** From 0 up to 1. */
	next(): number {
		return uniformFloat64(this.generator);
	}

	/** True with a probability. */
	happens(probability: number): boolean {
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
 * One simulated process. While it is frozen its timers and received messages wait; once ended they are lost.
 *
 * @public
 */
export class SimulatedProcess {
	readonly timing: NodeTiming = {
		now: () => this.now(),
		random: () => this.chance.next(),
		wait: async (milliseconds, signal) => this.wait(milliseconds, signal),
	};

	private frozen = false;
	private ended = false;
	private readonly waiting: Array<() => void> = [];

	constructor(private readonly time: VirtualTime, private readonly chance: Chance, private readonly clockOffset: number) {}

	get alive(): boolean {
		return !this.ended;
	}

	/** Monotonic clock of the process; other processes have other offsets. */
	now(): number {
		return this.time.now + this.clockOffset;
	}

	freeze(): void {
		this.frozen = true;
	}

	wake(): void {
		this.frozen = false;
		for (const run of this.waiting.splice(0)) {
			run();
		}
	}

	end(): void {
		this.ended = true;
		this.waiting.length = 0;
	}

	/** Runs now, at the wake-up of a frozen process, or never in an ended one. */
	run(action: () => void): void {
		if (this.ended) {
			return;
		}

		if (this.frozen) {
			this.waiting.push(action);
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
