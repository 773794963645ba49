/**
 * Policies that adapt the concurrency limit to what the node observes at its target. The published slots are the
 * ceiling of every policy, one call is the floor.
 */

/** One finished call. @public */
export type LimitSample = {
	/** Monotonic time at which the call finished, in milliseconds. */
	now: number;
	/** Time at the target, without queueing at the node. */
	latencyMilliseconds: number;
	/** Calls at the target when this one finished, itself included. */
	inProgress: number;
	/** False for a call that the target failed or did not finish. */
	succeeded: boolean;
};

/** @public */
export type LimitPolicy = {
	/** Calls that may be at the target at once. */
	readonly limit: number;
	observe(sample: LimitSample): void;
};

/** @public */
export const limitOptions = {
	/** A window ends after this many calls per unit of the limit, so that its mean covers every slot. */
	windowCallsPerSlot: 1,
	/** Lower bound of the calls in a window. */
	minimumWindowCalls: 20,
	/** A window with less than this share of the limit in use says nothing about the limit. */
	minimumUtilization: 0.8,
	/** Latency above the reference by this factor counts as congestion. */
	latencyTolerance: 1.5,
	/** The same for the start of a probe, which may be more sensitive because a false alarm costs little. */
	probingTolerance: 1.3,
	/** Smallest factor by which one window may reduce the gradient policy's limit. */
	minimumGradient: 0.5,
	/** Weight of a new limit in the smoothed one. */
	smoothing: 0.2,
	/** Weight of a window in the gradient policy's long-term latency. */
	longTermWeight: 0.02,
	/** Factor of a reduction, and of a trial reduction. */
	backoff: 0.9,
	/** Limit added per window, as a share of the ceiling. */
	increase: 0.02,
	/** Weight of a window in the reference latency where the window is slower; a faster one replaces it. */
	referenceWeight: 0.005,
	/** A window pair with a smaller share of the expected throughput change counts as saturated. */
	saturatedElasticity: 0.3,
	/** A window pair with a larger share counts as limited by concurrency. */
	limitedElasticity: 0.6,
	/** Weight of a window pair in the smoothed elasticity. */
	elasticityWeight: 0.5,
	/** Windows whose latencies differ by more than this factor are not compared: a probe alone changes less. */
	comparableLatency: 0.6,
	/** Most windows from one probe to the next. */
	maximumWindowsBetweenProbes: 16,
} as const;

type Window = {calls: number; latency: number; utilization: number; throughput: number};

/** Collects calls into windows, whose means are less noisy than single calls. */
class WindowCollector {
	private calls = 0;
	private latencySum = 0;
	private inProgressSum = 0;
	private startedAt: number | undefined;

	/** Returns the window that this sample completes. */
	add(sample: LimitSample, limit: number): Window | undefined {
		this.startedAt ??= sample.now;
		this.calls += 1;
		this.latencySum += sample.latencyMilliseconds;
		this.inProgressSum += sample.inProgress;
		if (this.calls < Math.max(limitOptions.minimumWindowCalls, limit * limitOptions.windowCallsPerSlot)) {
			return undefined;
		}

		const {calls} = this;
		const window = {
			calls, latency: this.latencySum / calls, utilization: this.inProgressSum / calls / limit,
			throughput: calls / Math.max(sample.now - this.startedAt, Number.EPSILON),
		};
		this.restart(sample.now);
		return window;
	}

	restart(now: number): void {
		this.calls = 0;
		this.latencySum = 0;
		this.inProgressSum = 0;
		this.startedAt = now;
	}
}

class FixedLimit implements LimitPolicy {
	constructor(readonly limit: number) {}

	observe(): void {
		// The limit is the published slots, whatever is observed.
	}
}

/** Base of the policies that decide once per window. */
abstract class WindowedLimit implements LimitPolicy {
	protected currentLimit: number;
	protected readonly windows = new WindowCollector();

	constructor(protected readonly ceiling: number) {
		this.currentLimit = ceiling;
	}

	get limit(): number {
		return Math.max(1, Math.round(this.currentLimit));
	}

	observe(sample: LimitSample): void {
		// The latency of a failed call says nothing about congestion; the controller answers failures by itself.
		if (!sample.succeeded) {
			return;
		}

		const window = this.windows.add(sample, this.limit);
		if (window !== undefined) {
			this.adapt(window, sample.now);
		}
	}

	protected setLimit(limit: number): void {
		this.currentLimit = Math.min(this.ceiling, Math.max(1, limit));
	}

	protected abstract adapt(window: Window, now: number): void;
}

/** Follows the ratio of the long-term latency to the present one, with room for a queue of the limit's square root. */
class DelayGradientLimit extends WindowedLimit {
	private longTerm: number | undefined;

	protected adapt(window: Window): void {
		this.longTerm = this.longTerm === undefined
			? window.latency
			: this.longTerm + ((window.latency - this.longTerm) * limitOptions.longTermWeight);
		if (this.longTerm > window.latency * 2) {
			// After a slow spell the old mean would hide new congestion for long.
			this.longTerm *= 0.95;
		}

		if (window.utilization < limitOptions.minimumUtilization) {
			return;
		}

		const gradient = Math.max(limitOptions.minimumGradient, Math.min(1, limitOptions.latencyTolerance * this.longTerm / window.latency));
		const desiredLimit = (this.currentLimit * gradient) + Math.sqrt(this.currentLimit);
		this.setLimit(this.currentLimit + ((desiredLimit - this.currentLimit) * limitOptions.smoothing));
	}
}

/** Adds while latency stays near the lowest observed one, and backs off by a factor otherwise. */
class AdditiveIncreaseLimit extends WindowedLimit {
	private readonly reference = new ReferenceLatency();

	protected adapt(window: Window): void {
		if (this.reference.exceededBy(window, limitOptions.latencyTolerance)) {
			this.setLimit(this.currentLimit * limitOptions.backoff);
		} else if (window.utilization >= limitOptions.minimumUtilization) {
			this.setLimit(this.currentLimit + (this.ceiling * limitOptions.increase));
		}
	}
}

/**
 * Reduces the limit only where a reduction does not cost throughput. While latency is above the reference, it
 * alternates windows at the limit with windows at a reduced one and compares their throughput: a target that waits for
 * a slow service below it loses throughput in proportion, a congested one does not.
 */
class ThroughputProbingLimit extends WindowedLimit {
	private readonly reference = new ReferenceLatency();
	private latencyExceeded = false;
	private probing = false;
	private settling = false;
	/** The last window at the present limit. */
	private windowAtLimit: Window | undefined;
	private elasticity: number | undefined;
	private windowsBetweenProbes = 1;
	private windowsUntilProbe = 1;

	override get limit(): number {
		return Math.max(1, Math.round(this.probing ? this.currentLimit * limitOptions.backoff : this.currentLimit));
	}

	protected adapt(window: Window, now: number): void {
		if (this.settling) {
			// Calls that began at the previous limit finished in this window.
			this.settling = false;
			return;
		}

		if (this.probing) {
			this.finishProbe(window);
			this.windows.restart(now);
			return;
		}

		const wasExceeded = this.latencyExceeded;
		// A reference that rose during congestion would creep up with the limit until nothing counts as congestion.
		const mayRise = window.utilization < limitOptions.minimumUtilization || (this.elasticity ?? 0) > limitOptions.limitedElasticity;
		this.latencyExceeded = this.reference.exceededBy(window, limitOptions.probingTolerance, mayRise);
		if (window.utilization < limitOptions.minimumUtilization) {
			return;
		}

		if (!this.latencyExceeded) {
			this.resetProbing();
			this.setLimit(this.currentLimit + (this.ceiling * limitOptions.increase));
			return;
		}

		if (!wasExceeded) {
			// This window holds calls from before the change, so its throughput is no measure.
			return;
		}

		this.windowAtLimit = window;
		this.windowsUntilProbe -= 1;
		if (this.windowsUntilProbe <= 0) {
			this.startProbe();
		}
	}

	private startProbe(): void {
		this.probing = this.limit > 1;
		this.settling = this.probing;
	}

	private finishProbe(window: Window): void {
		this.probing = false;
		const windowAtLimit = this.windowAtLimit!;
		const latencyRatio = window.latency / windowAtLimit.latency;
		if (latencyRatio < limitOptions.comparableLatency || latencyRatio > 1 / limitOptions.comparableLatency) {
			// The target itself changed meanwhile, so the two windows can't be compared.
			this.settling = true;
			return;
		}

		const elasticity = (1 - (window.throughput / windowAtLimit.throughput)) / (1 - limitOptions.backoff);
		this.elasticity = this.elasticity === undefined
			? elasticity
			: this.elasticity + ((elasticity - this.elasticity) * limitOptions.elasticityWeight);
		if (this.elasticity < limitOptions.saturatedElasticity) {
			this.setLimit(this.currentLimit * limitOptions.backoff);
			this.windowAtLimit = window;
			this.windowsBetweenProbes = 1;
			// The probe was already a window at the new limit, so the next one can follow at once.
			this.startProbe();
			return;
		}

		this.settling = true;
		if (this.elasticity > limitOptions.limitedElasticity) {
			// At the ceiling each probe only costs throughput, so they become rare while they keep saying the same.
			this.windowsBetweenProbes = this.currentLimit < this.ceiling
				? 1
				: Math.min(limitOptions.maximumWindowsBetweenProbes, this.windowsBetweenProbes * 2);
			this.setLimit(this.currentLimit / limitOptions.backoff);
		}

		this.windowsUntilProbe = this.windowsBetweenProbes;
	}

	private resetProbing(): void {
		this.elasticity = undefined;
		this.windowsBetweenProbes = 1;
		this.windowsUntilProbe = 1;
	}
}

/** Tracks the latency of an uncongested target: falls at once, rises slowly. */
class ReferenceLatency {
	private latency: number | undefined;

	/** Takes a window into account and says whether its latency is above the reference by more than a factor. */
	exceededBy(window: Window, tolerance: number, mayRise = true): boolean {
		if (this.latency === undefined || window.latency < this.latency) {
			this.latency = window.latency;
		} else if (mayRise) {
			this.latency += (window.latency - this.latency) * limitOptions.referenceWeight;
		}

		return window.latency > this.latency * tolerance;
	}
}

/** @public */
export const limitPolicies = {
	fixed: (ceiling: number): LimitPolicy => new FixedLimit(ceiling),
	'delay-gradient': (ceiling: number): LimitPolicy => new DelayGradientLimit(ceiling),
	'additive-increase': (ceiling: number): LimitPolicy => new AdditiveIncreaseLimit(ceiling),
	'throughput-probing': (ceiling: number): LimitPolicy => new ThroughputProbingLimit(ceiling),
} as const;

/** @public */
export type LimitPolicyName = keyof typeof limitPolicies;
