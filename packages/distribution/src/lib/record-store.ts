/**
 * The newest records that this node knows, by key. A record is only ever replaced by one of a higher revision.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {distributionOptions} from './distribution-options.js';
import {joinPatches, makePatch} from './record-patch.js';

/** A published value with the revision that the configuration service gave it. @public */
export type PublishedRecord = {key: string; revision: number; value: string; digest: string};

/** @public */
export type RecordListener = (record: PublishedRecord) => void;

/** @public */
export type RecordStoreOptions = {
	/** Keys whose records are announced to listeners only after `settle`. */
	deferredKeys?: readonly string[];
	maximumPatches?: number;
	maximumRecordBytes?: number;
};

/** @internal */
export type PatchStep = {baseRevision: number; patch: string};

/** Digest by which a record is recognised. @internal */
export function digestOf(value: string): string {
	return createHash('sha256').update(value).digest('base64url');
}

/**
 * Holds the records, whether or not this version can accept their content, and tells listeners of changes.
 *
 * @public
 */
export class RecordStore {
	private readonly records = new Map<string, PublishedRecord>();
	private readonly steps = new Map<string, PatchStep[]>();
	private readonly refused = new Map<string, number[]>();
	private readonly listeners: RecordListener[] = [];
	private readonly deferred: Set<string>;
	private readonly maximumPatches: number;
	private readonly maximumRecordBytes: number;

	constructor(options: RecordStoreOptions = {}) {
		this.deferred = new Set(options.deferredKeys);
		this.maximumPatches = options.maximumPatches ?? distributionOptions.maximumPatches;
		this.maximumRecordBytes = options.maximumRecordBytes ?? distributionOptions.maximumRecordBytes;
	}

	/**
	 * Takes a record if its revision is higher than the one held; returns whether it was taken.
	 *
	 * A patch from the held record is kept for peers that still hold the older one. Without it the patch is computed,
	 * unless `step` is null: a value that arrived whole came from a node that had no patch either.
	 */
	accept(key: string, revision: number, value: string, step?: PatchStep | null): boolean {
		const held = this.records.get(key);
		if (held !== undefined && revision <= held.revision) {
			return false;
		}

		if (Buffer.byteLength(value) > this.maximumRecordBytes) {
			this.refused.set(key, [...(this.refused.get(key) ?? []), revision].slice(-distributionOptions.maximumRefused));
			return false;
		}

		const record = {
			key, revision, value, digest: digestOf(value),
		};
		this.keepStep(record, held, step);
		this.records.set(key, record);
		if (!this.deferred.has(key)) {
			this.tell(record);
		}

		return true;
	}

	get(key: string): PublishedRecord | undefined {
		return this.records.get(key);
	}

	/** True when a revision was refused for its size. */
	isRefused(key: string, revision: number): boolean {
		return this.refused.get(key)?.includes(revision) === true;
	}

	/** Highest revision that was held or refused, after which the platform is asked. */
	highestSeenRevision(key: string): number {
		return Math.max(this.records.get(key)?.revision ?? 0, ...(this.refused.get(key) ?? []));
	}

	/** Returns one patch from an older revision to the one held, when it is kept and smaller than the value. */
	patchFrom(key: string, revision: number): string | undefined {
		const record = this.records.get(key);
		const steps = this.steps.get(key) ?? [];
		const first = steps.findIndex(step => step.baseRevision === revision);
		if (record === undefined || first === -1) {
			return undefined;
		}

		const patch = joinPatches(steps.slice(first).map(step => step.patch));
		return patch.length < record.value.length ? patch : undefined;
	}

	revisions(): Record<string, number> {
		return Object.fromEntries([...this.records].map(([key, record]) => [key, record.revision]));
	}

	onChange(listener: RecordListener): void {
		this.listeners.push(listener);
	}

	/** Brings deferred records in force, from now on at once. */
	activateDeferred(): void {
		const keys = [...this.deferred];
		this.deferred.clear();
		for (const key of keys) {
			const record = this.records.get(key);
			if (record !== undefined) {
				this.tell(record);
			}
		}
	}

	dump(): unknown {
		return Object.fromEntries([...this.records.values()].map(record => [record.key, {
			revision: record.revision, bytes: record.value.length, digest: record.digest, patches: this.steps.get(record.key)?.length ?? 0,
			inForce: !this.deferred.has(record.key),
		}]));
	}

	private keepStep(record: PublishedRecord, held: PublishedRecord | undefined, step: PatchStep | null | undefined): void {
		const patch = step === undefined && held !== undefined ? makePatch(held.value, record.value) : step?.patch;
		const next = patch === undefined || held === undefined ? [] : [...(this.steps.get(record.key) ?? []), {baseRevision: held.revision, patch}];
		let bytes = 0;
		// Newest first; older patches together as large as the value are never sent.
		const kept = next.toReversed().slice(0, this.maximumPatches).filter(({patch: {length}}) => {
			bytes += length;
			return bytes < record.value.length;
		});
		this.steps.set(record.key, kept.toReversed());
	}

	private tell(record: PublishedRecord): void {
		for (const listener of this.listeners) {
			listener(record);
		}
	}
}
