/**
 * Limits the retries of the whole fleet without shared state.
 *
 * In any time window, all nodes together may send a service `ratio` retries per client request for it, plus a fixed number of
 * retries, the slack. Each node adds `ratio` times the number of client requests that it received and the slack divided by the number
 * of nodes; a fixed fraction of this sum is its local budget. The local budgets never add up to more than the fleet's budget, however
 * the load is distributed, as long as no node assumes fewer nodes than there are. A retry is also charged for its downstream calls,
 * because they are sent again with it.
 *
 * If the instances of one service fail, a few nodes need retries while the budget is spread over all nodes. Nodes therefore report
 * their shortfall to their peers, and a peer grants them part of the local budget that it does not need. The peer counts a grant as
 * spent, so a lost message loses retries and never adds any. Less urgent requests leave part of the budget to more urgent ones.
 */
import type {Clock} from './clock.js';

/** @public */
export type RetryBudgetOptions = {
	/** Retries per client request. */
	ratio: number;
	/** Retries of the whole fleet per window in addition to the ratio. */
	slack: number;
	windowMilliseconds: number;
	clock: Clock;
	/** Number of nodes among which the slack is divided. */
	nodeCount(): number;
};

const bucketsPerWindow = 10;
/**
 * Buckets of counted retries. The limit holds for any sliding window, so retries are counted for longer than a window: for one more
 * bucket because the current one is incomplete, and for another one because a grant may be used until it expires.
 */
const retryBuckets = bucketsPerWindow + 2;
/** Buckets whose shortfall is reported to peers. */
const shortfallBuckets = 2;
/** Fraction of the fleet's budget that the nodes use; the rest covers retries that nodes cause unknowingly, such as late duplicates. */
const usableFraction = 0.7;

/** @public */
export const retryBudgetOptions = {
	/**
	 * Lifetime of a grant since it was sent. It is at most one bucket, a tenth of the window, so that the sender counts the grant as
	 * spent for a whole window after its use.
	 */
	grantLifetimeMilliseconds: 1000,
	/** Fraction of its unspent local budget that a node grants to one peer; several peers may report a shortfall in the same second. */
	grantFraction: 0.3,
	/** Smallest grant that is worth a message, in retries. */
	minimumGrant: 0.25,
	/** Fraction of the local budget available to requests while more urgent requests also need retries. */
	lessUrgentFraction: 0.6,
} as const;

/** Number of retries by service. @public */
export type RetriesByService = Readonly<Record<string, number>>;

type Buckets = {requests: number[]; retries: number[]; shortfall: number[]; grants: Grant[]};
type Grant = {expiresAt: number; remaining: number};

/**
 * The local budget of a node for each service.
 *
 * @public
 */
export class RetryBudget {
	private readonly services = new Map<string, Buckets>();
	/** By rank, when a request last asked for a retry. */
	private readonly lastAskedAt = new Map<number, number>();
	private currentBucket = 0;

	constructor(private readonly options: RetryBudgetOptions) {}

	/** Counts a client request for a service. */
	recordRequest(service: string): void {
		this.advance();
		this.bucketsOf(service).requests[bucketsPerWindow]! += 1;
	}

	/**
	 * Charges a retry for all requests that it causes, by service. Returns false and records the shortfall if that would exceed the
	 * local budget. Lower ranks are more urgent.
	 */
	take(requestCounts: ReadonlyMap<string, number>, rank: number): boolean {
		this.advance();
		const fraction = this.rankFraction(rank);
		let isAllowed = true;
		for (const [name, count] of requestCounts) {
			const missing = count - this.available(name, fraction);
			if (missing > 0) {
				isAllowed = false;
				this.bucketsOf(name).shortfall[shortfallBuckets - 1]! += missing;
			}
		}

		if (!isAllowed) {
			return false;
		}

		for (const [name, count] of requestCounts) {
			this.charge(name, count);
		}

		return true;
	}

	/** The shortfall of the current and the previous bucket, by service, to report to peers; undefined if there is none. */
	shortfall(): RetriesByService | undefined {
		this.advance();
		let total: Record<string, number> | undefined;
		for (const [name, {shortfall}] of this.services) {
			const amount = sum(shortfall);
			if (amount > 0) {
				total ??= {};
				total[name] = amount;
			}
		}

		return total;
	}

	/** Grants part of the unspent local budget to a peer; undefined if there is nothing to grant. */
	grant(peerShortfall: RetriesByService): RetriesByService | undefined {
		this.advance();
		let granted: Record<string, number> | undefined;
		for (const [name, missing] of Object.entries(peerShortfall)) {
			const {shortfall, retries} = this.bucketsOf(name);
			const amount = Math.min(missing, (this.localBudget(name) - this.spent(name)) * retryBudgetOptions.grantFraction);
			if (amount >= retryBudgetOptions.minimumGrant && sum(shortfall) === 0) {
				retries[retryBuckets - 1]! += amount;
				granted ??= {};
				granted[name] = amount;
			}
		}

		return granted;
	}

	/** Accepts a grant while the peer that sent it still counts it as spent. */
	receiveGrant(granted: RetriesByService, ageMilliseconds: number): void {
		const expiresAt = this.options.clock.now() + retryBudgetOptions.grantLifetimeMilliseconds - ageMilliseconds;
		for (const [name, remaining] of Object.entries(granted)) {
			if (remaining > 0) {
				this.bucketsOf(name).grants.push({expiresAt, remaining});
			}
		}
	}

	private available(service: string, fraction: number): number {
		return ((fraction * this.localBudget(service)) - this.spent(service)) + this.remainingGrants(service);
	}

	private localBudget(service: string): number {
		const {ratio, slack} = this.options;
		const {requests} = this.bucketsOf(service);
		// The oldest bucket may lie partly outside the window.
		const requestCount = sum(requests.slice(1));
		return usableFraction * ((ratio * requestCount) + (slack / Math.max(1, this.options.nodeCount())));
	}

	private spent(service: string): number {
		return sum(this.bucketsOf(service).retries);
	}

	private remainingGrants(service: string): number {
		const now = this.options.clock.now();
		const buckets = this.bucketsOf(service);
		if (buckets.grants.length > 0) {
			buckets.grants = buckets.grants.filter(({expiresAt, remaining}) => expiresAt > now && remaining > 0);
		}

		return sum(buckets.grants.map(({remaining}) => remaining));
	}

	/** Uses grants first: they expire soon, and the peers that sent them already count them as spent. */
	private charge(service: string, count: number): void {
		const buckets = this.bucketsOf(service);
		let rest = count;
		for (const grant of buckets.grants) {
			const used = Math.min(rest, grant.remaining);
			grant.remaining -= used;
			rest -= used;
		}

		buckets.retries[retryBuckets - 1]! += rest;
	}

	/** Returns the fraction of the local budget available to a rank: all of it for the most urgent rank that asked within a window. */
	private rankFraction(rank: number): number {
		const now = this.options.clock.now();
		this.lastAskedAt.set(rank, now);
		let mostUrgent = rank;
		for (const [asked, at] of this.lastAskedAt) {
			if (now - at > this.options.windowMilliseconds) {
				this.lastAskedAt.delete(asked);
			} else {
				mostUrgent = Math.min(mostUrgent, asked);
			}
		}

		return rank === mostUrgent ? 1 : retryBudgetOptions.lessUrgentFraction;
	}

	private bucketsOf(service: string): Buckets {
		let buckets = this.services.get(service);
		if (buckets === undefined) {
			buckets = {
				requests: zeros(bucketsPerWindow + 1), retries: zeros(retryBuckets), shortfall: zeros(shortfallBuckets), grants: [],
			};
			this.services.set(service, buckets);
		}

		return buckets;
	}

	private advance(): void {
		const bucket = Math.floor(this.options.clock.now() / (this.options.windowMilliseconds / bucketsPerWindow));
		const steps = Math.min(bucket - this.currentBucket, retryBuckets);
		this.currentBucket = bucket;
		for (const {requests, retries, shortfall} of this.services.values()) {
			for (const counts of [requests, retries, shortfall]) {
				for (let step = 0; step < steps; step += 1) {
					counts.shift();
					counts.push(0);
				}
			}
		}
	}
}

function zeros(length: number): number[] {
	return Array.from({length}, () => 0);
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
