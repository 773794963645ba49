/**
 * The admission controller of the node beside a target.
 */
import {performance} from 'node:perf_hooks';
import {RefusalReason, type RefusalReasonName} from '@hemlockthread/verdict';

/** @public */
export type AdmissionOptions = {
	/** Upper bound of the concurrency limit: the target's published slots. */
	slots: number;
	/** Calls that may wait at once. */
	maximumQueued: number;
};

/** @public */
export const admissionOptions = {
	maximumQueued: 512,
} as const;

/** @public */
export type AdmissionRequest = {
	kind: string;
	rootKind: string;
	priority: number;
	/** Monotonic time at which the call's deadline ends, in milliseconds. */
	deadlineAt: number;
	/** Aborted when the call is cancelled. */
	signal: AbortSignal;
};

/** @public */
export type Admission
	= | {admitted: true; release(outcome: 'ok' | 'failed' | 'abandoned'): void}
		| {admitted: false; reason: RefusalReasonName; retryAfterMilliseconds: number};

type Waiting = {request: AdmissionRequest; settle(admission: Admission): void};

/**
 * Decides which calls reach the target, and when.
 *
 * @public
 */
export class AdmissionController {
	private inProgress = 0;
	private readonly queue: Waiting[] = [];

	constructor(private readonly options: AdmissionOptions) {}

	/** Lowest priority that is admitted now; 0 admits everything. */
	get level(): number {
		return this.queue.length < this.options.maximumQueued ? 0 : Math.min(...this.queue.map(waiting => waiting.request.priority));
	}

	get active(): number {
		return this.inProgress;
	}

	/** Waits for a slot. Settles at the latest when the deadline ends or the call is cancelled. */
	async admit(request: AdmissionRequest): Promise<Admission> {
		if (this.inProgress < this.options.slots) {
			return this.start();
		}

		return new Promise(resolve => {
			const waiting: Waiting = {
				request,
				settle: admission => {
					const index = this.queue.indexOf(waiting);
					if (index !== -1) {
						this.queue.splice(index, 1);
					}

					clearTimeout(timer);
					resolve(admission);
				},
			};
			const timer = setTimeout(() => {
				waiting.settle(refused(RefusalReason.deadlineExceeded));
			}, Math.max(0, request.deadlineAt - performance.now()));
			request.signal.addEventListener('abort', () => {
				waiting.settle(refused(RefusalReason.cancelled));
			}, {once: true});
			this.queue.push(waiting);
			this.queue.sort((first, second) => second.request.priority - first.request.priority);
			if (this.queue.length > this.options.maximumQueued) {
				this.queue.at(-1)?.settle(refused(RefusalReason.overloaded));
			}
		});
	}

	dump(): unknown {
		return {
			inProgress: this.inProgress, queued: this.queue.length, limit: this.options.slots, level: this.level,
		};
	}

	private start(): Admission {
		this.inProgress += 1;
		let released = false;
		return {
			admitted: true,
			release: () => {
				if (!released) {
					released = true;
					this.inProgress -= 1;
					this.startNext();
				}
			},
		};
	}

	private startNext(): void {
		const next = this.queue[0];
		if (next !== undefined && this.inProgress < this.options.slots) {
			next.settle(this.start());
		}
	}
}

function refused(reason: RefusalReasonName): Admission {
	return {admitted: false, reason, retryAfterMilliseconds: 100};
}
