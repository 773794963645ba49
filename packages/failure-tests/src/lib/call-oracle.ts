/**
 * The oracle: compares what callers were told with what targets ran, and knows nothing else.
 */
import type {CallerAnswer, FleetDriver} from '@hemlockthread/test-driver';
import type {TargetRun} from '@hemlockthread/stand-ins';
import {Verdict} from '@hemlockthread/verdict';

/** One answer to a caller. The body marks the operation. @public */
export type Told = {body: string; answer: CallerAnswer};

/**
 * Records answers and checks them against runs. Each operation of a test uses a body of its own.
 *
 * @public
 */
export class CallOracle {
	private readonly told: Told[] = [];

	constructor(private readonly driver: FleetDriver) {}

	record(body: string, answer: CallerAnswer): CallerAnswer {
		this.told.push({body, answer});
		return answer;
	}

	/** Runs of a kind for one operation, at all targets. */
	runsOf(kind: string, body: string): TargetRun[] {
		return [...this.driver.instances.values()]
			.flatMap(instance => instance.target.runs)
			.filter(run => run.kind === kind && run.body === body);
	}

	/**
	 * Returns what contradicts the promises for an irreversible kind: more than one run, an operation that ran although
	 * the last word to its caller was that it did not, or a whole answer without a run.
	 */
	violations(kind: string): string[] {
		const found: string[] = [];
		const last = new Map(this.told.map(({body, answer}) => [body, answer]));
		for (const [body, answer] of last) {
			const runs = this.runsOf(kind, body).length;
			if (runs > 1) {
				found.push(`"${body}" ran ${runs} times`);
			}

			if (runs > 0 && answer.verdict === Verdict.didNotRun) {
				found.push(`"${body}" ran, but its caller was told ${answer.verdict} (${answer.reason})`);
			}

			if (runs === 0 && answer.verdict === Verdict.ran) {
				found.push(`"${body}" did not run, but its caller was told ${answer.verdict}`);
			}
		}

		return found;
	}
}
