/**
 * The verdict type and the rule that combines the verdict of a call with those of its downstream calls.
 */

/**
 * States whether an operation ran.
 *
 * - `didNotRun`: it did not run, and nothing sent before this response can still make it run.
 * - `ran`: a complete response of the target was received.
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
 * Returns whether a value received from another process is a verdict.
 *
 * @public
 */
export function isVerdict(value: unknown): value is VerdictName {
	return typeof value === 'string' && verdictNames.has(value);
}

/**
 * Combines the local verdict of a call with the verdicts of its irreversible downstream calls.
 *
 * A call is `did-not-run` only if none of its irreversible downstream calls may have run, because the caller reads the
 * verdict as a statement about the whole operation.
 *
 * @public
 */
export function composeVerdicts(localVerdict: VerdictName, downstreamVerdicts: Iterable<VerdictName>): VerdictName {
	if (localVerdict !== Verdict.didNotRun) {
		return localVerdict;
	}

	for (const downstreamVerdict of downstreamVerdicts) {
		if (downstreamVerdict !== Verdict.didNotRun) {
			return Verdict.mayHaveRun;
		}
	}

	return Verdict.didNotRun;
}
