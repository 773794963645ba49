/**
 * The verdict type and the rule for combining the verdicts of a call and of its downstream legs.
 */

/**
 * States whether an operation ran.
 *
 * - `didNotRun`: it did not run, and nothing sent before this answer can still make it run.
 * - `ran`: a whole answer of the target was received.
 * - `mayHaveRun`: neither of the other two is certain.
 *
 * @public
 */
export const Verdict = {
	didNotRun: 'did-not-run',
	ran: 'ran',
	mayHaveRun: 'may-have-run',
} as const;

/** @public */
export type VerdictName = (typeof Verdict)[keyof typeof Verdict];

const verdictNames = new Set<string>(Object.values(Verdict));

/**
 * Tells whether a value received from another process is a verdict.
 *
 * @public
 */
export function isVerdict(value: unknown): value is VerdictName {
	return typeof value === 'string' && verdictNames.has(value);
}

/**
 * Combines a node's own verdict for a call with the verdicts of the irreversible legs below it.
 *
 * A call is `did-not-run` only if nothing irreversible below it may have run, because the caller reads the verdict as a
 * statement about the whole operation.
 *
 * @public
 */
export function composeVerdicts(own: VerdictName, irreversibleLegs: Iterable<VerdictName>): VerdictName {
	if (own !== Verdict.didNotRun) {
		return own;
	}

	for (const leg of irreversibleLegs) {
		if (leg !== Verdict.didNotRun) {
			return Verdict.mayHaveRun;
		}
	}

	return Verdict.didNotRun;
}
