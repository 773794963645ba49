/**
 * Counts attempts at targets for one operation whose deepest legs all fail, under three ways to bound retries.
 *
 * Every target fails when one of its legs fails, so each node sees a failure that it may retry. This is the worst case.
 */
import {RetryAllowance} from '@hemlockthread/identity';

/** @public */
export const retryTrialOptions = {
	/** Retry total of the operation, and the largest number of retries of one leg in the other two ways. */
	retries: 3,
	/** Retries that a node may add per first attempt. */
	ratio: 0.2,
	/** Retries that a node has saved up before the operation; usual ratio budgets keep such a reserve. */
	reserve: 10,
} as const;

/** Who may retry, as one node sees it. */
type Account = {
	take(): boolean;
	/** What one attempt of a leg is handed; the rest of it returns with `takeBack`. */
	hand(): Account;
	/** True where legs of a repeated attempt may be sent only for a retry each. */
	chargesLegsOf(repeated: boolean): boolean;
	takeBack(handed: Account): void;
};

class ConservedAccount implements Account {
	constructor(private readonly allowance: RetryAllowance) {}

	take(): boolean {
		return this.allowance.tryConsume();
	}

	chargesLegsOf(repeated: boolean): boolean {
		return repeated;
	}

	hand(): ConservedAccount {
		return new ConservedAccount(new RetryAllowance(this.allowance.split()));
	}

	takeBack(handed: ConservedAccount): void {
		this.allowance.returnUnused(handed.allowance.remaining, handed.allowance.remaining);
	}
}

/** A number of retries that travels in a header, so that each leg has its own copy. */
class CopiedCounter implements Account {
	constructor(private remaining: number) {}

	take(): boolean {
		this.remaining -= 1;
		return this.remaining >= 0;
	}

	chargesLegsOf(): boolean {
		return false;
	}

	hand(): CopiedCounter {
		return new CopiedCounter(this.remaining);
	}

	takeBack(): void {
		// Copies are independent.
	}
}

type Budget = {tokens: number};

/** A budget per node that first attempts fill by a ratio; one node stands at each depth. */
class RatioBudget implements Account {
	private retries = 0;

	constructor(private readonly budgets: readonly Budget[], private readonly depth: number) {
		this.budget.tokens += retryTrialOptions.ratio;
	}

	private get budget(): Budget {
		return this.budgets[this.depth]!;
	}

	take(): boolean {
		if (this.retries === retryTrialOptions.retries || this.budget.tokens < 1) {
			return false;
		}

		this.retries += 1;
		this.budget.tokens -= 1;
		return true;
	}

	chargesLegsOf(): boolean {
		return false;
	}

	hand(): RatioBudget {
		return new RatioBudget(this.budgets, this.depth + 1);
	}

	takeBack(): void {
		// Budgets stay with their nodes.
	}
}

/** Ways to bound retries, by name. @public */
export const retryWays: Readonly<Record<string, (depth: number) => Account>> = {
	conserved: () => new ConservedAccount(new RetryAllowance(retryTrialOptions.retries)),
	ratio: depth => new RatioBudget(Array.from({length: depth + 1}, () => ({tokens: retryTrialOptions.reserve})), 0),
	counter: () => new CopiedCounter(retryTrialOptions.retries),
};

/** @public */
export type RetryTrialRow = {depth: number; fanOut: number; first: number; attempts: Record<string, number>};

/** Attempts at targets for one operation with `depth` targets in a chain and `fanOut` legs of each. @public */
export function countAttempts(way: string, depth: number, fanOut: number): number {
	let attempts = 0;
	const callLeg = (account: Account, below: number, repeatedParent: boolean): void => {
		let repeated = repeatedParent;
		if (account.chargesLegsOf(repeated) && !account.take()) {
			return;
		}

		do {
			attempts += 1;
			const atTarget = account.hand();
			if (below > 0) {
				for (let leg = 0; leg < fanOut; leg += 1) {
					callLeg(atTarget, below - 1, repeated);
				}
			}

			account.takeBack(atTarget);
			repeated = true;
		} while (account.take());
	};

	callLeg(retryWays[way]!(depth), depth - 1, false);
	return attempts;
}

/** @public */
export function retryTrial(maximumDepth = 10, maximumFanOut = 3): RetryTrialRow[] {
	const rows: RetryTrialRow[] = [];
	for (let fanOut = 1; fanOut <= maximumFanOut; fanOut += 1) {
		for (let depth = 1; depth <= maximumDepth; depth += 1) {
			let first = 0;
			for (let level = 0; level < depth; level += 1) {
				first += fanOut ** level;
			}

			rows.push({
				depth, fanOut, first, attempts: Object.fromEntries(Object.keys(retryWays).map(way => [way, countAttempts(way, depth, fanOut)])),
			});
		}
	}

	return rows;
}
