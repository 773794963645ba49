/**
 * The calls that wait for a slot, ordered by priority or by arrival. An array kept in order serves both ends and the
 * middle, which a heap does not; at 512 entries an insertion moves at most 4 KB.
 */

/** @public */
export type Prioritized = {priority: number};

/** @public */
export type QueueOrder = 'priority' | 'arrival';

/**
 * Holds waiting entries, the next one first. Equal priorities keep their order of arrival.
 *
 * @internal
 */
export class WaitingQueue<Entry extends Prioritized> {
	private readonly entries: Entry[] = [];

	constructor(private readonly order: QueueOrder) {}

	get length(): number {
		return this.entries.length;
	}

	/** Number of entries that would start before a new one of the priority. */
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

	/** The entry that would start last. */
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
