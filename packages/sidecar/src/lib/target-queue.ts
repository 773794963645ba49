/**
 * Queues requests for the local target and limits its concurrency. All requests to the target pass through its node, so the node
 * never exceeds the target's slots, and a queued request can still be refused with the promise that it did not run. Under overload,
 * work is ordered by rank, then by arrival; a downstream call comes just before new work of its parent's rank, because refusing it
 * wastes the upstream work. A request is refused as soon as its estimated start, from the work ahead of it and the mean time per
 * request, would be too late to be useful.
 */
import type {Clock} from './clock.js';
import {doNothing} from './do-nothing.js';

/** @public */
export const targetQueueOptions = {
	/** Share of the slots that is used; targets slow down near their capacity. */
	concurrencyShare: 0.95,
	/** Weight of a new sample in the moving average of the time per request. */
	meanWeight: 0.05,
	/** Time between two checks of whether queued work can still start in time. */
	sweepIntervalMilliseconds: 10,
	/** Maximum queue length, as a multiple of the concurrency limit; bounds memory. */
	maximumWaitingPerSlot: 6,
	/** Mean time per request before the first sample. */
	initialMeanMilliseconds: 50,
} as const;

/** @public */
export type QueuedWork = {
	/** The only instance that may run the work. */
	instance: string;
	/** Lower ranks start first. */
	rank: number;
	/** Monotonic time after which starting the work is useless. */
	latestStartAt: number;
	start(): void;
	/** Called if the work will not start, with the estimated wait for a free slot. */
	refuse(estimatedWaitMilliseconds: number): void;
};

/** @public */
export type QueueLoad = {active: number; waiting: number; limit: number; meanMilliseconds: number};

/**
 * Schedules work for the target.
 *
 * @public
 */
export class TargetQueue {
	private readonly waiting: QueuedWork[] = [];
	private activeCount = 0;
	private concurrencyLimit: number;
	private slots: number;
	private meanMilliseconds: number = targetQueueOptions.initialMeanMilliseconds;
	private isSweepScheduled = false;

	constructor(slots: number, private readonly clock: Clock) {
		this.slots = slots;
		this.concurrencyLimit = concurrencyLimitOf(slots);
	}

	get load(): QueueLoad {
		return {
			active: this.activeCount, waiting: this.waiting.length, limit: this.concurrencyLimit, meanMilliseconds: this.meanMilliseconds,
		};
	}

	setSlots(slots: number): void {
		if (slots !== this.slots) {
			this.slots = slots;
			this.concurrencyLimit = concurrencyLimitOf(slots);
			this.startNext();
		}
	}

	/** Starts, queues or refuses work. Returns a function that removes it from the queue. */
	submit(work: QueuedWork): () => void {
		if (this.activeCount < this.concurrencyLimit && this.waiting.length === 0) {
			this.activeCount += 1;
			work.start();
			return doNothing;
		}

		const position = this.positionFor(work.rank);
		const wait = this.estimatedWaitAt(position);
		if (this.clock.now() + wait > work.latestStartAt) {
			work.refuse(wait);
			return doNothing;
		}

		this.waiting.splice(position, 0, work);
		if (this.waiting.length > this.concurrencyLimit * targetQueueOptions.maximumWaitingPerSlot) {
			this.waiting.pop()!.refuse(this.estimatedWaitAt(this.waiting.length));
		}

		this.scheduleSweep();
		return () => {
			const index = this.waiting.indexOf(work);
			if (index !== -1) {
				this.waiting.splice(index, 1);
			}
		};
	}

	/** Refuses the queued work of an instance that accepts no more requests. */
	refuseWaiting(instance: string): void {
		const refused = this.waiting.filter(work => work.instance === instance);
		if (refused.length === 0) {
			return;
		}

		const remaining = this.waiting.filter(work => work.instance !== instance);
		this.waiting.splice(0, this.waiting.length, ...remaining);
		for (const work of refused) {
			work.refuse(0);
		}
	}

	/** Frees a slot and starts the next work. `milliseconds` is omitted if the duration does not reflect the target's speed. */
	release(milliseconds?: number): void {
		this.activeCount -= 1;
		if (milliseconds !== undefined) {
			this.meanMilliseconds += (milliseconds - this.meanMilliseconds) * targetQueueOptions.meanWeight;
		}

		this.startNext();
	}

	private startNext(): void {
		while (this.activeCount < this.concurrencyLimit && this.waiting.length > 0) {
			const work = this.waiting.shift()!;
			if (this.clock.now() > work.latestStartAt) {
				work.refuse(this.estimatedWaitAt(0));
				continue;
			}

			this.activeCount += 1;
			work.start();
		}
	}

	/** Estimated wait of the work at a queue position, in milliseconds. */
	private estimatedWaitAt(position: number): number {
		return (position + 1) * this.meanMilliseconds / this.concurrencyLimit;
	}

	private positionFor(rank: number): number {
		let low = 0;
		let high = this.waiting.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.waiting[middle]!.rank <= rank) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}

	private scheduleSweep(): void {
		if (this.isSweepScheduled) {
			return;
		}

		this.isSweepScheduled = true;
		this.clock.after(targetQueueOptions.sweepIntervalMilliseconds, () => {
			this.isSweepScheduled = false;
			this.sweep();
			if (this.waiting.length > 0) {
				this.scheduleSweep();
			}
		});
	}

	/** Refuses work that can no longer start in time because more urgent work arrived after it. */
	private sweep(): void {
		const now = this.clock.now();
		for (let index = 0; index < this.waiting.length;) {
			const wait = this.estimatedWaitAt(index);
			if (now + wait <= this.waiting[index]!.latestStartAt) {
				index += 1;
				continue;
			}

			const [work] = this.waiting.splice(index, 1);
			work!.refuse(wait);
		}
	}
}

function concurrencyLimitOf(slots: number): number {
	return Math.max(1, Math.floor(slots * targetQueueOptions.concurrencyShare));
}
