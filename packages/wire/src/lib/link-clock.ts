/**
 * Bounds how long a frame was under way, from the monotonic clocks of both ends.
 */

/** Largest drift between two monotonic clocks, as a fraction of elapsed time. */
const maximumDrift = 200e-6;

/**
 * Learns a lower bound of the difference between the local and the peer's clock. A peer stamps each frame with its own
 * time (`sentAt`) and with the newest local stamp that it had received (`heard`). The peer can't have heard a stamp
 * before it was made, so `local − peer ≥ heard − sentAt`.
 *
 * The age computed from the lower bound is never too small, also when the first frames were already delayed, for example
 * in the socket of a paused process.
 *
 * @public
 */
export class LinkClock {
	private lowerBound = Number.NEGATIVE_INFINITY;
	private lowerBoundAt = 0;
	private newestPeerStamp: number | undefined;

	/** The newest stamp of the peer, to be sent back as `heard`. */
	get lastReceived(): number | undefined {
		return this.newestPeerStamp;
	}

	/**
	 * Records a frame and returns the longest time in milliseconds that it can have been under way; infinite while the
	 * peer has not heard any local stamp.
	 */
	age(sentAt: number, heard: number | undefined, receivedAt: number): number {
		this.newestPeerStamp = sentAt;
		this.lowerBound -= (receivedAt - this.lowerBoundAt) * maximumDrift;
		this.lowerBoundAt = receivedAt;
		// A stamp that this side has not made yet is false.
		if (heard !== undefined && heard <= receivedAt) {
			this.lowerBound = Math.max(this.lowerBound, heard - sentAt);
		}

		return Math.max(0, receivedAt - sentAt - this.lowerBound);
	}
}
