/**
 * Matches requests to routes and distributes the requests of a route over its services by weight.
 */
import type {Route, RoutingPolicy, WeightedService} from './fleet-model.js';

type Share = {weightedService: WeightedService; credit: number};

/**
 * The routes of one policy version.
 *
 * @public
 */
export class RouteTable {
	private readonly byHost = new Map<string, Route[]>();
	private readonly byName = new Map<string, Route>();
	private readonly shares = new Map<string, Share[]>();

	constructor(policy: RoutingPolicy) {
		for (const route of policy.routes) {
			this.byName.set(route.name, route);
			const routes = this.byHost.get(route.host) ?? [];
			routes.push(route);
			this.byHost.set(route.host, routes);
		}

		for (const routes of this.byHost.values()) {
			routes.sort((first, second) => second.pathPrefix.length - first.pathPrefix.length);
		}
	}

	/** Returns the host's route with the longest prefix that matches the path. */
	match(host: string, path: string): Route | undefined {
		return this.byHost.get(withoutPort(host.toLowerCase()))?.find(route => path.startsWith(route.pathPrefix));
	}

	findByName(name: string): Route | undefined {
		return this.byName.get(name);
	}

	/**
	 * Chooses the service for the next request of a route by smooth weighted round robin. Unlike a random choice, it keeps each
	 * service within one request of its weight at any time.
	 */
	nextService(route: Route): string {
		const [first] = route.serviceWeights;
		if (route.serviceWeights.length === 1) {
			return first!.service;
		}

		let shares = this.shares.get(route.name);
		if (shares === undefined) {
			shares = route.serviceWeights.map(weightedService => ({weightedService, credit: 0}));
			this.shares.set(route.name, shares);
		}

		let total = 0;
		let chosen = shares[0]!;
		for (const share of shares) {
			share.credit += share.weightedService.weight;
			total += share.weightedService.weight;
			if (share.credit > chosen.credit) {
				chosen = share;
			}
		}

		chosen.credit -= total;
		return chosen.weightedService.service;
	}
}

function withoutPort(host: string): string {
	const colon = host.indexOf(':');
	return colon === -1 ? host : host.slice(0, colon);
}
