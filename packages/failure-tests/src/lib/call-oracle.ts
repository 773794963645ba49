/**
 * Test oracle that compares the responses of callers with the runs at targets, without any state of the nodes.
 */
import type {CallerResponse, FleetDriver} from '@hemlockthread/test-driver';
import type {TargetRun} from '@hemlockthread/stand-ins';
import {Verdict} from '@hemlockthread/verdict';

/**
 * Records responses and checks them against runs. Operations are told apart by their bodies, so each needs a unique one.
 *
 * @public
 */
export class CallOracle {
	private readonly lastResponses = new Map<string, CallerResponse>();

	constructor(private readonly driver: FleetDriver) {}

	record(body: string, response: CallerResponse): CallerResponse {
		this.lastResponses.set(body, response);
		return response;
	}

	/** Returns the runs of one operation at all targets. */
	runsOf(kind: string, body: string): TargetRun[] {
		return [...this.driver.instances.values()]
			.flatMap(instance => instance.target.runs)
			.filter(run => run.kind === kind && run.body === body);
	}

	/**
	 * Returns the violations of the guarantees for an irreversible kind: more than one run, a run although the last response
	 * to the caller said that it did not run, or a complete response without a run.
	 */
	violations(kind: string): string[] {
		return [...this.lastResponses.keys()].flatMap(body => this.violationsOf(kind, body));
	}

	/** Returns the violations of one operation. */
	violationsOf(kind: string, body: string): string[] {
		const response = this.lastResponses.get(body);
		const runs = this.runsOf(kind, body).length;
		const violations: string[] = [];
		if (runs > 1) {
			violations.push(`"${body}" ran ${runs} times`);
		}

		if (runs > 0 && response?.verdict === Verdict.didNotRun) {
			violations.push(`"${body}" ran, but its caller received ${response.verdict} (${response.reason})`);
		}

		if (runs === 0 && response?.verdict === Verdict.ran) {
			violations.push(`"${body}" did not run, but its caller received ${response.verdict}`);
		}

		return violations;
	}
}
