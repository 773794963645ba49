/**
 * Judges from the calls of this node whether the configuration service was away for so long that entries of living targets may
 * have expired. One failed call is no outage: a waiting watch may be cut at any time.
 */

/**
 * Time after the service returns within which entries that expired while it was away come back, with a margin for the way to
 * this node. The service's users state two seconds.
 */
const returnMilliseconds = 2500;
/** Entries expire after three heartbeats without one, so fewer than two missed heartbeats expire none. */
const missedHeartbeats = 2;

/**
 * What the calls to the configuration service tell of its availability.
 *
 * @public
 */
export class ServiceAvailability {
	private answeredAt = Number.NEGATIVE_INFINITY;
	private returnedAt = Number.NEGATIVE_INFINITY;
	/** Since when no call was answered, as far as failures show; undefined while calls are answered. */
	private failingSince: number | undefined;

	constructor(private readonly heartbeatMilliseconds: number, private readonly now: () => number) {}

	/** Time since the last answer in milliseconds; infinite before the first one. */
	get millisecondsSinceResponse(): number {
		return this.now() - this.answeredAt;
	}

	/** True while an entry that goes missing may have expired although its target lives. */
	get mayHaveExpiredEntries(): boolean {
		return this.isOutage() || this.now() - this.returnedAt < returnMilliseconds;
	}

	recordResponse(): void {
		if (this.isOutage()) {
			this.returnedAt = this.now();
		}

		this.failingSince = undefined;
		this.answeredAt = this.now();
	}

	/** Notes a call that failed; `since` is the earliest time from which the service may have been away. */
	recordFailure(since: number): void {
		this.failingSince ??= Math.max(since, this.answeredAt);
	}

	private isOutage(): boolean {
		// A process that has had no answer yet knows of no entry that could have expired.
		return this.failingSince !== undefined && Number.isFinite(this.answeredAt)
			&& this.now() - this.failingSince >= missedHeartbeats * this.heartbeatMilliseconds;
	}
}
