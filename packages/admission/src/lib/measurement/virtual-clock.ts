/**
 * A clock that jumps from event to event, so that a measurement depends on its seed only and not on the machine.
 */
import TinyQueue from 'tinyqueue';
import type {AdmissionClock} from '../clock.js';

type Event = {at: number; order: number; run: (() => void) | undefined};

/** Microtask turns that settle an admission and its caller. */
const settlingTurns = 4;

/** @internal */
export class VirtualClock implements AdmissionClock {
	private time = 0;
	private scheduled = 0;
	private readonly events = new TinyQueue<Event>([], (first, second) => first.at - second.at || first.order - second.order);

	now(): number {
		return this.time;
	}

	schedule(milliseconds: number, run: () => void): () => void {
		this.scheduled += 1;
		const event: Event = {at: this.time + milliseconds, order: this.scheduled, run};
		this.events.push(event);
		return () => {
			event.run = undefined;
		};
	}

	/** Runs all events up to a time. */
	async runUntil(end: number): Promise<void> {
		for (let next = this.events.peek(); next !== undefined && next.at <= end; next = this.events.peek()) {
			this.events.pop();
			this.time = next.at;
			if (next.run === undefined) {
				continue;
			}

			next.run();
			for (let turn = 0; turn < settlingTurns; turn += 1) {
				await Promise.resolve();
			}
		}

		this.time = end;
	}
}
