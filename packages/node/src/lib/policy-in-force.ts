/**
 * The policy in force at this node. An invalid record is refused, and the previous policy stays in force.
 */
import type {RecordStore} from '@hemlockthread/distribution';
import {parsePolicyRecord, type PolicyRecord} from '@hemlockthread/policy';
import type {Logs, Metrics} from '@hemlockthread/telemetry';

const policyKey = 'policy';

/**
 * Applies the published policy records.
 *
 * @public
 */
export class PolicyInForce {
	private record: PolicyRecord | undefined;
	private revisionInForce = 0;

	constructor(store: RecordStore, private readonly logs: Logs, private readonly metrics: Metrics) {
		store.onChange(published => {
			if (published.key === policyKey) {
				this.replace(published.value, published.revision);
			}
		});
	}

	get current(): PolicyRecord | undefined {
		return this.record;
	}

	get revision(): number {
		return this.revisionInForce;
	}

	dump(): unknown {
		return {revision: this.revisionInForce, schemaVersion: this.record?.content.schemaVersion};
	}

	private replace(text: string, revision: number): void {
		try {
			this.record = parsePolicyRecord(text);
			this.revisionInForce = revision;
			this.metrics.count('policy.accepted');
			this.logs.info('policy in force', {revision});
		} catch (error) {
			this.metrics.count('policy.refused');
			this.logs.warn('policy record refused', {revision, error: String(error)});
		}
	}
}
