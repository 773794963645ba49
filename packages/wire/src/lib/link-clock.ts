/**
 * Computes an upper bound of the transit time of a frame from the monotonic clocks of both ends, so that a request that
 * waited in a socket is not treated as new.
 */

/** Largest drift between two monotonic clocks, as a fraction of elapsed time. */
const maximumDrift = 200e-6;

/**
 * Tracks a lower bound of the difference between the local clock and the peer's clock. A peer stamps each frame with its
 * own time (`sentAt`) and with the newest local stamp that it has received (`heard`). The peer can't have received a stamp
 * before it was sent, so `local − peer ≥ heard − sentAt`.
 *
 * The age computed from the lower bound is never too small, even when the first frames were already delayed, for example
 * in the socket of a paused process.
 *
 * @public
 */
export class LinkClock {
	private lowerBound = Number.NEGATIVE_INFINITY;
	private lowerBoundAt = 0;
	private newestPeerStamp: number | undefined;

	/** The last received stamp of the peer, to be sent back as `heard`. */
	get lastReceived(): number | undefined {
		return this.newestPeerStamp;
	}

	/**
	 * Records the time stamps of a frame and returns the frame's maximum age, which is its longest possible transit time, in
	 * milliseconds. The result is infinite until the peer has received a local stamp.
	 */
	recordFrame(sentAt: number, heard: number | undefined, receivedAt: number): number {
		this.newestPeerStamp = sentAt;
		this.lowerBound -= (receivedAt - this.lowerBoundAt) * maximumDrift;
		this.lowerBoundAt = receivedAt;
		// A local stamp from the future is invalid.
		if (heard !== undefined && heard <= receivedAt) {
			this.lowerBound = Math.max(this.lowerBound, heard - sentAt);
		}

		return Math.max(0, receivedAt - sentAt - this.lowerBound);
	}
}
