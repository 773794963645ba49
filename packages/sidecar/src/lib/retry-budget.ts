/**
 * Bounds the repeated work of the whole fleet without shared state.
 *
 * In any window a service may get, from all nodes together, `ratio` repeats for each request of clients for it, plus a fixed
 * slack. Each node spends only its own share: the ratio of the requests that entered at it, and the slack divided by the
 * number of nodes. The shares add up to no more than the total whatever each node believes about load, as long as no node
 * assumes fewer nodes than there are. A repeat is charged for the calls below it as well, because those repeat too.
 *
 * Answers trouble at the servers of one service: the calls that fail enter at a few nodes, while the allowance was earned at
 * all. Nodes tell their peers what they lack, and a peer gives away part of what it does not need. It counts what it gave
 * as spent, so a lost message costs repeats and never adds any. Less urgent requests leave a part to more urgent ones.
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
	nodeCount(): number;
};

/** Buckets of one window. Windows of the bound slide, so more than the window is counted: a bucket, and the life of a grant. */
const bucketsPerWindow = 10;
const repeatBuckets = bucketsPerWindow + 2;
/** Buckets for which peers are told what was lacked. */
const lackedBuckets = 2;
/** Share of the allowance that is spent; the rest covers repeats that nodes cause without knowing, such as late duplicates. */
const spentShare = 0.7;

/** @public */
export const retryBudgetOptions = {
	/** Life of a grant from the moment it was sent; at most one bucket, so that the giver still counts it when it is used. */
	grantMilliseconds: 1000,
	/** Part of its free allowance that a node gives to one peer; several peers may ask in the same second. */
	givenShare: 0.3,
	/** Least grant worth a message, in repeats. */
	smallestGrant: 0.25,
	/** Part of the allowance that requests use while more urgent ones ask for repeats as well. */
	lessUrgentShare: 0.6,
} as const;

/** Repeats by service. @public */
export type RepeatsByService = Readonly<Record<string, number>>;

type Buckets = {requests: number[]; repeats: number[]; lacked: number[]; granted: Grant[]};
type Grant = {until: number; left: number};

/**
 * The part of the fleet's retry budget that this node may spend.
 *
 * @public
 */
export class RetryBudget {
	private readonly services = new Map<string, Buckets>();
	/** When a request of each rank last asked for a repeat. */
	private readonly askedAt = new Map<number, number>();
	private currentBucket = 0;

	constructor(private readonly options: RetryBudgetOptions) {}

	/** Counts a request of a client for a service. */
	noteRequest(service: string): void {
		this.advance();
		this.bucketsOf(service).requests[bucketsPerWindow]! += 1;
	}

	/**
	 * Takes a repeat with all arrivals that it causes, by service; false where that would exceed the share of this node.
	 * Lower ranks are more urgent.
	 */
	take(work: ReadonlyMap<string, number>, rank: number): boolean {
		this.advance();
		const share = this.shareFor(rank);
		let isAllowed = true;
		for (const [name, count] of work) {
			const missing = count - this.available(name, share);
			if (missing > 0) {
				isAllowed = false;
				this.bucketsOf(name).lacked[lackedBuckets - 1]! += missing;
			}
		}

		if (!isAllowed) {
			return false;
		}

		for (const [name, count] of work) {
			this.charge(name, count);
		}

		return true;
	}

	/** What was lacked in the last second or two; peers are asked for it. */
	shortfall(): RepeatsByService | undefined {
		this.advance();
		let lacks: Record<string, number> | undefined;
		for (const [name, {lacked}] of this.services) {
			const amount = sum(lacked);
			if (amount > 0) {
				lacks ??= {};
				lacks[name] = amount;
			}
		}

		return lacks;
	}

	/** Gives part of what is free to a peer that lacks it; undefined where there is nothing to give. */
	grant(lacks: RepeatsByService): RepeatsByService | undefined {
		this.advance();
		let given: Record<string, number> | undefined;
		for (const [name, lacked] of Object.entries(lacks)) {
			const {lacked: own, repeats} = this.bucketsOf(name);
			const amount = Math.min(lacked, (this.allowance(name) - this.spent(name)) * retryBudgetOptions.givenShare);
			if (amount >= retryBudgetOptions.smallestGrant && sum(own) === 0) {
				repeats[repeatBuckets - 1]! += amount;
				given ??= {};
				given[name] = amount;
			}
		}

		return given;
	}

	/** Takes what a peer gave, if it is young enough to be counted there. */
	receiveGrant(given: RepeatsByService, ageMilliseconds: number): void {
		const until = this.options.clock.now() + retryBudgetOptions.grantMilliseconds - ageMilliseconds;
		for (const [name, left] of Object.entries(given)) {
			if (left > 0) {
				this.bucketsOf(name).granted.push({until, left});
			}
		}
	}

	private available(service: string, share: number): number {
		return ((share * this.allowance(service)) - this.spent(service)) + this.grantedLeft(service);
	}

	private allowance(service: string): number {
		const {ratio, slack} = this.options;
		const {requests} = this.bucketsOf(service);
		// The oldest bucket may lie outside the window in part.
		const counted = sum(requests.slice(1));
		return spentShare * ((ratio * counted) + (slack / Math.max(1, this.options.nodeCount())));
	}

	private spent(service: string): number {
		return sum(this.bucketsOf(service).repeats);
	}

	private grantedLeft(service: string): number {
		const now = this.options.clock.now();
		const buckets = this.bucketsOf(service);
		if (buckets.granted.length > 0) {
			buckets.granted = buckets.granted.filter(({until, left}) => until > now && left > 0);
		}

		return sum(buckets.granted.map(({left}) => left));
	}

	/** Uses grants first: they end soon, and their giver has counted them. */
	private charge(service: string, count: number): void {
		const buckets = this.bucketsOf(service);
		let rest = count;
		for (const grant of buckets.granted) {
			const used = Math.min(rest, grant.left);
			grant.left -= used;
			rest -= used;
		}

		buckets.repeats[repeatBuckets - 1]! += rest;
	}

	/** The part of the allowance for a rank: all of it for the most urgent one that asked within a window. */
	private shareFor(rank: number): number {
		const now = this.options.clock.now();
		this.askedAt.set(rank, now);
		let mostUrgent = rank;
		for (const [asked, at] of this.askedAt) {
			if (now - at > this.options.windowMilliseconds) {
				this.askedAt.delete(asked);
			} else {
				mostUrgent = Math.min(mostUrgent, asked);
			}
		}

		return rank === mostUrgent ? 1 : retryBudgetOptions.lessUrgentShare;
	}

	private bucketsOf(service: string): Buckets {
		let buckets = this.services.get(service);
		if (buckets === undefined) {
			buckets = {
				requests: zeros(bucketsPerWindow + 1), repeats: zeros(repeatBuckets), lacked: zeros(lackedBuckets), granted: [],
			};
			this.services.set(service, buckets);
		}

		return buckets;
	}

	private advance(): void {
		const bucket = Math.floor(this.options.clock.now() / (this.options.windowMilliseconds / bucketsPerWindow));
		const steps = Math.min(bucket - this.currentBucket, repeatBuckets);
		this.currentBucket = bucket;
		for (const {requests, repeats, lacked} of this.services.values()) {
			for (const counts of [requests, repeats, lacked]) {
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
