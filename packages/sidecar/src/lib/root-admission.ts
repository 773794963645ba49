/**
 * Refuses callers' requests on receipt while a downstream service that they would need is overloaded, because a request that fails
 * at its last downstream call has already spent the work of all upstream calls. Every node knows the load of all instances from its
 * peers' reports and keeps an admission level per service, set by a proportional-integral controller: the level rises while the load
 * exceeds the capacity and falls otherwise. The least urgent rank is refused first, in part and then completely, then the next one.
 * All nodes act on the same reports, so their levels stay close without coordination.
 */

/** @public */
export const rootAdmissionOptions = {
	/** Utilization of a service, including waiting work, above which its level rises. */
	targetUtilization: 1,
	/** Upper bound of the utilization; a long queue carries no more information than a short one. */
	maximumUtilization: 1.6,
	/** Minimum level; it is negative so that recently free capacity absorbs a burst before any request is refused. */
	minimumLevel: -0.4,
	/** Change of the level per second and unit of utilization above the target. */
	integralGain: 1.2,
	/** Part of the level per unit of utilization above the target. */
	proportionalGain: 0.5,
	/** Time for which a rank without requests is kept. */
	rankRetentionMilliseconds: 10_000,
	/** Maximum time step of one update. */
	maximumStepMilliseconds: 500,
} as const;

/** Load of one service, summed over its reachable instances. @public */
export type ServiceLoad = {active: number; waiting: number; limit: number};

/**
 * Keeps an admission level for each service.
 *
 * @public
 */
export class RootAdmission {
	private readonly levels = new Map<string, number>();
	private readonly proportionalTerms = new Map<string, number>();
	private updatedAt: number | undefined;
	/** By rank, when a request last arrived. */
	private readonly lastSeenAt = new Map<number, number>();
	/** Recent ranks, the most urgent first; refusals start with the last one. */
	private ranks: number[] = [];

	constructor(private readonly random: () => number) {}

	/** Updates the levels for the time since the last update. */
	update(now: number, loads: ReadonlyMap<string, ServiceLoad>): void {
		const step = Math.min(rootAdmissionOptions.maximumStepMilliseconds, now - (this.updatedAt ?? now)) / 1000;
		this.updatedAt = now;
		this.expireRanks(now);
		for (const [service, {active, waiting, limit}] of loads) {
			const utilization = Math.min(rootAdmissionOptions.maximumUtilization, (active + waiting) / Math.max(1, limit));
			const excess = utilization - rootAdmissionOptions.targetUtilization;
			const level = (this.levels.get(service) ?? 0) + (excess * rootAdmissionOptions.integralGain * step);
			this.levels.set(service, Math.min(this.ranks.length, Math.max(rootAdmissionOptions.minimumLevel, level)));
			this.proportionalTerms.set(service, Math.max(0, excess) * rootAdmissionOptions.proportionalGain);
		}

		for (const service of this.levels.keys()) {
			if (!loads.has(service)) {
				this.levels.delete(service);
				this.proportionalTerms.delete(service);
			}
		}
	}

	/** Returns the overloaded service because of which a request must be refused; undefined if the request is admitted. */
	overloadedService(rank: number, services: Iterable<string>): string | undefined {
		this.recordRank(rank);
		let highest = 0;
		let cause: string | undefined;
		for (const service of services) {
			const level = this.levelOf(service);
			if (level > highest) {
				highest = level;
				cause = service;
			}
		}

		const refusedShare = highest - (this.ranks.length - 1 - this.ranks.indexOf(rank));
		return cause !== undefined && refusedShare > 0 && this.random() < refusedShare ? cause : undefined;
	}

	levelOf(service: string): number {
		const level = this.levels.get(service) ?? 0;
		// The proportional term alone refuses nothing: without sustained overload the level is not positive.
		return level <= 0 ? 0 : level + (this.proportionalTerms.get(service) ?? 0);
	}

	dump(): unknown {
		return Object.fromEntries(this.levels);
	}

	private recordRank(rank: number): void {
		if (!this.lastSeenAt.has(rank)) {
			this.ranks = [...this.ranks, rank].toSorted((first, second) => first - second);
		}

		this.lastSeenAt.set(rank, this.updatedAt ?? 0);
	}

	private expireRanks(now: number): void {
		for (const [rank, lastSeenAt] of this.lastSeenAt) {
			if (now - lastSeenAt > rootAdmissionOptions.rankRetentionMilliseconds) {
				this.lastSeenAt.delete(rank);
				this.ranks = this.ranks.filter(other => other !== rank);
			}
		}
	}
}
