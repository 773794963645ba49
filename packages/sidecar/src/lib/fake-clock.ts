/**
 * A clock for tests and simulations: time moves only through `advance`, and timers run in the order in which they are due.
 */
import type {Clock} from './clock.js';

type Timer = {dueAt: number; order: number; task: () => void};

/** @internal */
export class FakeClock implements Clock {
	private time = 0;
	private order = 0;
	private timers: Timer[] = [];

	now(): number {
		return this.time;
	}

	after(milliseconds: number, task: () => void): () => void {
		this.order += 1;
		const timer: Timer = {dueAt: this.time + Math.max(0, milliseconds), order: this.order, task};
		this.timers.push(timer);
		return () => {
			this.timers = this.timers.filter(other => other !== timer);
		};
	}

	/** Moves the time forward and runs the timers that become due, each at its own time. */
	advance(milliseconds: number): void {
		const end = this.time + milliseconds;
		for (;;) {
			const due = this.timers.filter(({dueAt}) => dueAt <= end).toSorted((first, second) => first.dueAt - second.dueAt || first.order - second.order);
			const [next] = due;
			if (next === undefined) {
				break;
			}

			this.timers = this.timers.filter(timer => timer !== next);
			this.time = next.dueAt;
			next.task();
		}

		this.time = end;
	}
}
