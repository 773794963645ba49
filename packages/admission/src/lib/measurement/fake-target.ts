/**
 * Simulated targets with known capacity, for the comparison of concurrency limit policies.
 */
import type {VirtualClock} from './virtual-clock.js';

/** @internal */
export type TargetModel = {
	/** Share of the published slots at which throughput is highest. */
	usableShare: number;
	/** True if calls beyond the usable share wait in a FIFO queue inside the target. */
	queues: boolean;
	/** Exponent of the slowdown beyond the usable share; 0 if concurrency has no effect. */
	contention: number;
};

/** @internal */
export const targetModels = {
	/** Serves all published slots at full speed. */
	truthful: {usableShare: 1, queues: false, contention: 0},
	/** Serves a third of its slots and queues the remaining calls. */
	queueing: {usableShare: 1 / 3, queues: true, contention: 0},
	/** Loses throughput beyond half of its slots. */
	contended: {usableShare: 1 / 2, queues: false, contention: 1.5},
} as const satisfies Record<string, TargetModel>;

/** @internal */
export type TargetModelName = keyof typeof targetModels;

type Work = {milliseconds: number; startedAt?: number; cancelTimer?: () => void; finish(workedMilliseconds: number): void};

/** @internal */
export class FakeTarget {
	/** Factor on all service times that is independent of concurrency, like a slow downstream service. */
	serviceTimeFactor = 1;
	/** Time spent on calls that were cancelled or completed too late. */
	wastedMilliseconds = 0;
	usefulMilliseconds = 0;
	private readonly running = new Set<Work>();
	private readonly waiting: Work[] = [];
	private readonly usable: number;

	constructor(private readonly clock: VirtualClock, private readonly model: TargetModel, slots: number) {
		this.usable = Math.max(1, Math.floor(slots * model.usableShare));
	}

	/** Concurrency at which throughput is highest. */
	get usableSlots(): number {
		return this.usable;
	}

	/** Starts a call; returns a function that cancels it. */
	begin(milliseconds: number, finish: (workedMilliseconds: number) => void): () => void {
		const work: Work = {milliseconds, finish};
		if (this.model.queues && this.running.size >= this.usable) {
			this.waiting.push(work);
		} else {
			this.run(work);
		}

		return () => {
			this.cancel(work);
		};
	}

	/** Counts finished work as wasted because the response was too late. */
	countAsWasted(milliseconds: number): void {
		this.usefulMilliseconds -= milliseconds;
		this.wastedMilliseconds += milliseconds;
	}

	private run(work: Work): void {
		this.running.add(work);
		work.startedAt = this.clock.now();
		const factor = Math.max(1, this.running.size / this.usable) ** this.model.contention;
		work.cancelTimer = this.clock.schedule(work.milliseconds * this.serviceTimeFactor * factor, () => {
			const workedMilliseconds = this.clock.now() - work.startedAt!;
			this.usefulMilliseconds += workedMilliseconds;
			this.end(work);
			work.finish(workedMilliseconds);
		});
	}

	private cancel(work: Work): void {
		if (work.startedAt === undefined) {
			this.waiting.splice(this.waiting.indexOf(work), 1);
			return;
		}

		work.cancelTimer!();
		this.wastedMilliseconds += this.clock.now() - work.startedAt;
		this.end(work);
	}

	private end(work: Work): void {
		this.running.delete(work);
		const next = this.waiting.shift();
		if (next !== undefined) {
			this.run(next);
		}
	}
}
