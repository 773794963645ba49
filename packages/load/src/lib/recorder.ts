/**
 * Records the outcomes and latencies that callers observe, per kind and time bin.
 */
import {build, type Histogram} from 'hdr-histogram-js';

/** Fine enough to resolve a recovery of one or two seconds. @public */
export const binsPerSecond = 4;

/**
 * How an operation ended for its caller: `whole` is a complete response, `failed` a response of a target that failed,
 * `did-not-run` and `may-have-run` are refusals with that verdict, and `unknown` is no usable response.
 *
 * @public
 */
export const outcomes = ['whole', 'failed', 'did-not-run', 'may-have-run', 'unknown'] as const;

/** @public */
export type Outcome = (typeof outcomes)[number];

/** Counts per bin: `offered` by planned arrival, outcomes by the time at which the operation ended. @public */
export type KindSeries = {offered: number[]} & Record<Outcome, number[]>;

/** @public */
export type KindTotals = {
	/** Refusals and failures by reason; responses of targets count as `http-502` and the like. */
	reasons: Record<string, number>;
	/** Requests sent by callers, including retries and identity exchanges. */
	requests: number;
	/** Latency of complete responses in milliseconds, from the planned arrival. */
	latency: {median: number; p99: number; maximum: number};
	/** Operations planned after the warm-up, and how many of them got a complete response. */
	inWindow: {offered: number; whole: number};
};

type KindRecord = {series: KindSeries; reasons: Map<string, number>; requests: number; latency: Histogram; inWindow: {offered: number; whole: number}};

const microsecondsPerMillisecond = 1000;

/** @public */
export class Recorder {
	/** Final outcomes by root, to distinguish useful from wasted work. */
	readonly finalOutcomes = new Map<string, Outcome>();
	private readonly kinds = new Map<string, KindRecord>();
	private readonly binCount: number;

	constructor(kinds: readonly string[], private readonly warmUpMilliseconds: number, endMilliseconds: number) {
		this.binCount = Math.ceil(endMilliseconds * binsPerSecond / 1000);
		for (const kind of kinds) {
			this.kinds.set(kind, {
				series: Object.fromEntries(['offered', ...outcomes].map(name => [name, Array.from({length: this.binCount}, () => 0)])) as KindSeries,
				reasons: new Map(), requests: 0, latency: build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3}),
				inWindow: {offered: 0, whole: 0},
			});
		}
	}

	recordOffered(kind: string, at: number): void {
		const record = this.kinds.get(kind)!;
		record.series.offered[this.binIndex(at)]! += 1;
		record.inWindow.offered += at >= this.warmUpMilliseconds ? 1 : 0;
	}

	recordRequest(kind: string): void {
		this.kinds.get(kind)!.requests += 1;
	}

	recordOutcome(kind: string, root: string, plannedAt: number, at: number, outcome: Outcome, reason: string | undefined): void {
		const record = this.kinds.get(kind)!;
		this.finalOutcomes.set(root, outcome);
		record.series[outcome][this.binIndex(at)]! += 1;
		if (outcome === 'whole') {
			record.latency.recordValue(Math.max(1, Math.round((at - plannedAt) * microsecondsPerMillisecond)));
			record.inWindow.whole += plannedAt >= this.warmUpMilliseconds ? 1 : 0;
		} else {
			record.reasons.set(reason ?? 'none', (record.reasons.get(reason ?? 'none') ?? 0) + 1);
		}
	}

	series(): Record<string, KindSeries> {
		return Object.fromEntries([...this.kinds].map(([kind, record]) => [kind, record.series]));
	}

	totals(): Record<string, KindTotals> {
		return Object.fromEntries([...this.kinds].map(([kind, record]) => [kind, {
			reasons: Object.fromEntries(record.reasons), requests: record.requests, inWindow: record.inWindow,
			latency: {
				median: record.latency.getValueAtPercentile(50) / microsecondsPerMillisecond,
				p99: record.latency.getValueAtPercentile(99) / microsecondsPerMillisecond,
				maximum: record.latency.maxValue / microsecondsPerMillisecond,
			},
		}]));
	}

	/** Formats the counts of the last full second by kind. */
	progressText(at: number): string {
		const firstBin = Math.max(0, this.binIndex(at) - binsPerSecond);
		return [...this.kinds].map(([kind, {series}]) => {
			const sum = (values: number[]) => values.slice(firstBin, firstBin + binsPerSecond).reduce((total, value) => total + value, 0);
			return `${kind} ${sum(series.whole)}/${sum(series.offered)}`;
		}).join(', ');
	}

	private binIndex(at: number): number {
		return Math.min(this.binCount - 1, Math.max(0, Math.floor(at * binsPerSecond / 1000)));
	}
}
