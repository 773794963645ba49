/**
 * Counters, gauges and timings, sent to StatsD. Totals of counters and the latest values of gauges are kept for the state dump.
 */
import {StatsD} from 'hot-shots';

/** @public */
export type MetricTags = Readonly<Record<string, string>>;

/** @public */
export type MetricsOptions = {
	/** IP address of the StatsD receiver; if unset, nothing is sent. */
	host?: string;
	/** UDP port of the StatsD receiver. */
	port?: number;
	/** Tags of every metric. */
	tags?: MetricTags;
};

const metricPrefix = 'hemlockthread.';
const maximumTotals = 1024;
const observeIntervalMilliseconds = 10_000;
/** Below the usual Ethernet MTU, so that lines are batched without IP fragmentation. */
const maximumDatagramBytes = 1400;

/**
 * Records metrics. Counting never throws and never blocks the data path.
 *
 * @public
 */
export class Metrics {
	private readonly client: StatsD;
	private readonly sendsMetrics: boolean;
	private readonly totals = new Map<string, number>();
	private readonly gauges = new Map<string, number>();
	private readonly observedGauges = new Map<string, () => number>();
	private readonly observeTimer: NodeJS.Timeout;

	constructor(options: MetricsOptions = {}) {
		this.sendsMetrics = options.host !== undefined;
		this.client = new StatsD({
			prefix: metricPrefix,
			host: options.host ?? '127.0.0.1',
			port: options.port ?? 8125,
			globalTags: options.tags,
			mock: !this.sendsMetrics,
			maxBufferSize: this.sendsMetrics ? maximumDatagramBytes : 0,
			errorHandler() {
				// A lost metric must not affect calls.
			},
		});
		this.observeTimer = setInterval(() => {
			this.readObservedGauges();
		}, observeIntervalMilliseconds);
		this.observeTimer.unref();
	}

	count(name: string, tags?: MetricTags, value = 1): void {
		const key = tags === undefined ? name : `${name}{${Object.values(tags).join(',')}}`;
		if (this.totals.has(key) || this.totals.size < maximumTotals) {
			this.totals.set(key, (this.totals.get(key) ?? 0) + value);
		}

		if (this.sendsMetrics) {
			this.client.increment(name, value, tags);
		}
	}

	gauge(name: string, value: number): void {
		if (this.gauges.has(name) || this.gauges.size < maximumTotals) {
			this.gauges.set(name, value);
		}

		if (this.sendsMetrics) {
			this.client.gauge(name, value);
		}
	}

	/** Registers a gauge that is read at an interval, for state that changes too often to send each change. */
	observe(name: string, read: () => number): void {
		this.observedGauges.set(name, read);
	}

	timing(name: string, milliseconds: number, tags?: MetricTags): void {
		if (this.sendsMetrics) {
			this.client.timing(name, milliseconds, tags);
		}
	}

	/** Returns the total of a counter; `tagValues` is the list of its tag values, joined by commas. */
	total(name: string, tagValues?: string): number {
		return this.totals.get(tagValues === undefined ? name : `${name}{${tagValues}}`) ?? 0;
	}

	dump(): Record<string, number> {
		this.readObservedGauges();
		return Object.fromEntries([...this.totals, ...this.gauges].toSorted(([first], [second]) => first < second ? -1 : 1));
	}

	async close(): Promise<void> {
		clearInterval(this.observeTimer);
		this.readObservedGauges();
		return new Promise(resolve => {
			this.client.close(() => {
				resolve();
			});
		});
	}

	private readObservedGauges(): void {
		for (const [name, read] of this.observedGauges) {
			this.gauge(name, read());
		}
	}
}
