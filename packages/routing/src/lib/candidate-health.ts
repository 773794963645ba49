/**
 * Health of a candidate instance, derived from the outcomes of the calls that this node sent to it. Failures in a row
 * eject the instance; after a wait, a single trial call decides whether it is readmitted.
 */

/** Outcome of a call to an instance, as its sender observed it. @public */
export type CallOutcome = 'answered' | 'refused' | 'failed' | 'timed-out' | 'connection-lost' | 'abandoned';

/** @public */
export const healthOptions = {
	/** Sum of the weights of consecutive failures at which an instance is ejected. */
	ejectionThreshold: 5,
	/** Time from the first ejection to the trial call; doubles with each further ejection. */
	initialEjectionMilliseconds: 1000,
	maximumEjectionMilliseconds: 30_000,
	/** Time after readmission from which a new ejection starts again with the initial time. */
	ejectionResetMilliseconds: 60_000,
	/** Random share of the ejection time, so that nodes don't send their trial calls at the same time. */
	jitter: 0.5,
} as const;

type OutcomeRule = {
	/** Weight of the failure towards ejection; 0 if the outcome is no evidence of a failure. */
	failureWeight: number;
	/** True if the outcome shows that the instance works. */
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

/** Change of the health state by an outcome. @internal */
export type HealthChange = 'ejected' | 'readmitted' | 'none';

/**
 * Health of one candidate instance.
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

	/** Updates the health with an outcome. `mayEject` is only called if the outcome would eject the instance. */
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
