/**
 * Holds what the node knows of the published records. Records come from the configuration service and from peers, in any
 * order and more than once; the revision decides which one is newer. The policy in force never goes back to an earlier
 * version while the process runs.
 */
import {DepartureCause, Departures} from './departures.js';
import {
	formatAddress, InstanceState, isNewerDescription, isOlderDescription, type DecodedRecord, type RecordDecoder, type RecordSnapshot, type RoutingPolicy, type StoredRecord, type TargetInstance,
} from './fleet-model.js';
import {ServiceAvailability} from './service-availability.js';

/** Deletions are remembered, so that an older copy from a peer can't bring an entry back. */
const maximumDeletions = 10_000;

type HeldInstance = Extract<DecodedRecord, {type: 'instance'}>;
type Held = {
	/** The record with the highest revision. */
	record: StoredRecord;
	/** The newest description among the records of the key; undefined where none can be used. */
	decoded: HeldInstance | undefined;
	/** Revision of the record with that description; lower than that of the highest one where the latter is a late copy. */
	describedAt: number;
};

/** Where a record came from, for the log. @public */
export type RecordSourceName = 'service' | 'peer';

/** @public */
export type RecordChange = {
	key: string;
	revision: number;
	source: RecordSourceName;
	outcome: 'accepted' | 'deleted' | 'lapsed' | 'unusable' | 'late-copy' | 'older-policy';
	detail: string;
};

/** @public */
export type RevisionSummary = {policyVersion: number; fleetRevision: number};

/** @public */
export type FleetRecordsOptions = {
	decode: RecordDecoder;
	/** Time between two heartbeats of a target's entry, in milliseconds. */
	heartbeatMilliseconds: number;
	/** Monotonic time in milliseconds. */
	now(): number;
};

/**
 * The node's copy of the records.
 *
 * @public
 */
export class FleetRecords {
	/** What this node's calls tell of the configuration service. */
	readonly configurationService: ServiceAvailability;
	/** The instances that must get no work. Entries that may only have expired are not among them. */
	readonly departures: Departures;
	private readonly decode: RecordDecoder;
	private readonly now: () => number;
	private readonly held = new Map<string, Held>();
	private readonly deletions = new Map<string, number>();
	private readonly lapsed = new Map<string, {instance: TargetInstance; revision: number}>();
	private readonly completeTo = new Map<string, number>();
	private policyRecord: StoredRecord | undefined;
	private policyHeld: RoutingPolicy | undefined;
	private policyReceivedAt = 0;
	private byService = new Map<string, TargetInstance[]>();
	private newestFleetRevision = 0;
	private readonly listeners = new Set<(change: RecordChange) => void>();

	constructor({decode, heartbeatMilliseconds, now}: FleetRecordsOptions) {
		this.decode = decode;
		this.now = now;
		this.departures = new Departures(now);
		this.configurationService = new ServiceAvailability(heartbeatMilliseconds, now);
	}

	/** The policy in force; undefined until one is known. */
	get policy(): RoutingPolicy | undefined {
		return this.policyHeld;
	}

	/** Age of the policy in force in milliseconds. */
	get policyAgeMilliseconds(): number {
		return this.now() - this.policyReceivedAt;
	}

	get revisions(): RevisionSummary {
		return {policyVersion: this.policyHeld?.version ?? 0, fleetRevision: this.newestFleetRevision};
	}

	onChange(listener: (change: RecordChange) => void): void {
		this.listeners.add(listener);
	}

	/** Instances of a service that may be sent work or that still answer. */
	instancesOf(service: string): readonly TargetInstance[] {
		return this.byService.get(service) ?? [];
	}

	instances(): TargetInstance[] {
		return [...this.byService.values()].flat();
	}

	/** Applies one record; returns true where it was newer than what was held. */
	apply(record: StoredRecord, source: RecordSourceName): boolean {
		if (record.revision <= this.revisionOf(record.key)) {
			this.applyOvertaken(record, source);
			return false;
		}

		if (record.value === undefined) {
			this.remove(record.key, record.revision, source);
			return true;
		}

		this.accept({...record, value: record.value}, source);
		return true;
	}

	/** Applies a whole listing of the keys with a prefix: what it lacks was deleted before the listing was made. */
	applyListing(prefix: string, records: readonly StoredRecord[], revision: number): void {
		for (const record of records) {
			this.apply(record, 'service');
		}

		this.removeUnlisted(prefix, new Set(records.map(({key}) => key)), revision, 'service');
		this.markComplete(prefix, revision);
	}

	/** Applies the records of a peer; what they lack and the peer would know was deleted. */
	applySnapshot({records, completeTo}: RecordSnapshot): void {
		const listed = new Set<string>();
		for (const record of records) {
			listed.add(record.key);
			this.apply(record, 'peer');
		}

		for (const [prefix, revision] of Object.entries(completeTo)) {
			this.removeUnlisted(prefix, listed, revision, 'peer');
			this.markComplete(prefix, revision);
		}
	}

	/** Notes that all changes of the keys with a prefix up to a revision were applied. */
	markComplete(prefix: string, revision: number): void {
		this.completeTo.set(prefix, Math.max(revision, this.completeTo.get(prefix) ?? 0));
	}

	/** Ends the use of instances whose entries lapsed during an outage and did not come back after it. */
	expireLapsed(): void {
		if (this.lapsed.size === 0 || this.configurationService.mayHaveExpiredEntries) {
			return;
		}

		for (const [key, {instance, revision}] of this.lapsed) {
			this.lapsed.delete(key);
			this.departures.add(instance, DepartureCause.removed, revision);
			this.report({
				key, revision, source: 'service', outcome: 'deleted', detail: 'did not return after the outage',
			});
		}

		this.index();
	}

	/** All records, for a peer that lacks some. */
	createSnapshot(): RecordSnapshot {
		const records: StoredRecord[] = [...this.held.values()].map(({record}) => record);
		if (this.policyRecord !== undefined) {
			records.push(this.policyRecord);
		}

		for (const [key, revision] of this.deletions) {
			records.push({key, revision, value: undefined});
		}

		return {records, completeTo: Object.fromEntries(this.completeTo)};
	}

	dump(): unknown {
		return {
			policyVersion: this.policyHeld?.version, policyAgeMilliseconds: this.policyAgeMilliseconds, fleetRevision: this.newestFleetRevision,
			serviceSilenceMilliseconds: this.configurationService.millisecondsSinceResponse, lapsed: [...this.lapsed.keys()], instances: this.instances(),
		};
	}

	/** The newest revision known of a key, 0 for none. */
	private revisionOf(key: string): number {
		const policyRevision = this.policyRecord?.key === key ? this.policyRecord.revision : 0;
		return Math.max(policyRevision, this.held.get(key)?.record.revision ?? 0, this.deletions.get(key) ?? 0);
	}

	/**
	 * Applies a record that another one of its key overtook, as where a peer is quicker than the service. What it says still holds
	 * where the other one is a late copy.
	 */
	private applyOvertaken(record: StoredRecord, source: RecordSourceName): void {
		const held = this.held.get(record.key);
		if (held?.decoded === undefined || record.revision >= held.record.revision) {
			return;
		}

		const {instance} = held.decoded;
		if (record.value === undefined) {
			if (record.revision < held.describedAt) {
				return;
			}

			this.departures.add(instance, DepartureCause.removed, record.revision);
			this.hold(held.record, undefined, held.describedAt);
		} else {
			const decoded = this.decode(record.key, record.value);
			if (decoded.type !== 'instance' || !isNewerDescription(decoded.instance, instance)) {
				return;
			}

			this.take(held.record, decoded.instance, record.revision);
		}

		this.report({
			key: record.key, revision: record.revision, source, outcome: 'accepted', detail: 'a late copy had overtaken it',
		});
	}

	private accept(record: StoredRecord & {value: string}, source: RecordSourceName): void {
		const decoded = this.decode(record.key, record.value);
		if (decoded.type === 'policy') {
			this.acceptPolicy(record, decoded.policy, source);
			return;
		}

		this.newestFleetRevision = Math.max(this.newestFleetRevision, record.revision);
		this.deletions.delete(record.key);
		if (decoded.type === 'unusable') {
			this.hold(record, undefined, record.revision);
			this.report({
				key: record.key, revision: record.revision, source, outcome: 'unusable', detail: decoded.reason,
			});
			return;
		}

		const known = this.lastDescription(record.key, decoded.instance.name);
		if (known !== undefined && isOlderDescription(decoded.instance, known)) {
			this.passOver(record, decoded.instance, source);
			return;
		}

		const instance = this.take(record, decoded.instance, record.revision);
		this.report({
			key: record.key, revision: record.revision, source, outcome: 'accepted',
			detail: `${instance.service} ${instance.state} at ${formatAddress(instance.address)}`,
		});
	}

	/** Puts a description in force; returns it as it may be used. */
	private take(record: StoredRecord, description: TargetInstance, describedAt: number): TargetInstance {
		const instance = this.departures.applyTo(description);
		this.hold(record, {type: 'instance', instance}, describedAt);
		if (instance.state === InstanceState.draining) {
			this.departures.add(instance, DepartureCause.draining, describedAt);
		}

		return instance;
	}

	private hold(record: StoredRecord, decoded: HeldInstance | undefined, describedAt: number): void {
		this.held.set(record.key, {record, decoded, describedAt});
		this.lapsed.delete(record.key);
		this.index();
	}

	/** The newest description of an instance that this node has had. */
	private lastDescription(key: string, name: string): TargetInstance | undefined {
		return this.held.get(key)?.decoded?.instance ?? this.lapsed.get(key)?.instance ?? this.departures.get(name)?.instance;
	}

	/** Keeps what is held in the place of a late copy, also for peers that ask. */
	private passOver(record: StoredRecord, {service, state}: TargetInstance, source: RecordSourceName): void {
		const held = this.held.get(record.key);
		this.held.set(record.key, held === undefined
			? {record, decoded: undefined, describedAt: record.revision}
			: {...held, record: {...held.record, revision: record.revision}});
		this.report({
			key: record.key, revision: record.revision, source, outcome: 'late-copy', detail: `${service} ${state}`,
		});
	}

	private acceptPolicy(record: StoredRecord, policy: RoutingPolicy, source: RecordSourceName): void {
		const held = this.policyHeld?.version ?? 0;
		if (policy.version <= held) {
			this.report({
				key: record.key, revision: record.revision, source, outcome: 'older-policy', detail: `version ${policy.version}, held ${held}`,
			});
			return;
		}

		this.policyHeld = policy;
		this.policyRecord = record;
		this.policyReceivedAt = this.now();
		this.index();
		this.report({
			key: record.key, revision: record.revision, source, outcome: 'accepted', detail: `policy version ${policy.version}`,
		});
	}

	private removeUnlisted(prefix: string, listed: ReadonlySet<string>, revision: number, source: RecordSourceName): void {
		for (const [key, {record}] of this.held) {
			if (key.startsWith(prefix) && !listed.has(key) && record.revision <= revision) {
				this.remove(key, revision, source);
			}
		}
	}

	private remove(key: string, revision: number, source: RecordSourceName): void {
		const held = this.held.get(key);
		this.held.delete(key);
		this.rememberDeletion(key, revision);
		this.newestFleetRevision = Math.max(this.newestFleetRevision, revision);
		const instance = held?.decoded?.instance;
		const doubtful = instance?.state === InstanceState.ready && this.configurationService.mayHaveExpiredEntries;
		if (instance !== undefined && doubtful) {
			this.lapsed.set(key, {instance, revision});
		} else if (instance !== undefined) {
			this.departures.add(instance, DepartureCause.removed, revision);
		}

		this.index();
		this.report({
			key, revision, source, outcome: doubtful ? 'lapsed' : 'deleted', detail: '',
		});
	}

	private rememberDeletion(key: string, revision: number): void {
		this.deletions.delete(key);
		this.deletions.set(key, revision);
		if (this.deletions.size > maximumDeletions) {
			const [oldest] = this.deletions.keys();
			this.deletions.delete(oldest!);
		}
	}

	/** Rebuilds the lists by service. Of two entries with one address, the later start has it. */
	private index(): void {
		const byAddress = new Map<string, TargetInstance>();
		const consider = (instance: TargetInstance) => {
			if (this.policyHeld !== undefined && !this.policyHeld.services.has(instance.service)) {
				return;
			}

			const key = formatAddress(instance.address);
			const other = byAddress.get(key);
			if (other === undefined || other.startedAtUnixMilliseconds < instance.startedAtUnixMilliseconds) {
				byAddress.set(key, instance);
			}
		};

		for (const {instance} of this.lapsed.values()) {
			consider(instance);
		}

		for (const {decoded} of this.held.values()) {
			if (decoded !== undefined) {
				consider(decoded.instance);
			}
		}

		const byService = new Map<string, TargetInstance[]>();
		for (const instance of byAddress.values()) {
			const list = byService.get(instance.service);
			if (list === undefined) {
				byService.set(instance.service, [instance]);
			} else {
				list.push(instance);
			}
		}

		this.byService = byService;
	}

	private report(change: RecordChange): void {
		for (const listener of this.listeners) {
			listener(change);
		}
	}
}
