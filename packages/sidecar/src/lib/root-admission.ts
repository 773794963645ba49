/**
 * Refuses requests of callers where they enter, while a service that they would need in the end has no room.
 *
 * Answers overload deep in the graph: a request that fails at its last call has already spent the work of all calls above
 * it. Every node sees the load of all instances in the reports of its peers and moves a level for each service: the level
 * rises while more work waits than the slots take and falls when there is room. The least urgent rank is refused in part
 * first, then the next one. All nodes act on the same reports, so their levels stay close without any exchange.
 */

/** @public */
export const rootAdmissionOptions = {
	/** Use of the slots of a service, waiting work included, above which the level rises. */
	targetUse: 0.9,
	/** Highest use that is calculated with; a long queue says no more than a short one. */
	maximumUse: 1.6,
	/** Change of the level per second for a use of 1 above the target. */
	levelPerSecond: 1.2,
	/** Part of the level that follows the use directly. */
	proportional: 0.5,
	/** Longest step of time that one update counts. */
	maximumStepMilliseconds: 500,
} as const;

/** Load of one service over all instances that can be reached. @public */
export type ServiceUse = {active: number; waiting: number; limit: number};

/**
 * Admission levels by service.
 *
 * @public
 */
export class RootAdmission {
	private readonly levels = new Map<string, number>();
	private readonly direct = new Map<string, number>();
	private updatedAt: number | undefined;
	private lowestRank = 0;

	constructor(private readonly random: () => number) {}

	/** Tells which ranks there are, so that the level starts with the least urgent one. */
	setRanks(ranks: Iterable<number>): void {
		this.lowestRank = Math.max(0, ...ranks);
	}

	/** Moves the levels by the time since the last update. */
	update(now: number, uses: ReadonlyMap<string, ServiceUse>): void {
		const step = Math.min(rootAdmissionOptions.maximumStepMilliseconds, now - (this.updatedAt ?? now)) / 1000;
		this.updatedAt = now;
		for (const [service, {active, waiting, limit}] of uses) {
			const use = Math.min(rootAdmissionOptions.maximumUse, (active + waiting) / Math.max(1, limit));
			const excess = use - rootAdmissionOptions.targetUse;
			const level = (this.levels.get(service) ?? 0) + (excess * rootAdmissionOptions.levelPerSecond * step);
			this.levels.set(service, Math.min(this.lowestRank + 1, Math.max(0, level)));
			this.direct.set(service, Math.max(0, excess) * rootAdmissionOptions.proportional);
		}

		for (const service of this.levels.keys()) {
			if (!uses.has(service)) {
				this.levels.delete(service);
				this.direct.delete(service);
			}
		}
	}

	/** The service for which a request must be refused; undefined where it may go on. */
	refusingService(rank: number, services: Iterable<string>): string | undefined {
		let highest = 0;
		let cause: string | undefined;
		for (const service of services) {
			const level = this.levelOf(service);
			if (level > highest) {
				highest = level;
				cause = service;
			}
		}

		const share = highest - (this.lowestRank - rank);
		return cause !== undefined && share > 0 && this.random() < share ? cause : undefined;
	}

	levelOf(service: string): number {
		const level = this.levels.get(service) ?? 0;
		// Without waiting work for some time the direct part alone refuses nothing.
		return level === 0 ? 0 : level + (this.direct.get(service) ?? 0);
	}

	dump(): unknown {
		return Object.fromEntries(this.levels);
	}
}
