/**
 * Queue of the calls that wait for a free slot, ordered by priority or by arrival. A sorted array gives access to both
 * ends and to any position, which a heap does not; at 512 entries an insertion moves at most 4 KB.
 */

/** @public */
export type Prioritized = {priority: number};

/** @public */
export type QueueOrder = 'priority' | 'arrival';

/**
 * Sorted queue with the next entry to start first. Entries of equal priority keep their order of arrival.
 *
 * @internal
 */
export class WaitingQueue<Entry extends Prioritized> {
	private readonly entries: Entry[] = [];

	constructor(private readonly order: QueueOrder) {}

	get length(): number {
		return this.entries.length;
	}

	/** Number of entries that start before a new entry of the given priority. */
	positionOf(priority: number): number {
		if (this.order === 'arrival') {
			return this.entries.length;
		}

		let low = 0;
		let high = this.entries.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.entries[middle]!.priority >= priority) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}

	insert(entry: Entry): void {
		this.entries.splice(this.positionOf(entry.priority), 0, entry);
	}

	at(position: number): Entry | undefined {
		return this.entries[position];
	}

	/** Returns the entry that starts last. */
	last(): Entry | undefined {
		return this.entries.at(-1);
	}

	takeFirst(): Entry | undefined {
		return this.entries.shift();
	}

	remove(entry: Entry): void {
		const index = this.entries.indexOf(entry);
		if (index !== -1) {
			this.entries.splice(index, 1);
		}
	}
}
