/**
 * The newest records that this node knows, by key. A record is only ever replaced by one of a higher revision.
 */
import {createHash} from 'node:crypto';

/** A published value with the revision that the configuration service gave it. @public */
export type PublishedRecord = {key: string; revision: number; value: string; digest: string};

/** @public */
export type RecordChange = (record: PublishedRecord) => void;

/**
 * Holds the records and tells listeners of changes.
 *
 * @public
 */
export class RecordStore {
	private readonly records = new Map<string, PublishedRecord>();
	private readonly listeners: RecordChange[] = [];

	/** Takes a record if its revision is higher than the one held; returns whether it was taken. */
	accept(key: string, revision: number, value: string): boolean {
		const held = this.records.get(key);
		if (held !== undefined && revision <= held.revision) {
			return false;
		}

		const record = {
			key, revision, value, digest: createHash('sha256').update(value).digest('base64url'),
		};
		this.records.set(key, record);
		for (const listener of this.listeners) {
			listener(record);
		}

		return true;
	}

	get(key: string): PublishedRecord | undefined {
		return this.records.get(key);
	}

	revisions(): Record<string, number> {
		return Object.fromEntries([...this.records].map(([key, record]) => [key, record.revision]));
	}

	onChange(listener: RecordChange): void {
		this.listeners.push(listener);
	}

	dump(): unknown {
		return Object.fromEntries([...this.records.values()].map(record =>
			[record.key, {revision: record.revision, bytes: record.value.length, digest: record.digest}]));
	}
}
