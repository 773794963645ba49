/**
 * The retry allowance of an operation: a counter that nodes consume, split among downstream calls and return, so that the
 * retries of a whole call tree never exceed the policy's total.
 */

/**
 * Counts the retries that an operation may still make at one node and downstream of it.
 *
 * The sum over all nodes never grows: a share is removed before a downstream call is sent, only the unused part of that
 * share returns, and a downstream call without a response loses its share.
 *
 * @public
 */
export class RetryAllowance {
	private remainingRetries: number;

	constructor(retries: number) {
		// The number may come from a peer's frame, so it is not trusted.
		this.remainingRetries = Number.isSafeInteger(retries) ? Math.max(0, retries) : 0;
	}

	get remaining(): number {
		return this.remainingRetries;
	}

	/** Consumes one retry; returns false when none is left. */
	tryConsume(): boolean {
		if (this.remainingRetries === 0) {
			return false;
		}

		this.remainingRetries -= 1;
		return true;
	}

	/**
	 * Removes half of the remaining retries, rounded up, for one downstream call. Rounding up passes the last retry to the
	 * deepest node, where a retry costs least.
	 */
	split(): number {
		const share = Math.ceil(this.remainingRetries / 2);
		this.remainingRetries -= share;
		return share;
	}

	/** Adds back the unused part of a share; a peer can't return more than the share. */
	returnUnused(share: number, unused: number): void {
		if (!Number.isInteger(unused) || unused <= 0) {
			return;
		}

		this.remainingRetries += Math.min(share, unused);
	}
}
