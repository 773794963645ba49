/**
 * Whether an instance may be chosen, judged by the calls that this node sent to it.
 */

/** How a call to an instance ended, as its sender saw it. @public */
export type CallOutcome = 'answered' | 'refused' | 'failed' | 'timed-out' | 'connection-lost' | 'abandoned';

/** @public */
export const healthOptions = {
	/** Sum of failure weights in a row that ejects an instance. */
	ejectionThreshold: 5,
	/** Wait before the first trial call; doubles with each further ejection. */
	initialEjectionMilliseconds: 1000,
	maximumEjectionMilliseconds: 30_000,
	/** An instance that stayed healthy this long starts again with the first wait. */
	ejectionResetMilliseconds: 60_000,
	/** Part of the wait that is random, so that nodes don't send their trials together. */
	jitter: 0.5,
} as const;

type OutcomeRule = {
	/** Weight towards ejection; 0 leaves the instance's record as it is. */
	failureWeight: number;
	/** True where the instance has shown that it works. */
	healthy: boolean;
};

/** Five failures, three timeouts or two lost connections in a row eject an instance. @internal */
export const outcomeRules: Readonly<Record<CallOutcome, OutcomeRule>> = {
	answered: {failureWeight: 0, healthy: true},
	refused: {failureWeight: 0, healthy: true},
	failed: {failureWeight: 1, healthy: false},
	'timed-out': {failureWeight: 2, healthy: false},
	'connection-lost': {failureWeight: 3, healthy: false},
	abandoned: {failureWeight: 0, healthy: false},
};

/** @internal */
export type HealthState = 'healthy' | 'ejected' | 'trial-due';

/** What a call's outcome changed. @internal */
export type HealthChange = 'ejected' | 'readmitted' | 'none';

/**
 * Health of one instance.
 *
 * @internal
 */
export class CandidateHealth {
	private failures = 0;
	private ejections = 0;
	private ejectedUntil: number | undefined;
	private readmittedAt = Number.NEGATIVE_INFINITY;
	private trialInProgress = false;

	state(now: number): HealthState {
		if (this.ejectedUntil === undefined) {
			return 'healthy';
		}

		return now >= this.ejectedUntil && !this.trialInProgress ? 'trial-due' : 'ejected';
	}

	beginTrial(): void {
		this.trialInProgress = true;
	}

	/** Takes an outcome into account. `mayEject` is asked only where the outcome would eject the instance. */
	recordOutcome(outcome: CallOutcome, now: number, random: () => number, mayEject: () => boolean): HealthChange {
		const rule = outcomeRules[outcome];
		if (rule.healthy) {
			return this.recordSuccess(now);
		}

		this.failures += rule.failureWeight;
		if (this.ejectedUntil !== undefined) {
			if (this.trialInProgress && rule.failureWeight > 0) {
				this.eject(now, random);
			}

			this.trialInProgress = false;
			return 'none';
		}

		if (this.failures < healthOptions.ejectionThreshold || !mayEject()) {
			return 'none';
		}

		this.eject(now, random);
		return 'ejected';
	}

	dump(now: number): unknown {
		return {state: this.state(now), failures: this.failures, ejections: this.ejections};
	}

	private recordSuccess(now: number): HealthChange {
		this.failures = 0;
		if (this.ejectedUntil === undefined) {
			return 'none';
		}

		this.ejectedUntil = undefined;
		this.trialInProgress = false;
		this.readmittedAt = now;
		return 'readmitted';
	}

	private eject(now: number, random: () => number): void {
		if (this.ejectedUntil === undefined && now - this.readmittedAt > healthOptions.ejectionResetMilliseconds) {
			this.ejections = 0;
		}

		const wait = Math.min(healthOptions.maximumEjectionMilliseconds, healthOptions.initialEjectionMilliseconds * (2 ** this.ejections));
		this.ejections += 1;
		this.ejectedUntil = now + (wait * (1 - (healthOptions.jitter * random())));
	}
}
