/**
 * Shared call graph and policy for tests.
 */
import type {FleetPlan} from './fleet-driver.js';

/**
 * Policy of the cellar workload, which ranks withdrawals and intakes above browsing. Lifetimes are long, so that no test
 * depends on the speed of the machine; tests of deadlines set a shorter time in their calls.
 *
 * @public
 */
export const cellarNetPolicy = {
	schemaVersion: 1,
	kinds: [
		{
			name: 'withdrawal', worth: 100, protected: true, irreversible: true, retries: 3, lifetimeMilliseconds: 20_000,
		},
		{
			name: 'record-release', worth: 90, protected: true, irreversible: true, retries: 3, lifetimeMilliseconds: 20_000,
		},
		{
			name: 'stock-view', worth: 5, protected: false, irreversible: false, retries: 2, lifetimeMilliseconds: 20_000,
		},
		{
			name: 'history', worth: 4, protected: false, irreversible: false, retries: 2, lifetimeMilliseconds: 20_000,
		},
	],
	identityLifetimeMilliseconds: 60_000,
	coldStartRampMilliseconds: 0,
} as const;

/** Call graph racks → releases → provenance, with one instance of each service in each of two failure domains. @public */
export function cellarNetPlan(): FleetPlan {
	const services = {
		racks: {'stock-view': {workMilliseconds: 2, downstreamCalls: [{service: 'releases', kind: 'history'}]}},
		releases: {
			history: {workMilliseconds: 2, downstreamCalls: [{service: 'provenance', kind: 'history'}]},
			withdrawal: {workMilliseconds: 2, downstreamCalls: [{service: 'provenance', kind: 'record-release'}]},
		},
		provenance: {
			history: {workMilliseconds: 2, downstreamCalls: []},
			'record-release': {workMilliseconds: 2, downstreamCalls: []},
		},
	};
	return {
		policy: cellarNetPolicy,
		instances: Object.entries(services).flatMap(([service, kinds]) => ['akl-a', 'akl-b'].map((failureDomain, index) =>
			({
				name: `${service}-${index + 1}`, service, failureDomain, kinds,
			}))),
	};
}
