/**
 * Tracks the instances that are leaving the fleet or have left it. An instance is one run of a target process, identified by its name
 * and start time: a target that is published again under the same name with a later start time is a new instance.
 */
import {InstanceState, type TargetInstance} from './fleet-model.js';

/** How the departure of an instance became known. @public */
export const DepartureCause = {
	/** Its entry has the state `draining`. */
	draining: 'draining',
	/** Its entry was removed. */
	removed: 'removed',
} as const;

/** @public */
export type DepartureCauseName = (typeof DepartureCause)[keyof typeof DepartureCause];

/** @public */
export type Departure = {
	cause: DepartureCauseName;
	/** Revision of the record that shows the departure. */
	revision: number;
	/** Monotonic time in milliseconds at which this node received that record. */
	learnedAt: number;
	/** The last known description of the instance. */
	instance: TargetInstance;
};

/** Departures are kept after the entry is removed, for requests that are still in transit; the oldest are dropped beyond this number. */
const maximumDepartures = 10_000;

/**
 * Known departures by name of the instance.
 *
 * @public
 */
export class Departures {
	private readonly byName = new Map<string, Departure>();
	private readonly listeners = new Set<(name: string) => void>();

	constructor(private readonly now: () => number) {}

	/** Registers a listener that is called with the name of each instance that begins to leave. */
	onDeparture(listener: (name: string) => void): void {
		this.listeners.add(listener);
	}

	get(name: string): Departure | undefined {
		return this.byName.get(name);
	}

	/** Keeps the first departure of each run of a target process: from the time it was received, the instance must not be sent work. */
	add(instance: TargetInstance, cause: DepartureCauseName, revision: number): void {
		const {name, startedAtUnixMilliseconds} = instance;
		const known = this.byName.get(name);
		if (known !== undefined && known.instance.startedAtUnixMilliseconds >= startedAtUnixMilliseconds && !isRemovalOfUnknownStart(instance, cause)) {
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
	 * Returns an instance in the state in which it may be used. An instance that has reported `draining` stays draining, whereas one
	 * whose entry was removed may return, for example after an outage of the configuration service.
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

/** Without a start time, only the removal of its entry separates a draining instance from a later one with the same name. */
function isRemovalOfUnknownStart({startedAtUnixMilliseconds}: TargetInstance, cause: DepartureCauseName): boolean {
	return startedAtUnixMilliseconds === 0 && cause === DepartureCause.removed;
}
