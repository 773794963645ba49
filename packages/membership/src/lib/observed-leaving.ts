/**
 * Tracks instances that are leaving from their own notices, which arrive before the published list shows it.
 */

/** @public */
export const observedLeavingOptions = {
	/**
	 * Time after the last notice for which an instance counts as leaving. Afterwards nodes connect to it again, because a
	 * restarted instance has no other way to show its new incarnation to nodes that avoid it.
	 */
	noticeLifetimeMilliseconds: 30_000,
	/** Incarnations remembered per instance. More than one is needed only while an old process still drains. */
	incarnationsPerInstance: 4,
} as const;

type Observation = {
	/** The newest incarnation that this node received a message from. */
	current: string;
	leaving: string[];
	noticedAt: number;
};

/**
 * Records leaving notices per incarnation. An incarnation that leaves never joins again.
 *
 * @internal
 */
export class ObservedLeaving {
	private readonly observations = new Map<string, Observation>();

	constructor(private readonly now: () => number) {}

	get names(): string[] {
		return [...this.observations.keys()].filter(name => this.has(name));
	}

	has(name: string): boolean {
		const observation = this.observations.get(name);
		return observation !== undefined
			&& observation.leaving.includes(observation.current)
			&& this.now() - observation.noticedAt < observedLeavingOptions.noticeLifetimeMilliseconds;
	}

	recordLeaving(name: string, incarnation: string): void {
		const observation = this.observations.get(name) ?? {current: incarnation, leaving: [], noticedAt: 0};
		if (!observation.leaving.includes(incarnation)) {
			observation.leaving = [...observation.leaving, incarnation].slice(-observedLeavingOptions.incarnationsPerInstance);
		}

		observation.noticedAt = this.now();
		this.observations.set(name, observation);
	}

	recordHello(name: string, incarnation: string): void {
		const observation = this.observations.get(name);
		if (observation !== undefined && !observation.leaving.includes(incarnation)) {
			observation.current = incarnation;
		}
	}

	/** Removes instances that are no longer in the published list. */
	keepOnly(isListed: (name: string) => boolean): void {
		for (const name of this.observations.keys()) {
			if (!isListed(name)) {
				this.observations.delete(name);
			}
		}
	}
}
