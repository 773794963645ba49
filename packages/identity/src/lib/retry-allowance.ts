/**
 * The retry allowance: one integer with one owner, which is only ever split, spent or returned.
 */

/**
 * Counts the retries that an operation may still make below one node.
 *
 * The sum over all holders never grows: a share is taken out before a leg is sent, only the unused part of that share
 * returns, and a leg that never answers forfeits its share.
 *
 * @public
 */
export class RetryAllowance {
	private remainingRetries: number;

	constructor(retries: number) {
		// The number may come from a peer's frame.
		this.remainingRetries = Number.isSafeInteger(retries) ? Math.max(0, retries) : 0;
	}

	get remaining(): number {
		return this.remainingRetries;
	}

	/** Takes one retry; returns false when none is left. */
	tryConsume(): boolean {
		if (this.remainingRetries === 0) {
			return false;
		}

		this.remainingRetries -= 1;
		return true;
	}

	/**
	 * Takes out half of what remains, rounded up, for one leg. Rounding up leaves the last retry to the deepest node, where
	 * a repeat costs least.
	 */
	split(): number {
		const share = Math.ceil(this.remainingRetries / 2);
		this.remainingRetries -= share;
		return share;
	}

	/** Returns the unused part of a share; a peer can't return more than it was handed. */
	returnUnused(share: number, unused: number): void {
		if (!Number.isInteger(unused) || unused <= 0) {
			return;
		}

		this.remainingRetries += Math.min(share, unused);
	}
}
