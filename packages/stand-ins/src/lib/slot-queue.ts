/**
 * The slots of a stand-in target.
 */

/**
 * Lets a fixed number of requests work at once; the others wait in order of arrival.
 *
 * @public
 */
export class SlotQueue {
	private working = 0;
	private readonly waiting: Array<() => void> = [];

	constructor(private readonly slots: number) {}

	async acquire(): Promise<void> {
		if (this.working < this.slots) {
			this.working += 1;
			return;
		}

		await new Promise<void>(resolve => {
			this.waiting.push(resolve);
		});
	}

	release(): void {
		const next = this.waiting.shift();
		if (next === undefined) {
			this.working -= 1;
		} else {
			next();
		}
	}
}
