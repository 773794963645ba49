/**
 * Learns which calls a request causes below it, by route: each node sees the calls of its own target, and nodes tell each
 * other. From that follow the services that a request needs in the end, and how much a repeat of it would repeat.
 */

/** Calls per run, by route of the run and route of the call. @public */
export type CallsByRoute = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** A route as the profile needs it. @public */
export type ProfiledRoute = {name: string; weightedServices: ReadonlyArray<{service: string; weight: number}>};

/** Runs after which older ones start to count less, so that a changed target is learned again. */
const memoryRuns = 200;
/** Runs seen before a route's calls are told to peers. */
const minimumRuns = 5;
/** Calls of calls are followed this far; no request goes deeper. */
const maximumDepth = 10;

type Counted = {runs: number; calls: Map<string, number>};

/**
 * Calls per run as seen here and as told by peers.
 *
 * @public
 */
export class CallProfile {
	private readonly own = new Map<string, Counted>();
	private readonly told = new Map<string, CallsByRoute>();
	private merged: Map<string, Map<string, number>> | undefined;

	noteRun(route: string): void {
		const counted = this.countedOf(route);
		counted.runs += 1;
		if (counted.runs > memoryRuns) {
			const factor = memoryRuns / counted.runs;
			counted.runs = memoryRuns;
			for (const [called, count] of counted.calls) {
				counted.calls.set(called, count * factor);
			}
		}
	}

	noteCall(parentRoute: string, calledRoute: string): void {
		const {calls} = this.countedOf(parentRoute);
		calls.set(calledRoute, (calls.get(calledRoute) ?? 0) + 1);
	}

	/** What this node tells its peers. */
	export(): CallsByRoute {
		const exported: Record<string, Record<string, number>> = {};
		for (const [route, {runs, calls}] of this.own) {
			if (runs >= minimumRuns && calls.size > 0) {
				exported[route] = Object.fromEntries([...calls].map(([called, count]) => [called, Math.round(100 * count / runs) / 100]));
			}
		}

		return exported;
	}

	receive(peer: string, calls: CallsByRoute): void {
		this.told.set(peer, calls);
		this.merged = undefined;
	}

	/**
	 * Arrivals that one request causes at each service, its own included. The highest count of any node is taken, so that
	 * the work of a repeat is never underestimated.
	 */
	workOf(route: ProfiledRoute, findRoute: (name: string) => ProfiledRoute | undefined): Map<string, number> {
		this.merged ??= this.merge();
		const {merged} = this;
		const work = new Map<string, number>();
		const add = (current: ProfiledRoute, count: number, depth: number) => {
			const total = current.weightedServices.reduce((sum, {weight}) => sum + weight, 0);
			for (const {service, weight} of current.weightedServices) {
				work.set(service, (work.get(service) ?? 0) + (count * weight / total));
			}

			if (depth >= maximumDepth) {
				return;
			}

			for (const [called, calls] of merged.get(current.name) ?? []) {
				const calledRoute = findRoute(called);
				if (calledRoute !== undefined) {
					add(calledRoute, count * calls, depth + 1);
				}
			}
		};

		add(route, 1, 0);
		return work;
	}

	private merge(): Map<string, Map<string, number>> {
		const merged = new Map<string, Map<string, number>>();
		for (const calls of [this.export(), ...this.told.values()]) {
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

	private countedOf(route: string): Counted {
		let counted = this.own.get(route);
		if (counted === undefined) {
			counted = {runs: 0, calls: new Map()};
			this.own.set(route, counted);
		}

		return counted;
	}
}
