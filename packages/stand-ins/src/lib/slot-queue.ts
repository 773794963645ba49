/**
 * Concurrency limit of a stand-in target.
 */

/**
 * A FIFO semaphore: up to `slots` requests are processed at the same time, the others wait in order of arrival.
 *
 * @public
 */
export class SlotQueue {
	private activeCount = 0;
	private readonly waiters: Array<() => void> = [];

	constructor(private readonly slots: number) {}

	async acquire(): Promise<void> {
		if (this.activeCount < this.slots) {
			this.activeCount += 1;
			return;
		}

		await new Promise<void>(resolve => {
			this.waiters.push(resolve);
		});
	}

	release(): void {
		const next = this.waiters.shift();
		if (next === undefined) {
			this.activeCount -= 1;
		} else {
			next();
		}
	}
}
