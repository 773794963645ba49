/**
 * Structured, rate-limited log of decisions, one JSON object per line on standard output. A token bucket bounds the lines per
 * second, with a reserve for failures and changes of the known state. Writing never blocks: lines wait in a bounded buffer during
 * a write, and lines that are dropped because of the rate limit or a slow reader are counted by event and reported.
 */
import {write as writeToDescriptor} from 'node:fs';
import type {Clock} from './clock.js';

/** @public */
export const decisionLogOptions = {
	/** Sustained rate. */
	linesPerSecond: 50,
	/** Time for which lines are batched into one write. */
	batchMilliseconds: 200,
	/** Size of the token bucket: lines that may be written at once after an idle period. */
	burstLines: 300,
	/** Share of the token bucket that is reserved for failures and changes of the known state. */
	reservedBurstShare: 0.5,
	/** Maximum size of the buffer while the reader is slow. */
	maximumBufferedBytes: 256 * 1024,
	/** Time between two reports of dropped lines. */
	omittedReportIntervalMilliseconds: 5000,
} as const;

const standardOutput = 1;

/** Importance of a line while the rate is limited. @public */
export const LineImportance = {
	/** The life of the process and the policy and settings that it holds; rare, and never dropped because of the rate. */
	always: 'always',
	/** A failed or refused request, or a change of the known state. */
	needed: 'needed',
	/** A successful request. */
	routine: 'routine',
} as const;

/** Tokens that the bucket must hold for a line. */
const tokensNeeded: Readonly<Record<LineImportanceName, number>> = {
	[LineImportance.always]: 0,
	[LineImportance.needed]: 1,
	[LineImportance.routine]: (decisionLogOptions.burstLines * decisionLogOptions.reservedBurstShare) + 1,
};

/** @public */
export type LineImportanceName = (typeof LineImportance)[keyof typeof LineImportance];

/** @public */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes text; calls back when the write has completed or failed. @public */
export type LogWriter = (text: string, done: (error: Error | null) => void) => void;

/**
 * Writes log lines within the rate limit.
 *
 * @public
 */
export class DecisionLog {
	private tokens: number = decisionLogOptions.burstLines;
	private refilledAt: number;
	private buffer: string[] = [];
	private bufferedBytes = 0;
	private writing = false;
	private flushScheduled = false;
	private readonly omittedCounts = new Map<string, number>();
	private omittedReportedAt: number;

	constructor(
		private readonly commonFields: LogFields,
		private readonly clock: Clock,
		private readonly writeText: LogWriter = writeStandardOutput,
	) {
		this.refilledAt = clock.now();
		this.omittedReportedAt = this.refilledAt;
	}

	/** True if a routine line would be written; lets callers skip building one that would be dropped. */
	get acceptsRoutine(): boolean {
		this.refill();
		return this.tokens > decisionLogOptions.burstLines * decisionLogOptions.reservedBurstShare;
	}

	write(event: string, fields: LogFields, importance: LineImportanceName = LineImportance.needed): void {
		this.refill();
		if (this.tokens < tokensNeeded[importance]) {
			this.countOmitted(event);
			return;
		}

		this.tokens = Math.max(0, this.tokens - 1);
		this.reportOmitted();
		this.append(event, fields);
	}

	countOmitted(event: string): void {
		this.omittedCounts.set(event, (this.omittedCounts.get(event) ?? 0) + 1);
	}

	/** Writes the buffered lines without waiting for the batch interval. */
	flush(): void {
		if (this.writing || this.buffer.length === 0) {
			return;
		}

		const text = this.buffer.join('');
		this.buffer = [];
		this.bufferedBytes = 0;
		this.writing = true;
		this.writeText(text, error => {
			this.writing = false;
			if (error !== null) {
				this.countOmitted('unwritable');
			}

			this.flush();
		});
	}

	private refill(): void {
		const now = this.clock.now();
		this.tokens = Math.min(decisionLogOptions.burstLines, this.tokens + ((now - this.refilledAt) * decisionLogOptions.linesPerSecond / 1000));
		this.refilledAt = now;
	}

	private reportOmitted(): void {
		const now = this.clock.now();
		if (this.omittedCounts.size === 0 || now - this.omittedReportedAt < decisionLogOptions.omittedReportIntervalMilliseconds) {
			return;
		}

		this.omittedReportedAt = now;
		const counts = Object.fromEntries(this.omittedCounts);
		this.omittedCounts.clear();
		this.append('lines-omitted', counts);
	}

	private append(event: string, fields: LogFields): void {
		const text = JSON.stringify({
			time: new Date().toISOString(), event, ...this.commonFields, ...fields,
		}) + '\n';
		if (this.bufferedBytes + text.length > decisionLogOptions.maximumBufferedBytes) {
			this.countOmitted(event);
			return;
		}

		this.buffer.push(text);
		this.bufferedBytes += text.length;
		this.scheduleFlush();
	}

	private scheduleFlush(): void {
		if (this.writing || this.flushScheduled) {
			return;
		}

		this.flushScheduled = true;
		this.clock.after(decisionLogOptions.batchMilliseconds, () => {
			this.flushScheduled = false;
			this.flush();
		});
	}
}

/** The asynchronous write runs in the thread pool, so that a full pipe doesn't block the event loop. */
function writeStandardOutput(text: string, done: (error: Error | null) => void): void {
	writeToDescriptor(standardOutput, text, error => {
		done(error);
	});
}
