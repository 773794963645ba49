/**
 * Computes the ideal goodput of a call graph: the maximum worth of complete responses per second that its slots allow.
 *
 * A request of root kind k holds a slot of service s for d(k, s) milliseconds: the work of its runs there plus the time of
 * their downstream calls without queueing. With n(s) slots in all instances of s, offered rates r(k) and worths w(k), the
 * ideal is the optimum of the linear program
 *
 *     maximise   sum over k of w(k) x(k)
 *     subject to sum over k of d(k, s) x(k) <= 1000 n(s) for every s, and 0 <= x(k) <= r(k).
 */
import {inRange, lessEq, solve} from 'yalps';
import {worthOf, type Experiment} from './experiment-file.js';

/** Slot-milliseconds by service. @public */
export type SlotDemand = Map<string, number>;

/** @public */
export type IdealGoodput = {
	/** Sum of worths per second. */
	weighted: number;
	/** Complete responses per second by kind. */
	byKind: Record<string, number>;
};

/** Returns the slot time that one request needs at each service. @public */
export function slotDemand(experiment: Experiment, service: string, kind: string): SlotDemand {
	const demand: SlotDemand = new Map();
	addDemand(experiment, service, kind, demand);
	return demand;
}

/** Adds the demand of a request and its downstream calls; returns the time for which the request holds its slot. */
function addDemand(experiment: Experiment, service: string, kind: string, demand: SlotDemand): number {
	const plan = experiment.services[service]!.kinds[kind]!;
	let heldMilliseconds = plan.workMilliseconds;
	for (const downstreamCall of plan.legs) {
		heldMilliseconds += addDemand(experiment, downstreamCall.service, downstreamCall.kind, demand);
	}

	demand.set(service, (demand.get(service) ?? 0) + heldMilliseconds);
	return heldMilliseconds;
}

/** Total slots over all instances of a service. */
function slotCount(experiment: Experiment, service: string): number {
	const plan = experiment.services[service]!;
	return plan.slots * plan.instancesPerDomain * experiment.failureDomains.length;
}

/** Computes the ideal for the offered rates, in requests per second by kind. @public */
export function idealGoodput(experiment: Experiment, offered: Readonly<Record<string, number>>): IdealGoodput {
	const variables = Object.fromEntries(experiment.traffic.map(traffic => {
		const demand = Object.fromEntries([...slotDemand(experiment, traffic.service, traffic.kind)].map(([service, heldMilliseconds]) => [`slots ${service}`, heldMilliseconds]));
		return [traffic.kind, {...demand, worth: worthOf(experiment, traffic.kind), [`rate ${traffic.kind}`]: 1}];
	}));
	const constraints = Object.fromEntries([
		...Object.keys(experiment.services).map(service => [`slots ${service}`, lessEq(1000 * slotCount(experiment, service))] as const),
		...experiment.traffic.map(traffic => [`rate ${traffic.kind}`, inRange(0, offered[traffic.kind] ?? 0)] as const),
	]);
	const solution = solve({
		direction: 'maximize', objective: 'worth', constraints, variables,
	});
	return {weighted: solution.result, byKind: Object.fromEntries(solution.variables)};
}

/** Returns the offered slot time as a multiple of the slots of the bottleneck service. @public */
export function offeredLoad(experiment: Experiment, offered: Readonly<Record<string, number>>): number {
	const loads = new Map<string, number>();
	for (const traffic of experiment.traffic) {
		for (const [service, heldMilliseconds] of slotDemand(experiment, traffic.service, traffic.kind)) {
			loads.set(service, (loads.get(service) ?? 0) + (heldMilliseconds * (offered[traffic.kind] ?? 0) / (1000 * slotCount(experiment, service))));
		}
	}

	return Math.max(0, ...loads.values());
}
