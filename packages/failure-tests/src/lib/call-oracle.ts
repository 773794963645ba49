/**
 * The oracle: compares what callers were told with what targets ran, and knows nothing else.
 */
import type {CallerResponse, FleetDriver} from '@hemlockthread/test-driver';
import type {TargetRun} from '@hemlockthread/stand-ins';
import {Verdict} from '@hemlockthread/verdict';

/**
 * Records answers and checks them against runs. Each operation of a test uses a body of its own.
 *
 * @public
 */
export class CallOracle {
	private readonly lastTold = new Map<string, CallerResponse>();

	constructor(private readonly driver: FleetDriver) {}

	record(body: string, answer: CallerResponse): CallerResponse {
		this.lastTold.set(body, answer);
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
		return [...this.lastTold.keys()].flatMap(body => this.violationsOf(kind, body));
	}

	/** The same for one operation. */
	violationsOf(kind: string, body: string): string[] {
		const answer = this.lastTold.get(body);
		const runs = this.runsOf(kind, body).length;
		const found: string[] = [];
		if (runs > 1) {
			found.push(`"${body}" ran ${runs} times`);
		}

		if (runs > 0 && answer?.verdict === Verdict.didNotRun) {
			found.push(`"${body}" ran, but its caller was told ${answer.verdict} (${answer.reason})`);
		}

		if (runs === 0 && answer?.verdict === Verdict.ran) {
			found.push(`"${body}" did not run, but its caller was told ${answer.verdict}`);
		}

		return found;
	}
}
