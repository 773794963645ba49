/**
 * Counts the attempts at targets for one operation under three strategies that bound retries, in the worst case: all of the
 * deepest downstream calls fail, and a target fails when one of its calls fails, so every node sees failures that it may retry.
 */
import {RetryAllowance} from '@hemlockthread/identity';

/** @public */
export const retryStrategyOptions = {
	/** Retry total of the operation; for the other two strategies, the maximum number of retries per call. */
	retries: 3,
	/** Retries that each first attempt adds to the budget of a node. */
	ratio: 0.2,
	/** Initial retry budget of a node; ratio budgets usually keep such a reserve. */
	reserve: 10,
} as const;

/** Retry allowance of one call at one node. */
type RetryAccount = {
	tryConsume(): boolean;
	/** Returns the allowance for one attempt; `returnUnused` returns its unused part. */
	split(): RetryAccount;
	/** True if each downstream call of a retry consumes a retry itself. */
	chargesCallsOf(isRetry: boolean): boolean;
	returnUnused(child: RetryAccount): void;
};

class ConservedAccount implements RetryAccount {
	constructor(private readonly allowance: RetryAllowance) {}

	tryConsume(): boolean {
		return this.allowance.tryConsume();
	}

	chargesCallsOf(isRetry: boolean): boolean {
		return isRetry;
	}

	split(): ConservedAccount {
		return new ConservedAccount(new RetryAllowance(this.allowance.split()));
	}

	returnUnused(child: ConservedAccount): void {
		this.allowance.returnUnused(child.allowance.remaining, child.allowance.remaining);
	}
}

/** A number of retries in a header, so that each call has an independent copy. */
class CopiedCounter implements RetryAccount {
	constructor(private remaining: number) {}

	tryConsume(): boolean {
		this.remaining -= 1;
		return this.remaining >= 0;
	}

	chargesCallsOf(): boolean {
		return false;
	}

	split(): CopiedCounter {
		return new CopiedCounter(this.remaining);
	}

	returnUnused(): void {
		// Copies are independent.
	}
}

type Budget = {tokens: number};

/** A retry budget per node that grows by a ratio with each first attempt; each depth has one node. */
class RatioBudget implements RetryAccount {
	private retries = 0;

	constructor(private readonly budgets: readonly Budget[], private readonly depth: number) {
		this.budget.tokens += retryStrategyOptions.ratio;
	}

	private get budget(): Budget {
		return this.budgets[this.depth]!;
	}

	tryConsume(): boolean {
		if (this.retries === retryStrategyOptions.retries || this.budget.tokens < 1) {
			return false;
		}

		this.retries += 1;
		this.budget.tokens -= 1;
		return true;
	}

	chargesCallsOf(): boolean {
		return false;
	}

	split(): RatioBudget {
		return new RatioBudget(this.budgets, this.depth + 1);
	}

	returnUnused(): void {
		// Budgets are not transferred between nodes.
	}
}

/** Strategies that bound retries, by name. @public */
export const retryStrategies: Readonly<Record<string, (depth: number) => RetryAccount>> = {
	conserved: () => new ConservedAccount(new RetryAllowance(retryStrategyOptions.retries)),
	ratio: depth => new RatioBudget(Array.from({length: depth + 1}, () => ({tokens: retryStrategyOptions.reserve})), 0),
	counter: () => new CopiedCounter(retryStrategyOptions.retries),
};

/** @public */
export type RetryStrategyRow = {depth: number; fanOut: number; firstAttempts: number; attempts: Record<string, number>};

/** Counts attempts at targets for one operation through `depth` levels of targets with `fanOut` downstream calls each. @public */
export function countAttempts(strategy: string, depth: number, fanOut: number): number {
	let attempts = 0;
	const makeCall = (account: RetryAccount, remainingDepth: number, parentIsRetry: boolean): void => {
		let isRetry = parentIsRetry;
		if (account.chargesCallsOf(isRetry) && !account.tryConsume()) {
			return;
		}

		do {
			attempts += 1;
			const callAccount = account.split();
			if (remainingDepth > 0) {
				for (let index = 0; index < fanOut; index += 1) {
					makeCall(callAccount, remainingDepth - 1, isRetry);
				}
			}

			account.returnUnused(callAccount);
			isRetry = true;
		} while (account.tryConsume());
	};

	makeCall(retryStrategies[strategy]!(depth), depth - 1, false);
	return attempts;
}

/** @public */
export function compareRetryStrategies(maximumDepth = 10, maximumFanOut = 3): RetryStrategyRow[] {
	const rows: RetryStrategyRow[] = [];
	for (let fanOut = 1; fanOut <= maximumFanOut; fanOut += 1) {
		for (let depth = 1; depth <= maximumDepth; depth += 1) {
			let firstAttempts = 0;
			for (let level = 0; level < depth; level += 1) {
				firstAttempts += fanOut ** level;
			}

			rows.push({
				depth, fanOut, firstAttempts, attempts: Object.fromEntries(Object.keys(retryStrategies).map(strategy => [strategy, countAttempts(strategy, depth, fanOut)])),
			});
		}
	}

	return rows;
}
