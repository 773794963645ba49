/**
 * Algorithms that adapt the concurrency limit of a target to the observed latency and throughput. Every limit stays
 * between one call and the published slots.
 */

/** Measurements of one finished call. @public */
export type LimitSample = {
	/** Monotonic time at which the call finished, in milliseconds. */
	now: number;
	/** Time at the target, without the queueing time at the node. */
	latencyMilliseconds: number;
	/** Calls in progress at the target when this call finished, including itself. */
	inProgress: number;
	/** False for a call that failed or did not complete at the target. */
	succeeded: boolean;
};

/** @public */
export type LimitPolicy = {
	/** Current concurrency limit. */
	readonly limit: number;
	observe(sample: LimitSample): void;
};

/** @public */
export const limitOptions = {
	/** Calls per window for each unit of the limit, so that the mean of a window covers every slot. */
	windowCallsPerSlot: 1,
	/** Minimum number of calls in a window. */
	minimumWindowCalls: 20,
	/** Minimum share of the limit in use for a window to be evidence that the limit can change. */
	minimumUtilization: 0.8,
	/** Ratio to the reference latency above which latency counts as congestion. */
	latencyTolerance: 1.5,
	/** The same ratio for starting a probe. Lower, because a probe that was not needed costs little. */
	probingTolerance: 1.3,
	/** Lower bound of the gradient, the factor by which one window reduces the limit of the delay gradient policy. */
	minimumGradient: 0.5,
	/** Weight of the computed limit in the smoothed limit. */
	smoothing: 0.2,
	/** Weight of a window in the long-term latency of the delay gradient policy. */
	longTermWeight: 0.02,
	/** Factor of a multiplicative decrease, also of the reduced limit during a probe. */
	backoff: 0.9,
	/** Additive increase per window, as a share of the ceiling. */
	increase: 0.02,
	/** Weight in the reference latency of a window that is slower than it; a faster window replaces the reference. */
	referenceWeight: 0.005,
	/** Elasticity of throughput to the limit below which the target counts as saturated. */
	saturatedElasticity: 0.3,
	/** Elasticity above which throughput counts as bounded by the limit. */
	limitedElasticity: 0.6,
	/** Weight of one probe in the smoothed elasticity. */
	elasticityWeight: 0.5,
	/** Latency ratio beyond which two windows aren't compared. A probe alone changes latency by less. */
	comparableLatency: 0.6,
	/** Maximum number of windows between two probes. */
	maximumWindowsBetweenProbes: 16,
} as const;

type Window = {calls: number; latency: number; utilization: number; throughput: number};

/** Aggregates calls into windows, whose means are less noisy than single calls. */
class WindowCollector {
	private calls = 0;
	private latencySum = 0;
	private inProgressSum = 0;
	private startedAt: number | undefined;

	/** Adds a sample; returns the window when the sample completes it. */
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
		// The limit always equals the published slots.
	}
}

/** Base class of the policies that adapt the limit once per window. */
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
		// The latency of a failed call is no evidence of congestion. The admission controller reduces the healthy share instead.
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

/** Scales the limit by the ratio of long-term to current latency and adds its square root as allowance for a queue. */
class DelayGradientLimit extends WindowedLimit {
	private longTerm: number | undefined;

	protected adapt(window: Window): void {
		this.longTerm = this.longTerm === undefined
			? window.latency
			: this.longTerm + ((window.latency - this.longTerm) * limitOptions.longTermWeight);
		if (this.longTerm > window.latency * 2) {
			// Decays faster after a slow period, because a high long-term latency would hide new congestion.
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

/** Additive increase while latency is near the reference, multiplicative decrease otherwise (AIMD). */
class AdditiveIncreaseLimit extends WindowedLimit {
	private readonly reference = new ReferenceLatency();

	protected adapt(window: Window): void {
		if (this.reference.updateAndCompare(window, limitOptions.latencyTolerance)) {
			this.setLimit(this.currentLimit * limitOptions.backoff);
		} else if (window.utilization >= limitOptions.minimumUtilization) {
			this.setLimit(this.currentLimit + (this.ceiling * limitOptions.increase));
		}
	}
}

/**
 * Reduces the limit only if the reduction does not cost throughput. While latency is above the reference, it alternates
 * windows at the limit with probe windows at a reduced limit and compares their throughput: a target that waits for a
 * slow downstream service loses throughput in proportion to the limit, a congested target does not.
 */
class ThroughputProbingLimit extends WindowedLimit {
	private readonly reference = new ReferenceLatency();
	private latencyExceeded = false;
	private probing = false;
	private settling = false;
	/** Last window at the current limit, the baseline of a probe. */
	private windowAtLimit: Window | undefined;
	private elasticity: number | undefined;
	private windowsBetweenProbes = 1;
	private windowsUntilProbe = 1;

	override get limit(): number {
		return Math.max(1, Math.round(this.probing ? this.currentLimit * limitOptions.backoff : this.currentLimit));
	}

	protected adapt(window: Window, now: number): void {
		if (this.settling) {
			// This window contains calls that started under the previous limit.
			this.settling = false;
			return;
		}

		if (this.probing) {
			this.finishProbe(window);
			this.windows.restart(now);
			return;
		}

		const wasExceeded = this.latencyExceeded;
		// The reference must not rise during congestion: it would follow the congested latency until nothing counts as congestion.
		const mayRise = window.utilization < limitOptions.minimumUtilization || (this.elasticity ?? 0) > limitOptions.limitedElasticity;
		this.latencyExceeded = this.reference.updateAndCompare(window, limitOptions.probingTolerance, mayRise);
		if (window.utilization < limitOptions.minimumUtilization) {
			return;
		}

		if (!this.latencyExceeded) {
			this.resetProbing();
			this.setLimit(this.currentLimit + (this.ceiling * limitOptions.increase));
			return;
		}

		if (!wasExceeded) {
			// This window contains calls from before latency rose, so its throughput can't serve as baseline.
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
			// The speed of the target itself changed between the two windows, so they can't be compared.
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
			// The probe window ran at what is now the limit and serves as the next baseline, so another probe can start at once.
			this.startProbe();
			return;
		}

		this.settling = true;
		if (this.elasticity > limitOptions.limitedElasticity) {
			// At the ceiling a probe only costs throughput, so the interval doubles while the probes confirm the limit.
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

/** Estimate of the latency of the uncongested target: follows a decrease at once and an increase slowly. */
class ReferenceLatency {
	private latency: number | undefined;

	/** Updates the reference with a window and returns whether the latency of the window exceeds it by more than the tolerance. */
	updateAndCompare(window: Window, tolerance: number, mayRise = true): boolean {
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
