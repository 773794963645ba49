/**
 * Finds the route of a request and divides the requests of a route among its services by weight.
 */
import type {Route, WeightedService, RoutingPolicy} from './fleet-model.js';

type Share = {part: WeightedService; credit: number};

/**
 * Routes of one policy version.
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

	/** Returns the route with the longest prefix of the path among those of the host. */
	match(host: string, path: string): Route | undefined {
		return this.byHost.get(withoutPort(host.toLowerCase()))?.find(route => path.startsWith(route.pathPrefix));
	}

	named(name: string): Route | undefined {
		return this.byName.get(name);
	}

	/**
	 * Chooses the service for the next request of a route. Smooth weighted round robin keeps each share within one request
	 * of its weight at any time, which random choice does not.
	 */
	nextService(route: Route): string {
		const [first] = route.weightedServices;
		if (route.weightedServices.length === 1) {
			return first!.service;
		}

		let shares = this.shares.get(route.name);
		if (shares === undefined) {
			shares = route.weightedServices.map(part => ({part, credit: 0}));
			this.shares.set(route.name, shares);
		}

		let total = 0;
		let chosen = shares[0]!;
		for (const share of shares) {
			share.credit += share.part.weight;
			total += share.part.weight;
			if (share.credit > chosen.credit) {
				chosen = share;
			}
		}

		chosen.credit -= total;
		return chosen.part.service;
	}
}

function withoutPort(host: string): string {
	const colon = host.indexOf(':');
	return colon === -1 ? host : host.slice(0, colon);
}
