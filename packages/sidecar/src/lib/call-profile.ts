/**
 * Learns the downstream calls of each route. Each node counts the calls of its local target and exchanges the counts with its peers.
 * They show which services a request requires and how many requests a retry of it causes.
 */

/** Mean calls per run, by the route of the run and the route of the call. @public */
export type CallsByRoute = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** The properties of a route that the profile uses. @public */
export type ProfiledRoute = {name: string; serviceWeights: ReadonlyArray<{service: string; weight: number}>};

/** Number of runs beyond which older runs count less, so that the counts follow a changed target. */
const maximumRuns = 200;
/** Runs of a route before its counts are reported to peers. */
const minimumRuns = 5;
/** Maximum depth of downstream calls that is counted; no request goes deeper. */
const maximumDepth = 10;

type RouteCounts = {runs: number; calls: Map<string, number>};

/**
 * Calls per run, counted locally and reported by peers.
 *
 * @public
 */
export class CallProfile {
	private readonly localCounts = new Map<string, RouteCounts>();
	private readonly callsByPeer = new Map<string, CallsByRoute>();
	private merged: Map<string, Map<string, number>> | undefined;

	recordRun(route: string): void {
		const counts = this.countsOf(route);
		counts.runs += 1;
		if (counts.runs > maximumRuns) {
			const factor = maximumRuns / counts.runs;
			counts.runs = maximumRuns;
			for (const [called, count] of counts.calls) {
				counts.calls.set(called, count * factor);
			}
		}
	}

	recordCall(parentRoute: string, calledRoute: string): void {
		const {calls} = this.countsOf(parentRoute);
		calls.set(calledRoute, (calls.get(calledRoute) ?? 0) + 1);
	}

	/** Returns the mean calls per run, counted locally, to report to peers. */
	localCallsByRoute(): CallsByRoute {
		const callsByRoute: Record<string, Record<string, number>> = {};
		for (const [route, {runs, calls}] of this.localCounts) {
			if (runs >= minimumRuns && calls.size > 0) {
				callsByRoute[route] = Object.fromEntries([...calls].map(([called, count]) => [called, Math.round(100 * count / runs) / 100]));
			}
		}

		return callsByRoute;
	}

	recordPeerCalls(peer: string, calls: CallsByRoute): void {
		this.callsByPeer.set(peer, calls);
		this.merged = undefined;
	}

	/**
	 * Returns the expected number of requests that one request causes at each service, including itself. The highest count of any
	 * node is used, so that the cost of a retry is never underestimated.
	 */
	requestsByService(route: ProfiledRoute, findRoute: (name: string) => ProfiledRoute | undefined): Map<string, number> {
		this.merged ??= this.merge();
		const {merged} = this;
		const requests = new Map<string, number>();
		// All paths of one length are counted together: with cycles, the number of paths grows exponentially with their length.
		let level = new Map([[route, 1]]);
		for (let depth = 0; depth <= maximumDepth && level.size > 0; depth += 1) {
			const next = new Map<ProfiledRoute, number>();
			for (const [current, count] of level) {
				const total = current.serviceWeights.reduce((sum, {weight}) => sum + weight, 0);
				for (const {service, weight} of current.serviceWeights) {
					requests.set(service, (requests.get(service) ?? 0) + (count * weight / total));
				}

				for (const [called, calls] of merged.get(current.name) ?? []) {
					const calledRoute = findRoute(called);
					if (calledRoute !== undefined) {
						next.set(calledRoute, (next.get(calledRoute) ?? 0) + (count * calls));
					}
				}
			}

			level = next;
		}

		return requests;
	}

	private merge(): Map<string, Map<string, number>> {
		const merged = new Map<string, Map<string, number>>();
		for (const calls of [this.localCallsByRoute(), ...this.callsByPeer.values()]) {
			for (const [route, counts] of Object.entries(calls)) {
				const target = merged.get(route) ?? new Map<string, number>();
				for (const [called, count] of Object.entries(counts)) {
					target.set(called, Math.max(target.get(called) ?? 0, count));
				}

				merged.set(route, target);
			}
		}

		return merged;
	}

	private countsOf(route: string): RouteCounts {
		let counts = this.localCounts.get(route);
		if (counts === undefined) {
			counts = {runs: 0, calls: new Map()};
			this.localCounts.set(route, counts);
		}

		return counts;
	}
}
