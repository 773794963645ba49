/**
 * Estimates the service times of a target per kind from the calls that its node observes. Admission derives the
 * estimated wait and the latest start of a queued call from them.
 */

/** Weight of a new observation in the moving averages. */
const meanWeight = 0.1;
/** Multiple of the mean excess that is added to the mean, so that most calls finish within the estimate. */
const deviationFactor = 2;
/** Kinds come from the policy; the bound guards against a policy whose kind names keep changing. */
const maximumKinds = 256;

/** @internal */
export class ServiceTime {
	/** Calls of this kind that are queued or in progress. */
	pending = 0;
	private mean: number | undefined;
	private meanExcess = 0;

	/** Moving average of the time at the target, in milliseconds; 0 while unknown. */
	get average(): number {
		return this.mean ?? 0;
	}

	/** Time within which most calls finish, in milliseconds; 0 while unknown. */
	get estimate(): number {
		return this.average + (this.meanExcess * deviationFactor);
	}

	/**
	 * Records the service time of a completed call. Only the excess above the mean counts as deviation: a symmetric
	 * deviation would raise the estimate when a slow target becomes fast again.
	 */
	observe(milliseconds: number): void {
		if (this.mean === undefined) {
			this.mean = milliseconds;
			return;
		}

		this.meanExcess += (Math.max(0, milliseconds - this.mean) - this.meanExcess) * meanWeight;
		this.mean += (milliseconds - this.mean) * meanWeight;
	}

	/** Records a call that the target did not complete: its service time would have been at least this long. */
	observeAtLeast(milliseconds: number): void {
		if (milliseconds > this.average) {
			this.observe(milliseconds);
		}
	}
}

/**
 * Service times per kind and over all kinds.
 *
 * @internal
 */
export class ServiceTimes {
	readonly overall = new ServiceTime();
	private readonly kinds = new Map<string, ServiceTime>();

	forKind(kind: string): ServiceTime {
		const existing = this.kinds.get(kind);
		if (existing !== undefined) {
			return existing;
		}

		if (this.kinds.size >= maximumKinds) {
			this.evictIdleKind();
		}

		const created = new ServiceTime();
		this.kinds.set(kind, created);
		return created;
	}

	dump(): Record<string, number> {
		return Object.fromEntries([...this.kinds].map(([kind, time]) => [kind, Math.round(time.average)]));
	}

	private evictIdleKind(): void {
		for (const [kind, time] of this.kinds) {
			if (time.pending === 0) {
				this.kinds.delete(kind);
				return;
			}
		}
	}
}
