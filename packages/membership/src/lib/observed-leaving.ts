/**
 * Which instances are leaving, as this node heard from the instances themselves.
 */

/** @public */
export const observedLeavingOptions = {
	/**
	 * Time after the last notice in which an instance is taken to run the incarnation that leaves. After it a new
	 * connection may ask again, because a restarted instance has no other way to be noticed by nodes that avoid it.
	 */
	noticeLifetimeMilliseconds: 30_000,
	/** Incarnations remembered per instance; more than one matters only while an old process still drains. */
	incarnationsPerInstance: 4,
} as const;

type Observation = {
	/** The newest incarnation that was heard from. */
	current: string;
	leaving: string[];
	noticedAt: number;
};

/**
 * Remembers leaving per incarnation. An incarnation that leaves never joins again.
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

	noteLeaving(name: string, incarnation: string): void {
		const observation = this.observations.get(name) ?? {current: incarnation, leaving: [], noticedAt: 0};
		if (!observation.leaving.includes(incarnation)) {
			observation.leaving = [...observation.leaving, incarnation].slice(-observedLeavingOptions.incarnationsPerInstance);
		}

		observation.noticedAt = this.now();
		this.observations.set(name, observation);
	}

	noteJoined(name: string, incarnation: string): void {
		const observation = this.observations.get(name);
		if (observation !== undefined && !observation.leaving.includes(incarnation)) {
			observation.current = incarnation;
		}
	}

	/** Forgets instances that the published list no longer shows. */
	keepOnly(isListed: (name: string) => boolean): void {
		for (const name of this.observations.keys()) {
			if (!isListed(name)) {
				this.observations.delete(name);
			}
		}
	}
}
