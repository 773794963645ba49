/**
 * The node's copy of the published records. Records arrive from the configuration service and from peers, in any order and more
 * than once; the revision decides which one is newer. The policy in force never goes back to an earlier version while the process
 * runs.
 */
import {DepartureCause, Departures} from './departures.js';
import {
	formatAddress, InstanceState, isNewerDescription, isOlderDescription, type CompleteTo, type DecodedRecord, type RecordChanges,
	type RecordDecoder, type RoutingPolicy, type StoredRecord, type TargetInstance,
} from './fleet-model.js';
import {ServiceAvailability} from './service-availability.js';

/** Tombstones keep an older copy from a peer from restoring a deleted entry; the oldest are dropped beyond this number. */
const maximumTombstones = 10_000;

type DecodedInstance = Extract<DecodedRecord, {type: 'instance'}>;
type RecordEntry = {
	/** The record with the highest revision of the key. */
	record: StoredRecord;
	/** The newest description of the instance among the records of the key; undefined if none is usable. */
	description: DecodedInstance | undefined;
	/** Revision of the record with that description. Lower than `record.revision` if a late copy with a higher revision arrived. */
	descriptionRevision: number;
};

/** Origin of a record, as logged. @public */
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
 * Merges records from all sources and indexes the instances by service.
 *
 * @public
 */
export class FleetRecords {
	/** Availability of the configuration service, as observed by this node's calls. */
	readonly configurationService: ServiceAvailability;
	/** The instances that must not be sent work. Entries that may only have expired are not among them. */
	readonly departures: Departures;
	private readonly decode: RecordDecoder;
	private readonly now: () => number;
	private readonly entries = new Map<string, RecordEntry>();
	private readonly tombstones = new Map<string, number>();
	private readonly lapsed = new Map<string, {instance: TargetInstance; revision: number}>();
	private completeRevisions: CompleteTo = {};
	/**
	 * By key prefix, the revision from which all removals are known. Higher than 0 because a listing doesn't tell which keys were removed
	 * before it, and because old tombstones are dropped.
	 */
	private removalsKnownFrom: CompleteTo = {};
	private policyRecord: StoredRecord | undefined;
	private currentPolicy: RoutingPolicy | undefined;
	private policyReceivedAt = 0;
	/** Index of the usable entries, rebuilt on the first use after a change. */
	private instancesByService: Map<string, TargetInstance[]> | undefined;
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
		return this.currentPolicy;
	}

	/** Time since the policy in force was received. */
	get policyAgeMilliseconds(): number {
		return this.now() - this.policyReceivedAt;
	}

	get revisions(): RevisionSummary {
		return {policyVersion: this.currentPolicy?.version ?? 0, fleetRevision: this.newestFleetRevision};
	}

	onChange(listener: (change: RecordChange) => void): void {
		this.listeners.add(listener);
	}

	/** Instances of a service that accept work or are draining. */
	instancesOf(service: string): readonly TargetInstance[] {
		return this.index.get(service) ?? [];
	}

	instances(): TargetInstance[] {
		return [...this.index.values()].flat();
	}

	/** By key prefix, the revision up to which all changes are applied. */
	get completeTo(): CompleteTo {
		return this.completeRevisions;
	}

	/** Applies one record; returns true if it is newer than the known record of its key. */
	apply(record: StoredRecord, source: RecordSourceName): boolean {
		if (record.revision <= this.revisionOf(record.key)) {
			this.applyOutOfOrder(record, source);
			return false;
		}

		// With all changes up to a revision applied, a key without a record was removed before it, even if its tombstone is not known.
		if (!this.entries.has(record.key) && this.policyRecord?.key !== record.key && this.isCompleteFor(record)) {
			return false;
		}

		if (record.value === undefined) {
			this.remove(record.key, record.revision, source);
			return true;
		}

		this.applyValue({...record, value: record.value}, source);
		return true;
	}

	/** Applies a complete listing of the keys with a prefix: entries that are missing from it were deleted before the listing was made. */
	applyListing(prefix: string, records: readonly StoredRecord[], revision: number): void {
		for (const record of records) {
			this.apply(record, 'service');
		}

		this.applyUnlisted(prefix, new Set(records.map(({key}) => key)), revision, 'service');
	}

	/** Applies changes that a peer has received. Of all records of a peer, entries that are missing although it would know them were deleted. */
	applyChanges({records, completeTo, after}: RecordChanges): void {
		const listed = new Set<string>();
		for (const record of records) {
			this.apply(record, 'peer');
			if (record.value !== undefined) {
				listed.add(record.key);
			}
		}

		for (const [prefix, revision] of Object.entries(completeTo)) {
			const changesAfter = after[prefix];
			if (changesAfter === undefined) {
				this.applyUnlisted(prefix, listed, revision, 'peer');
			} else if (changesAfter <= (this.completeRevisions[prefix] ?? 0)) {
				// Otherwise changes between the two revisions are missing.
				this.markComplete(prefix, revision);
			}
		}
	}

	/** Marks all changes of the keys with a prefix up to a revision as applied. */
	markComplete(prefix: string, revision: number): void {
		if (revision > (this.completeRevisions[prefix] ?? 0)) {
			this.completeRevisions = {...this.completeRevisions, [prefix]: revision};
		}
	}

	/** Removes instances whose entries lapsed during an outage and were not registered again after it. */
	expireLapsed(): void {
		if (this.lapsed.size === 0 || this.configurationService.mayHaveExpiredEntries) {
			return;
		}

		this.instancesByService = undefined;
		for (const [key, {instance, revision}] of this.lapsed) {
			this.lapsed.delete(key);
			this.departures.add(instance, DepartureCause.removed, revision);
			this.notifyListeners({
				key, revision, source: 'service', outcome: 'deleted', detail: 'not registered again after the outage',
			});
		}
	}

	/**
	 * Returns the records and tombstones that changed after the given revisions, for a peer that is behind. Returns all of a prefix if none
	 * is given, or if this node doesn't know all removals after it: the peer then removes what is missing.
	 */
	changesSince(requestedAfter: CompleteTo): RecordChanges {
		const after = Object.fromEntries(Object.entries(requestedAfter).filter(([prefix, revision]) => revision >= (this.removalsKnownFrom[prefix] ?? 0)));
		const all: StoredRecord[] = [...this.entries.values()].map(({record}) => record);
		if (this.policyRecord !== undefined) {
			all.push(this.policyRecord);
		}

		for (const [key, revision] of this.tombstones) {
			all.push({key, revision, value: undefined});
		}

		const known = Object.entries(after);
		const records = all.filter(({key, revision}) => !known.some(([prefix, knownTo]) => key.startsWith(prefix) && revision <= knownTo));
		return {records, completeTo: this.completeRevisions, after};
	}

	dump(): unknown {
		return {
			policyVersion: this.currentPolicy?.version, policyAgeMilliseconds: this.policyAgeMilliseconds, fleetRevision: this.newestFleetRevision,
			serviceSilenceMilliseconds: this.configurationService.millisecondsSinceResponse, lapsed: [...this.lapsed.keys()], instances: this.instances(),
		};
	}

	private isCompleteFor({key, revision}: StoredRecord): boolean {
		return Object.entries(this.completeRevisions).some(([prefix, completeTo]) => revision <= completeTo && key.startsWith(prefix));
	}

	/** The highest known revision of a key; 0 if the key is unknown. */
	private revisionOf(key: string): number {
		const policyRevision = this.policyRecord?.key === key ? this.policyRecord.revision : 0;
		return Math.max(policyRevision, this.entries.get(key)?.record.revision ?? 0, this.tombstones.get(key) ?? 0);
	}

	/**
	 * Applies a record that arrives after one of its key with a higher revision, for example when a peer is faster than the service.
	 * It is applied if the record with the higher revision is a late copy of an earlier description.
	 */
	private applyOutOfOrder(record: StoredRecord, source: RecordSourceName): void {
		const entry = this.entries.get(record.key);
		if (entry?.description === undefined || record.revision >= entry.record.revision) {
			return;
		}

		const {instance} = entry.description;
		if (record.value === undefined) {
			if (record.revision < entry.descriptionRevision) {
				return;
			}

			this.departures.add(instance, DepartureCause.removed, record.revision);
			this.setEntry(entry.record, undefined, entry.descriptionRevision);
		} else {
			const decoded = this.decode(record.key, record.value);
			if (decoded.type !== 'instance' || !isNewerDescription(decoded.instance, instance)) {
				return;
			}

			// Peers are sent the newer description under the higher revision.
			this.activate({...entry.record, value: record.value}, decoded.instance, record.revision);
		}

		this.notifyListeners({
			key: record.key, revision: record.revision, source, outcome: 'accepted', detail: 'newer than the late copy received before it',
		});
	}

	private applyValue(record: StoredRecord & {value: string}, source: RecordSourceName): void {
		const decoded = this.decode(record.key, record.value);
		if (decoded.type === 'policy') {
			this.applyPolicy(record, decoded.policy, source);
			return;
		}

		this.newestFleetRevision = Math.max(this.newestFleetRevision, record.revision);
		this.tombstones.delete(record.key);
		if (decoded.type === 'unusable') {
			this.setEntry(record, undefined, record.revision);
			this.notifyListeners({
				key: record.key, revision: record.revision, source, outcome: 'unusable', detail: decoded.reason,
			});
			return;
		}

		const known = this.latestDescription(record.key, decoded.instance.name);
		if (known !== undefined && isOlderDescription(decoded.instance, known)) {
			this.skipLateCopy(record, decoded.instance, source);
			return;
		}

		const instance = this.activate(record, decoded.instance, record.revision);
		this.notifyListeners({
			key: record.key, revision: record.revision, source, outcome: 'accepted',
			detail: `${instance.service} ${instance.state} at ${formatAddress(instance.address)}`,
		});
	}

	/** Stores a description as the current one; returns the instance in the state in which it may be used. */
	private activate(record: StoredRecord, description: TargetInstance, descriptionRevision: number): TargetInstance {
		const instance = this.departures.applyTo(description);
		this.setEntry(record, {type: 'instance', instance}, descriptionRevision);
		if (instance.state === InstanceState.draining) {
			this.departures.add(instance, DepartureCause.draining, descriptionRevision);
		}

		return instance;
	}

	private setEntry(record: StoredRecord, description: DecodedInstance | undefined, descriptionRevision: number): void {
		this.entries.set(record.key, {record, description, descriptionRevision});
		this.lapsed.delete(record.key);
		this.instancesByService = undefined;
	}

	/** The newest description of an instance that this node has received. */
	private latestDescription(key: string, name: string): TargetInstance | undefined {
		return this.entries.get(key)?.description?.instance ?? this.lapsed.get(key)?.instance ?? this.departures.get(name)?.instance;
	}

	/**
	 * Keeps the current record and description under the revision of a late copy, so that peers are sent that record instead of the
	 * late copy. Without an entry for the key, stores the late copy without a description: peers are sent it, but it is not used here.
	 */
	private skipLateCopy(record: StoredRecord, {service, state}: TargetInstance, source: RecordSourceName): void {
		const entry = this.entries.get(record.key);
		this.entries.set(record.key, entry === undefined
			? {record, description: undefined, descriptionRevision: record.revision}
			: {...entry, record: {...entry.record, revision: record.revision}});
		this.notifyListeners({
			key: record.key, revision: record.revision, source, outcome: 'late-copy', detail: `${service} ${state}`,
		});
	}

	private applyPolicy(record: StoredRecord, policy: RoutingPolicy, source: RecordSourceName): void {
		const currentVersion = this.currentPolicy?.version ?? 0;
		if (policy.version <= currentVersion) {
			this.notifyListeners({
				key: record.key, revision: record.revision, source, outcome: 'older-policy', detail: `version ${policy.version}, in force ${currentVersion}`,
			});
			return;
		}

		this.currentPolicy = policy;
		this.policyRecord = record;
		this.policyReceivedAt = this.now();
		this.instancesByService = undefined;
		this.notifyListeners({
			key: record.key, revision: record.revision, source, outcome: 'accepted', detail: `policy version ${policy.version}`,
		});
	}

	/** Applies that a complete set of the records with a prefix, as of a revision, lacks all other keys. */
	private applyUnlisted(prefix: string, listed: ReadonlySet<string>, revision: number, source: RecordSourceName): void {
		this.removeUnlisted(prefix, listed, revision, source);
		if (revision > (this.completeRevisions[prefix] ?? 0)) {
			this.removalsKnownFrom = {...this.removalsKnownFrom, [prefix]: revision};
			this.markComplete(prefix, revision);
		}
	}

	private removeUnlisted(prefix: string, listed: ReadonlySet<string>, revision: number, source: RecordSourceName): void {
		for (const [key, {record}] of this.entries) {
			if (key.startsWith(prefix) && !listed.has(key) && record.revision <= revision) {
				this.remove(key, revision, source);
			}
		}
	}

	private remove(key: string, revision: number, source: RecordSourceName): void {
		const entry = this.entries.get(key);
		this.entries.delete(key);
		this.addTombstone(key, revision);
		this.newestFleetRevision = Math.max(this.newestFleetRevision, revision);
		const instance = entry?.description?.instance;
		const mayHaveExpired = instance?.state === InstanceState.ready && this.configurationService.mayHaveExpiredEntries;
		if (instance !== undefined && mayHaveExpired) {
			this.lapsed.set(key, {instance, revision});
		} else if (instance !== undefined) {
			this.departures.add(instance, DepartureCause.removed, revision);
		}

		this.instancesByService = undefined;
		this.notifyListeners({
			key, revision, source, outcome: mayHaveExpired ? 'lapsed' : 'deleted', detail: '',
		});
	}

	private addTombstone(key: string, revision: number): void {
		this.tombstones.delete(key);
		this.tombstones.set(key, revision);
		if (this.tombstones.size > maximumTombstones) {
			const [oldest, dropped] = this.tombstones.entries().next().value!;
			this.tombstones.delete(oldest);
			this.forgetRemoval(oldest, dropped);
		}
	}

	private forgetRemoval(key: string, revision: number): void {
		for (const prefix of Object.keys(this.completeRevisions)) {
			if (key.startsWith(prefix) && revision > (this.removalsKnownFrom[prefix] ?? 0)) {
				this.removalsKnownFrom = {...this.removalsKnownFrom, [prefix]: revision};
			}
		}
	}

	private get index(): Map<string, TargetInstance[]> {
		this.instancesByService ??= this.buildIndex();
		return this.instancesByService;
	}

	/** Groups the instances by service. Of two entries with the same address, the one with the later start time wins. */
	private buildIndex(): Map<string, TargetInstance[]> {
		const byAddress = new Map<string, TargetInstance>();
		const addCandidate = (instance: TargetInstance) => {
			if (this.currentPolicy !== undefined && !this.currentPolicy.services.has(instance.service)) {
				return;
			}

			const key = formatAddress(instance.address);
			const other = byAddress.get(key);
			if (other === undefined || other.startedAtUnixMilliseconds < instance.startedAtUnixMilliseconds) {
				byAddress.set(key, instance);
			}
		};

		for (const {instance} of this.lapsed.values()) {
			addCandidate(instance);
		}

		for (const {description} of this.entries.values()) {
			if (description !== undefined) {
				addCandidate(description.instance);
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

		return byService;
	}

	private notifyListeners(change: RecordChange): void {
		for (const listener of this.listeners) {
			listener(change);
		}
	}
}

/** True if records that are complete to the first revisions lack no change up to the second ones. */
export function isCompleteTo(completeTo: CompleteTo, required: CompleteTo): boolean {
	return Object.entries(required).every(([prefix, revision]) => (completeTo[prefix] ?? 0) >= revision);
}
