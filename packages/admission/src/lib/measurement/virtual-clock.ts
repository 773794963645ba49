/**
 * Virtual clock that advances from event to event, so that a simulation depends only on its seed and not on the machine.
 */
import TinyQueue from 'tinyqueue';
import type {AdmissionClock} from '../clock.js';

type Event = {at: number; order: number; run: (() => void) | undefined};

/** Microtask turns needed to settle an admission and its caller. */
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

	/** Advances to a time and runs all events that are due. */
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
