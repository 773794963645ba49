/**
 * Counters, gauges and timings, sent to StatsD and kept as totals for the state dump.
 */
import {StatsD} from 'hot-shots';

/** @public */
export type MetricTags = Readonly<Record<string, string>>;

/** @public */
export type MetricsOptions = {
	/** IP number of the StatsD receiver; without it nothing is sent. */
	host?: string;
	/** UDP port of the StatsD receiver. */
	port?: number;
	/** Tags put on every metric. */
	tags?: MetricTags;
};

const metricPrefix = 'hemlockthread.';
const maximumTotals = 1024;
/** Time between two readings of the observed gauges. */
const observeMilliseconds = 10_000;
/** Datagram size below the usual Ethernet MTU, so that lines are batched without fragmentation. */
const maximumDatagramBytes = 1400;

/**
 * Records metrics. Counting never throws and never blocks the data path.
 *
 * @public
 */
export class Metrics {
	private readonly client: StatsD;
	private readonly sending: boolean;
	private readonly totals = new Map<string, number>();
	private readonly gauges = new Map<string, number>();
	private readonly observed = new Map<string, () => number>();
	private readonly observer: NodeJS.Timeout;

	constructor(options: MetricsOptions = {}) {
		this.sending = options.host !== undefined;
		this.client = new StatsD({
			prefix: metricPrefix,
			host: options.host ?? '127.0.0.1',
			port: options.port ?? 8125,
			globalTags: options.tags,
			mock: !this.sending,
			maxBufferSize: this.sending ? maximumDatagramBytes : 0,
			errorHandler() {
				// A lost metric must not disturb calls.
			},
		});
		this.observer = setInterval(() => {
			this.readObserved();
		}, observeMilliseconds);
		this.observer.unref();
	}

	count(name: string, tags?: MetricTags, value = 1): void {
		const key = tags === undefined ? name : `${name}{${Object.values(tags).join(',')}}`;
		if (this.totals.has(key) || this.totals.size < maximumTotals) {
			this.totals.set(key, (this.totals.get(key) ?? 0) + value);
		}

		if (this.sending) {
			this.client.increment(name, value, tags);
		}
	}

	gauge(name: string, value: number): void {
		if (this.gauges.has(name) || this.gauges.size < maximumTotals) {
			this.gauges.set(name, value);
		}

		if (this.sending) {
			this.client.gauge(name, value);
		}
	}

	/** Reads a gauge regularly, for state that changes too often to report each change. */
	observe(name: string, read: () => number): void {
		this.observed.set(name, read);
	}

	timing(name: string, milliseconds: number, tags?: MetricTags): void {
		if (this.sending) {
			this.client.timing(name, milliseconds, tags);
		}
	}

	/** Returns the total of one counter; tags are given as their values joined by commas. */
	total(name: string, tagValues?: string): number {
		return this.totals.get(tagValues === undefined ? name : `${name}{${tagValues}}`) ?? 0;
	}

	dump(): Record<string, number> {
		this.readObserved();
		return Object.fromEntries([...this.totals, ...this.gauges].toSorted(([first], [second]) => first < second ? -1 : 1));
	}

	async close(): Promise<void> {
		clearInterval(this.observer);
		this.readObserved();
		return new Promise(resolve => {
			this.client.close(() => {
				resolve();
			});
		});
	}

	private readObserved(): void {
		for (const [name, read] of this.observed) {
			this.gauge(name, read());
		}
	}
}
