/**
 * A clock for tests and load models: time moves only when told to, and timers run in order.
 */
import type {Clock} from './clock.js';

type Timer = {at: number; order: number; task: () => void};

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
		const timer: Timer = {at: this.time + Math.max(0, milliseconds), order: this.order, task};
		this.timers.push(timer);
		return () => {
			this.timers = this.timers.filter(other => other !== timer);
		};
	}

	/** Runs what is due until a time has passed. */
	advance(milliseconds: number): void {
		const end = this.time + milliseconds;
		for (;;) {
			const due = this.timers.filter(({at}) => at <= end).toSorted((first, second) => first.at - second.at || first.order - second.order);
			const [next] = due;
			if (next === undefined) {
				break;
			}

			this.timers = this.timers.filter(timer => timer !== next);
			this.time = next.at;
			next.task();
		}

		this.time = end;
	}
}
