/**
 * Limits the memory of large request bodies. Bodies are held whole, because a request may be sent to a second target; a few large ones at
 * once would exceed the memory of a small machine and end the process, with all requests in progress. A large body is read only once its
 * bytes are reserved; until then its connection is not read, and after a while the request is refused.
 */
import type {Clock} from './clock.js';

/** @public */
export const bodyBudgetOptions = {
	/** Size from which a body is large; smaller ones are not counted. */
	largeBodyBytes: 1024 * 1024,
	/** Bytes of all large bodies together. A single body may be larger. */
	maximumBytes: 64 * 1024 * 1024,
	/** Time after which a request that waits is refused; callers give up on a request that is not read for a second. */
	maximumWaitMilliseconds: 1000,
} as const;

type Waiter = {bytes: number; isGranted: boolean; settle(isReserved: boolean): void; cancelTimeout(): void};

/** Frees reserved bytes, or gives up waiting for them. @internal */
export type ReleaseBody = () => void;

/** @internal */
export class BodyBudget {
	private reserved = 0;
	private readonly waiters: Waiter[] = [];

	constructor(private readonly clock: Clock) {}

	get reservedBytes(): number {
		return this.reserved;
	}

	/** Reserves bytes for a body. Calls `settle` once, possibly at once, unless the returned function is called before. */
	reserve(bytes: number, settle: (isReserved: boolean) => void): ReleaseBody {
		const waiter: Waiter = {
			bytes,
			isGranted: false,
			settle,
			cancelTimeout: this.clock.after(bodyBudgetOptions.maximumWaitMilliseconds, () => {
				this.remove(waiter);
				settle(false);
			}),
		};
		this.waiters.push(waiter);
		this.grant();
		return () => {
			if (waiter.isGranted) {
				waiter.isGranted = false;
				this.reserved -= bytes;
			} else {
				this.remove(waiter);
			}

			this.grant();
		};
	}

	private remove(waiter: Waiter): void {
		waiter.cancelTimeout();
		const index = this.waiters.indexOf(waiter);
		if (index !== -1) {
			this.waiters.splice(index, 1);
		}
	}

	/** Grants the requests that fit, in their order. */
	private grant(): void {
		for (let [next] = this.waiters; next !== undefined && this.fits(next.bytes); [next] = this.waiters) {
			this.reserved += next.bytes;
			next.isGranted = true;
			this.remove(next);
			next.settle(true);
		}
	}

	private fits(bytes: number): boolean {
		return this.reserved === 0 || this.reserved + bytes <= bodyBudgetOptions.maximumBytes;
	}
}
