/**
 * Derives from the calls of this node and from those that other nodes report whether the configuration service was unavailable long enough for entries of live targets to
 * expire. A single failed call is not an outage, because the connection of a waiting watch may be reset at any time.
 */

/**
 * Time after the end of an outage within which live targets register expired entries again: two seconds by the platform's
 * specification, plus a margin for the propagation to this node.
 */
const reregistrationMilliseconds = 2500;
/** Entries expire after three missed heartbeats, so an outage shorter than two heartbeats expires none. */
const outageHeartbeats = 2;

/**
 * Availability of the configuration service, as observed by this node.
 *
 * @public
 */
export class ServiceAvailability {
	private lastResponseAt = Number.NEGATIVE_INFINITY;
	private recoveredAt = Number.NEGATIVE_INFINITY;
	/** Earliest time from which the service may have been unavailable; undefined while calls succeed. */
	private failingSince: number | undefined;

	constructor(private readonly heartbeatMilliseconds: number, private readonly now: () => number) {}

	/** Infinite before the first response. */
	get millisecondsSinceResponse(): number {
		return this.now() - this.lastResponseAt;
	}

	/** True while a removed entry may have expired although its target is alive. */
	get mayHaveExpiredEntries(): boolean {
		return this.isOutage() || this.now() - this.recoveredAt < reregistrationMilliseconds;
	}

	recordResponse(): void {
		this.recordResponseAt(this.now());
	}

	/** Records a response of the service to this node or to another one at a given time. */
	recordResponseAt(respondedAt: number): void {
		this.lastResponseAt = Math.max(this.lastResponseAt, respondedAt);
		if (this.failingSince !== undefined && respondedAt < this.failingSince) {
			return;
		}

		if (this.isOutage()) {
			this.recoveredAt = this.now();
		}

		this.failingSince = undefined;
	}

	/** Records a failed call; `since` is the earliest time from which the service may have been unavailable. */
	recordFailure(since: number): void {
		this.failingSince ??= Math.max(since, this.lastResponseAt);
	}

	private isOutage(): boolean {
		// Before the first response, no entry is known that could have expired.
		return this.failingSince !== undefined && Number.isFinite(this.lastResponseAt)
			&& this.now() - this.failingSince >= outageHeartbeats * this.heartbeatMilliseconds;
	}
}
