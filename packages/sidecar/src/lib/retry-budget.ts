/**
 * Bounds the repeated work of the whole fleet without shared state.
 *
 * In any window a service may get, from all nodes together, `ratio` repeats for each request of clients for it, plus a fixed
 * slack. Each node spends only its own share: the ratio of the requests that entered at it, and the slack divided by the
 * number of nodes. The shares add up to no more than the total whatever each node believes about load, as long as no node
 * assumes fewer nodes than there are. A repeat is charged for the calls below it as well, because those repeat too.
 */
import type {Clock} from './clock.js';

/** @public */
export type RetryBudgetOptions = {
	/** Repeats for each request of a client. */
	ratio: number;
	/** Repeats of the whole fleet in one window on top of the ratio. */
	slack: number;
	windowMilliseconds: number;
	clock: Clock;
	/** Number of nodes among which the slack is divided. */
	nodes(): number;
};

/** Buckets of one window. Windows of the bound slide, so a bucket more than the window is counted. */
const bucketsPerWindow = 10;
/** Share of the allowance that is spent; the rest covers repeats that nodes cause without knowing, such as late duplicates. */
const spentShare = 0.7;

type Buckets = {requests: number[]; repeats: number[]};

/**
 * The part of the fleet's retry budget that this node may spend.
 *
 * @public
 */
export class RetryBudget {
	private readonly services = new Map<string, Buckets>();
	private currentBucket = 0;

	constructor(private readonly options: RetryBudgetOptions) {}

	/** Counts a request of a client for a service. */
	noteRequest(service: string): void {
		this.advance();
		const {requests} = this.bucketsOf(service);
		requests[bucketsPerWindow]! += 1;
	}

	/** Takes a repeat with all arrivals that it causes, by service; false where that would exceed the share of this node. */
	take(work: ReadonlyMap<string, number>): boolean {
		this.advance();
		for (const [name, count] of work) {
			if (this.spent(name) + count > this.allowance(name)) {
				return false;
			}
		}

		for (const [name, count] of work) {
			const {repeats} = this.bucketsOf(name);
			repeats[bucketsPerWindow]! += count;
		}

		return true;
	}

	dump(): unknown {
		return Object.fromEntries([...this.services.keys()].map(name => [name, {spent: this.spent(name), allowance: this.allowance(name)}]));
	}

	private allowance(service: string): number {
		const {ratio, slack} = this.options;
		const {requests} = this.bucketsOf(service);
		// The oldest bucket may lie outside the window in part.
		const counted = sum(requests.slice(1));
		return spentShare * ((ratio * counted) + (slack / Math.max(1, this.options.nodes())));
	}

	private spent(service: string): number {
		return sum(this.bucketsOf(service).repeats);
	}

	private bucketsOf(service: string): Buckets {
		let buckets = this.services.get(service);
		if (buckets === undefined) {
			buckets = {requests: Array.from({length: bucketsPerWindow + 1}, () => 0), repeats: Array.from({length: bucketsPerWindow + 1}, () => 0)};
			this.services.set(service, buckets);
		}

		return buckets;
	}

	private advance(): void {
		const bucket = Math.floor(this.options.clock.now() / (this.options.windowMilliseconds / bucketsPerWindow));
		const steps = Math.min(bucket - this.currentBucket, bucketsPerWindow + 1);
		this.currentBucket = bucket;
		for (const {requests, repeats} of this.services.values()) {
			for (let step = 0; step < steps; step += 1) {
				requests.shift();
				requests.push(0);
				repeats.shift();
				repeats.push(0);
			}
		}
	}
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
