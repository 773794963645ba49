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
	targetUse: 1,
	/** Highest use that is calculated with; a long queue says no more than a short one. */
	maximumUse: 1.6,
	/** Lowest level: room of the last moments takes up a burst before anybody is refused. */
	lowestLevel: -0.4,
	/** Change of the level per second for a use of 1 above the target. */
	levelPerSecond: 1.2,
	/** Part of the level that follows the use directly. */
	proportional: 0.5,
	/** Time for which a rank without requests still takes part. */
	rankMemoryMilliseconds: 10_000,
	/** Longest step of time that one update counts. */
	maximumStepMilliseconds: 500,
} as const;

/** Load of one service over all instances that can be reached. @public */
export type ServiceLoad = {active: number; waiting: number; limit: number};

/**
 * Admission levels by service.
 *
 * @public
 */
export class RootAdmission {
	private readonly levels = new Map<string, number>();
	private readonly direct = new Map<string, number>();
	private updatedAt: number | undefined;
	/** When a request of each rank was last seen. */
	private readonly seenAt = new Map<number, number>();
	/** Ranks seen lately, the most urgent first; the level starts with the last one. */
	private ranks: number[] = [];

	constructor(private readonly random: () => number) {}

	/** Moves the levels by the time since the last update. */
	update(now: number, uses: ReadonlyMap<string, ServiceLoad>): void {
		const step = Math.min(rootAdmissionOptions.maximumStepMilliseconds, now - (this.updatedAt ?? now)) / 1000;
		this.updatedAt = now;
		this.forgetRanks(now);
		for (const [service, {active, waiting, limit}] of uses) {
			const use = Math.min(rootAdmissionOptions.maximumUse, (active + waiting) / Math.max(1, limit));
			const excess = use - rootAdmissionOptions.targetUse;
			const level = (this.levels.get(service) ?? 0) + (excess * rootAdmissionOptions.levelPerSecond * step);
			this.levels.set(service, Math.min(this.ranks.length, Math.max(rootAdmissionOptions.lowestLevel, level)));
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
		this.noteRank(rank);
		let highest = 0;
		let cause: string | undefined;
		for (const service of services) {
			const level = this.levelOf(service);
			if (level > highest) {
				highest = level;
				cause = service;
			}
		}

		const share = highest - (this.ranks.length - 1 - this.ranks.indexOf(rank));
		return cause !== undefined && share > 0 && this.random() < share ? cause : undefined;
	}

	levelOf(service: string): number {
		const level = this.levels.get(service) ?? 0;
		// Without waiting work for some time the direct part alone refuses nothing.
		return level <= 0 ? 0 : level + (this.direct.get(service) ?? 0);
	}

	dump(): unknown {
		return Object.fromEntries(this.levels);
	}

	private noteRank(rank: number): void {
		if (!this.seenAt.has(rank)) {
			this.ranks = [...this.ranks, rank].toSorted((first, second) => first - second);
		}

		this.seenAt.set(rank, this.updatedAt ?? 0);
	}

	private forgetRanks(now: number): void {
		for (const [rank, seenAt] of this.seenAt) {
			if (now - seenAt > rootAdmissionOptions.rankMemoryMilliseconds) {
				this.seenAt.delete(rank);
				this.ranks = this.ranks.filter(other => other !== rank);
			}
		}
	}
}
