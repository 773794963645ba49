/**
 * Counters and histograms, served as text on the metrics address. The labels are bounded: routes come from the policy and
 * reasons lose what follows their first colon.
 */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Buckets of durations in seconds, from a hop to the longest limits of callers. */
const durationBuckets = [0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];
/** Routes with a label of their own; later ones share one. */
const maximumRoutes = 200;
/** Handles kept; further ones are looked up each time. */
const maximumHandles = 2000;

/**
 * Metrics of one node.
 *
 * @public
 */
export class SidecarMetrics {
	readonly registry = new Registry();
	private readonly requests = new Counter({
		name: 'hemlockthread_requests_total', help: 'Requests by final outcome', labelNames: ['route', 'outcome', 'reason'], registers: [this.registry],
	});

	private readonly durations = new Histogram({
		name: 'hemlockthread_request_duration_seconds', help: 'Time from the whole request to its final answer', labelNames: ['route'],
		buckets: durationBuckets, registers: [this.registry],
	});

	private readonly retries = new Counter({
		name: 'hemlockthread_retries_total', help: 'Repeats at another target, sent or denied by the retry budget', labelNames: ['result'], registers: [this.registry],
	});

	private readonly storeCalls = new Counter({
		name: 'hemlockthread_configuration_calls_total', help: 'Calls to the configuration service', labelNames: ['call', 'result'], registers: [this.registry],
	});

	/** Handles by labels: looking one up in the library costs more than the count itself. */
	private readonly requestCounters = new Map<string, Counter.Internal>();
	private readonly requestDurations = new Map<string, Histogram.Internal<'route'>>();
	private readonly knownRoutes = new Set<string>();

	countRequest(route: string, outcome: string, reason: string): void {
		const key = `${route} ${outcome} ${reason}`;
		handleOf(this.requestCounters, key, () => this.requests.labels({
			route: this.routeLabel(route), outcome, reason: reason.split(':', 1)[0]!,
		})).inc();
	}

	observeRequest(route: string, milliseconds: number): void {
		handleOf(this.requestDurations, route, () => this.durations.labels({route: this.routeLabel(route)})).observe(milliseconds / 1000);
	}

	countRetry(result: 'sent' | 'denied'): void {
		this.retries.inc({result});
	}

	countConfigurationCall(call: string, result: string): void {
		this.storeCalls.inc({call, result});
	}

	/** Reads a value when the metrics are fetched. */
	registerGauge(name: string, help: string, read: () => number): void {
		const gauge: Gauge = new Gauge({
			name, help, registers: [this.registry], collect() {
				gauge.set(read());
			},
		});
	}

	private routeLabel(route: string): string {
		if (this.knownRoutes.has(route)) {
			return route;
		}

		if (this.knownRoutes.size >= maximumRoutes) {
			return 'other';
		}

		this.knownRoutes.add(route);
		return route;
	}
}

/** The handle kept for some labels, or a new one. */
function handleOf<Handle>(handles: Map<string, Handle>, key: string, create: () => Handle): Handle {
	const kept = handles.get(key);
	if (kept !== undefined) {
		return kept;
	}

	const handle = create();
	if (handles.size < maximumHandles) {
		handles.set(key, handle);
	}

	return handle;
}
