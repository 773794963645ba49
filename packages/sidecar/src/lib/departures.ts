/**
 * Remembers which starts of targets are leaving the fleet. A target that left under one start may be published again under
 * the same name with a later one, which is a new instance.
 */
import {InstanceState, type TargetInstance} from './fleet-model.js';

/** What told that an instance leaves. @public */
export const DepartureCause = {
	/** Its entry says that it drains. */
	draining: 'draining',
	/** Its entry was removed. */
	removed: 'removed',
} as const;

/** @public */
export type DepartureCauseName = (typeof DepartureCause)[keyof typeof DepartureCause];

/** @public */
export type Departure = {
	cause: DepartureCauseName;
	/** Revision of the record that told it. */
	revision: number;
	/** Monotonic time in milliseconds at which this node learned it. */
	learnedAt: number;
	/** The instance as it was last described. */
	instance: TargetInstance;
};

/** Departures are kept for a while after the entry is gone, for requests that are still on their way; this bounds them. */
const maximumDepartures = 10_000;

/**
 * The departures that a node knows of, by the name of the instance.
 *
 * @public
 */
export class Departures {
	private readonly byName = new Map<string, Departure>();
	private readonly listeners = new Set<(name: string) => void>();

	constructor(private readonly now: () => number) {}

	/** Calls a listener with the name of each instance that begins to leave. */
	onDeparture(listener: (name: string) => void): void {
		this.listeners.add(listener);
	}

	get(name: string): Departure | undefined {
		return this.byName.get(name);
	}

	/** The first notice of a start counts: its time is the one from which no work may be sent. */
	add(instance: TargetInstance, cause: DepartureCauseName, revision: number): void {
		const {name, startedAtUnixMilliseconds} = instance;
		const known = this.byName.get(name);
		if (known !== undefined && known.instance.startedAtUnixMilliseconds >= startedAtUnixMilliseconds && !isLastOfUnknownStart(instance, cause)) {
			return;
		}

		this.byName.delete(name);
		this.byName.set(name, {
			cause, revision, learnedAt: this.now(), instance,
		});
		if (this.byName.size > maximumDepartures) {
			const [oldest] = this.byName.keys();
			this.byName.delete(oldest!);
		}

		for (const listener of this.listeners) {
			listener(name);
		}
	}

	/**
	 * Returns an instance as it may be used: a start that once said that it drains does not take work again, whereas one whose
	 * entry was removed may return, as after an outage of the configuration service.
	 */
	applyTo(instance: TargetInstance): TargetInstance {
		const known = this.byName.get(instance.name);
		if (known === undefined) {
			return instance;
		}

		if (known.cause === DepartureCause.draining && known.instance.startedAtUnixMilliseconds === instance.startedAtUnixMilliseconds) {
			return {...instance, state: InstanceState.draining};
		}

		if (instance.state === InstanceState.ready) {
			this.byName.delete(instance.name);
		}

		return instance;
	}
}

/** Without a start, only the removal of its entry tells a draining instance from a later one under its name. */
function isLastOfUnknownStart({startedAtUnixMilliseconds}: TargetInstance, cause: DepartureCauseName): boolean {
	return startedAtUnixMilliseconds === 0 && cause === DepartureCause.removed;
}
