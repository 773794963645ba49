/**
 * Structured lines for decisions, on standard output.
 *
 * Volume is bounded by a budget of lines a second: failures and changes of belief may use all of it, successes only what
 * failures leave free. Writing never blocks: lines wait in a bounded buffer while a write is under way, and a reader that
 * stalls costs lines, which are counted by kind and reported.
 */
import {write as writeToDescriptor} from 'node:fs';
import type {Clock} from './clock.js';

/** @public */
export const decisionLogOptions = {
	/** Lines a second in the long run. */
	linesPerSecond: 50,
	/** Time for which lines are gathered into one write. */
	gatherMilliseconds: 200,
	/** Lines that may be written at once after a quiet time. */
	burstLines: 300,
	/** Part of the burst that is kept for failures and changes of belief. */
	reservedShare: 0.5,
	/** Bytes that may wait for a slow reader. */
	maximumBufferedBytes: 256 * 1024,
	/** Time between two reports of lines that were left out. */
	reportMilliseconds: 5000,
} as const;

const standardOutput = 1;

/** How much a line matters when not all can be written. @public */
export const LineImportance = {
	/** A failed or refused request, or a change of belief. */
	needed: 'needed',
	/** A request that went well. */
	routine: 'routine',
} as const;

/** @public */
export type LineImportanceName = (typeof LineImportance)[keyof typeof LineImportance];

/** @public */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes text and calls back once it is written or has failed. @public */
export type LogWriter = (text: string, done: (error: Error | null) => void) => void;

/**
 * Writes decision lines within the budget.
 *
 * @public
 */
export class DecisionLog {
	private tokens: number = decisionLogOptions.burstLines;
	private refilledAt: number;
	private buffer: string[] = [];
	private bufferedBytes = 0;
	private writing = false;
	private scheduled = false;
	private readonly omitted = new Map<string, number>();
	private reportedAt: number;

	constructor(
		private readonly common: LogFields,
		private readonly clock: Clock,
		private readonly writeText: LogWriter = writeStandardOutput,
	) {
		this.refilledAt = clock.now();
		this.reportedAt = this.refilledAt;
	}

	/** True where a routine line would be written; lets callers skip the work of making one. */
	get acceptsRoutine(): boolean {
		this.refill();
		return this.tokens > decisionLogOptions.burstLines * decisionLogOptions.reservedShare;
	}

	write(event: string, fields: LogFields, importance: LineImportanceName = LineImportance.needed): void {
		this.refill();
		const reserved = importance === LineImportance.needed ? 0 : decisionLogOptions.burstLines * decisionLogOptions.reservedShare;
		if (this.tokens < reserved + 1) {
			this.countOmitted(event);
			return;
		}

		this.tokens -= 1;
		this.reportOmitted();
		this.append(event, fields);
	}

	countOmitted(event: string): void {
		this.omitted.set(event, (this.omitted.get(event) ?? 0) + 1);
	}

	/** Starts to write what waits, without waiting for more. */
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
		if (this.omitted.size === 0 || now - this.reportedAt < decisionLogOptions.reportMilliseconds) {
			return;
		}

		this.reportedAt = now;
		const counts = Object.fromEntries(this.omitted);
		this.omitted.clear();
		this.append('lines-omitted', counts);
	}

	private append(event: string, fields: LogFields): void {
		const text = JSON.stringify({
			time: new Date().toISOString(), event, ...this.common, ...fields,
		}) + '\n';
		if (this.bufferedBytes + text.length > decisionLogOptions.maximumBufferedBytes) {
			this.countOmitted(event);
			return;
		}

		this.buffer.push(text);
		this.bufferedBytes += text.length;
		this.schedule();
	}

	private schedule(): void {
		if (this.writing || this.scheduled) {
			return;
		}

		this.scheduled = true;
		this.clock.after(decisionLogOptions.gatherMilliseconds, () => {
			this.scheduled = false;
			this.flush();
		});
	}
}

/** The asynchronous write runs on a thread of its own, so that a full pipe does not stop the event loop. */
function writeStandardOutput(text: string, done: (error: Error | null) => void): void {
	writeToDescriptor(standardOutput, text, error => {
		done(error);
	});
}
