/**
 * Processes a request at the node that received it: matches the route, chooses an instance, forwards the request, retries and sends
 * the final response no later than the caller's deadline and the route's timeout. A status that promises that nothing ran is used
 * only if nothing was sent, or if every node and target that received the request reported so.
 */
import {Buffer} from 'node:buffer';
import type {CallProfile} from './call-profile.js';
import type {Clock} from './clock.js';
import {LineImportance, type DecisionLog} from './decision-log.js';
import {doNothing} from './do-nothing.js';
import type {FleetRecords} from './fleet-records.js';
import {
	isSameAddress, type Address, type HeaderNames, type ParentOfCall, type Route, type RoutingPolicy, type TargetInstance,
} from './fleet-model.js';
import {instanceLeavingReason, RunResult, type RunOutcome} from './link-messages.js';
import {forwardedHeaders, type HeaderList} from './message-headers.js';
import type {PeerLinks} from './peer-links.js';
import type {Neighbourhood} from './neighbourhood.js';
import type {InstanceOutcome, Placement} from './placement.js';
import type {RetryBudget} from './retry-budget.js';
import type {RootAdmission} from './root-admission.js';
import {RouteTable} from './route-table.js';
import type {SidecarMetrics} from './sidecar-metrics.js';
import type {TargetRunner, TargetWork} from './target-runner.js';

/** @public */
export const requestFlowOptions = {
	/** Timeout of a request whose caller sends no deadline. */
	defaultTimeoutMilliseconds: 30_000,
	/** Further instances tried after a refusal that happened before the request reached any target. */
	maximumReroutes: 2,
	/** Share of the route's objective, or of the timeout if that is shorter, within which a target must start a caller's request. */
	latestStartShare: 0.5,
	/** Share of the timeout within which a target must start a downstream call; higher, because its failure also wastes its parent's work. */
	latestCallStartShare: 0.9,
	/** Minimum time remaining for another attempt. */
	minimumRetryMilliseconds: 50,
	/** Width of the random spread of `Retry-After`, as a share of its value. */
	retryAfterJitter: 0.5,
	minimumRetryAfterMilliseconds: 100,
	/** Mean `Retry-After` while a downstream service is overloaded; its queue drains in less time. */
	rootRetryAfterMilliseconds: 500,
	/** Mean `Retry-After` while a downstream service is unreachable. Network partitions last for seconds, and callers retry once or twice. */
	unreachableRetryAfterMilliseconds: 2000,
	/** Minimum mean number of calls per request for a route to require a service. */
	requiredCallsPerRequest: 0.5,
	/** Time for which the request counts of a route are cached. */
	requestCountCacheMilliseconds: 500,
	/** Mean `Retry-After` while the node has no policy or can reach no instance. */
	unavailableRetryAfterMilliseconds: 400,
	/**
	 * Time after the request to stop from which callers' requests must be certain to end before the node does. Readiness is probed once
	 * a second and callers stop after two failed probes, so only requests on kept connections arrive later.
	 */
	certainEndAfterMilliseconds: 2300,
	/** Time before the end of the node by which targets must end their work, so that their last responses can still be forwarded. */
	stopMarginMilliseconds: 200,
	/** Expected time from the end of this node until its successor accepts requests. */
	restartMilliseconds: 1500,
} as const;

/** @public */
export type EntryRequest = {
	method: string;
	/** Value of the `Host` header. */
	host: string;
	path: string;
	headers: HeaderList;
	body: Buffer | undefined;
	attempt: string;
	/** Time that the sender will wait, in milliseconds; undefined if it sent no deadline. */
	remainingMilliseconds: number | undefined;
	receivedAt: number;
};

/** @public */
export type EntryResponse = {
	status: number;
	headers: HeaderList;
	body: Uint8Array | undefined;
};

/** Monotonic times of the shutdown of a node, in milliseconds. @public */
export type StopTimes = {requestedAt: number; endsAt: number};

/** @public */
export type RequestFlowDependencies = {
	service: string;
	targetAddress: Address;
	peerPort: number;
	headers: HeaderNames;
	records: FleetRecords;
	neighbourhood: Neighbourhood;
	placement: Placement;
	parentOfCall: ParentOfCall;
	budget: RetryBudget;
	profile: CallProfile;
	admission: RootAdmission;
	links: PeerLinks;
	runner: TargetRunner;
	log: DecisionLog;
	metrics: SidecarMetrics;
	clock: Clock;
	random: () => number;
	/** False until the records are known to have been complete at some time since the start of the node. */
	areRecordsConfirmed(): boolean;
	/** Undefined until the node is asked to stop. */
	stopTimes(): StopTimes | undefined;
};

/** Reasons for refusing a request on receipt because of a downstream service. */
type RootRefusal = 'overloaded-below' | 'unreachable-below';

const retryAfterByRefusal: Readonly<Record<RootRefusal, number>> = {
	'overloaded-below': requestFlowOptions.rootRetryAfterMilliseconds,
	'unreachable-below': requestFlowOptions.unreachableRetryAfterMilliseconds,
};

const jsonHeaders: HeaderList = ['Content-Type', 'application/json'];

/**
 * Admits requests and creates a `RequestFlow` for each one.
 *
 * @public
 */
export class RequestHandler {
	private routeTable: RouteTable | undefined;
	private routeTableVersion = 0;
	private readonly replacedHeaders: ReadonlySet<string>;
	private readonly requestCountCache = new Map<string, {requestCounts: ReadonlyMap<string, number>; until: number}>();
	private active = 0;

	constructor(readonly dependencies: RequestFlowDependencies) {
		const {headers} = dependencies;
		this.replacedHeaders = new Set(['content-length', headers.remainingTime, headers.expectedInstance, headers.callerService]);
	}

	/** Number of requests without a final response. */
	get activeCount(): number {
		return this.active;
	}

	/** True unless the node of the instance is a peer that is known to be unreachable, suspect or leaving. */
	isReachable(instance: TargetInstance): boolean {
		const {links, peerPort} = this.dependencies;
		return this.isLocal(instance) || links.isAvailable({host: instance.address.host, port: peerPort});
	}

	isLocal(instance: TargetInstance): boolean {
		return isSameAddress(instance.address, this.dependencies.targetAddress);
	}

	/** Gives the placement the load of the local target, which no peer reports. */
	recordLocalLoad(): void {
		const {neighbourhood, service, placement, runner} = this.dependencies;
		const local = neighbourhood.instancesOf(service).find(instance => this.isLocal(instance));
		if (local !== undefined) {
			placement.recordLoad(local.name, runner.load);
		}
	}

	/** Calls `respond` at most once. Returns a function that cancels the request when its sender disconnects. */
	handle(request: EntryRequest, respond: (response: EntryResponse) => void): () => void {
		const {records, areRecordsConfirmed, metrics} = this.dependencies;
		const {policy} = records;
		if (policy === undefined || !areRecordsConfirmed()) {
			respond(this.refusal('no-policy', requestFlowOptions.unavailableRetryAfterMilliseconds));
			metrics.countRequest('none', 'refused', 'no-policy');
			return doNothing;
		}

		const table = this.routeTableFor(policy);
		const route = table.match(request.host, request.path);
		if (route === undefined) {
			respond(nodeResponse(404, 'unknown-route'));
			this.reportUnknownRoute(request, policy.version);
			return doNothing;
		}

		const service = table.nextService(route);
		const parent = this.dependencies.parentOfCall(request.attempt);
		const running = parent === undefined ? undefined : this.dependencies.runner.runningWork(parent);
		const fromTarget = running !== undefined;
		const rank = fromTarget ? rankOfCall(running.rank) : route.rank;
		const stop = this.dependencies.stopTimes();
		if (stop !== undefined && !this.canEndBeforeStop(request, route, fromTarget, stop)) {
			this.refuseWhileStopping(request, route, stop, respond);
			return doNothing;
		}

		if (fromTarget) {
			this.dependencies.profile.recordCall(running.route, route.name);
		} else {
			// A downstream call whose parent has ended is not a client request, so it adds nothing to the retry budget.
			if (parent === undefined) {
				this.dependencies.budget.recordRequest(service);
			}

			const requestCounts = this.requestsByService(route, service);
			const cause = this.dependencies.admission.overloadedService(route.rank, requestCounts.keys());
			if (cause !== undefined) {
				this.refuseAtEntry(request, route, 'overloaded-below', cause, respond);
				return doNothing;
			}

			const unreachable = this.unreachableDownstream(requestCounts, service);
			if (unreachable !== undefined) {
				this.refuseAtEntry(request, route, 'unreachable-below', unreachable, respond);
				return doNothing;
			}
		}

		this.active += 1;
		const flow = new RequestFlow(this, {...request, fromTarget, rank}, route, service, forwardedHeaders(request.headers, this.replacedHeaders), response => {
			this.active -= 1;
			respond(response);
		}, () => {
			this.active -= 1;
		});
		flow.start();
		return () => {
			flow.cancel();
		};
	}

	/** Expected number of requests that a request of the route causes at each service, including itself. */
	requestsByService(route: Route, service: string): ReadonlyMap<string, number> {
		const now = this.dependencies.clock.now();
		const key = `${route.name} ${service}`;
		const cached = this.requestCountCache.get(key);
		if (cached !== undefined && cached.until > now) {
			return cached.requestCounts;
		}

		const {routeTable} = this;
		const requestCounts = this.dependencies.profile.requestsByService({name: route.name, serviceWeights: [{service, weight: 1}]}, name => routeTable?.findByName(name));
		this.requestCountCache.set(key, {requestCounts, until: now + requestFlowOptions.requestCountCacheMilliseconds});
		return requestCounts;
	}

	/** Monotonic time at which a request must have its final response. */
	deadlineOf(request: EntryRequest, route: Route): number {
		const deadlineAt = callerDeadline(request, route);
		const stop = this.dependencies.stopTimes();
		return stop === undefined ? deadlineAt : Math.min(deadlineAt, stop.endsAt - requestFlowOptions.stopMarginMilliseconds);
	}

	/** Builds a 503 response whose `Retry-After` is randomised, so that callers do not retry at the same time. */
	refusal(reason: string, retryAfterMilliseconds: number): EntryResponse {
		const {retryAfterJitter} = requestFlowOptions;
		const spread = retryAfterMilliseconds * (1 - (retryAfterJitter / 2) + (this.dependencies.random() * retryAfterJitter));
		const seconds = Math.max(requestFlowOptions.minimumRetryAfterMilliseconds, spread) / 1000;
		const response = nodeResponse(503, reason);
		return {...response, headers: [...response.headers, 'Retry-After', seconds.toFixed(2)]};
	}

	private routeTableFor(policy: RoutingPolicy): RouteTable {
		if (this.routeTable === undefined || this.routeTableVersion !== policy.version) {
			this.routeTable = new RouteTable(policy);
			this.routeTableVersion = policy.version;
			this.requestCountCache.clear();
		}

		return this.routeTable;
	}

	private reportUnknownRoute(request: EntryRequest, policyVersion: number): void {
		this.dependencies.metrics.countRequest('none', 'rejected', 'unknown-route');
		this.dependencies.log.write('request', {
			id: request.attempt, outcome: 'rejected', reason: 'unknown-route', host: request.host, path: request.path, policyVersion,
		});
	}

	/**
	 * Returns a downstream service that the request requires and that has no reachable instance in the neighbourhood, as in a partitioned failure
	 * domain. The request would fail at that call after it had run in part, so the caller could not be told that it did not run.
	 */
	private unreachableDownstream(requestCounts: ReadonlyMap<string, number>, requestedService: string): string | undefined {
		const {neighbourhood} = this.dependencies;
		for (const [service, count] of requestCounts) {
			if (service === requestedService || count < requestFlowOptions.requiredCallsPerRequest) {
				continue;
			}

			if (!neighbourhood.instancesOf(service).some(instance => this.isReachable(instance))) {
				return service;
			}
		}

		return undefined;
	}

	/**
	 * A stopping node serves a request that will probably end before the node does: one that is certain to, and until callers had time to
	 * stop, or for a call whose failure would waste its parent's work, one with at least the route's objective left.
	 */
	private canEndBeforeStop(request: EntryRequest, route: Route, fromTarget: boolean, {requestedAt, endsAt}: StopTimes): boolean {
		const latestEndAt = endsAt - requestFlowOptions.stopMarginMilliseconds;
		if (callerDeadline(request, route) <= latestEndAt) {
			return true;
		}

		const mustBeCertain = !fromTarget && request.receivedAt - requestedAt > requestFlowOptions.certainEndAfterMilliseconds;
		return !mustBeCertain && latestEndAt - request.receivedAt >= route.objectiveMilliseconds;
	}

	/** Refuses a request that this node has no time left to answer; its successor on this machine can serve it. */
	private refuseWhileStopping(request: EntryRequest, route: Route, {endsAt}: StopTimes, respond: (response: EntryResponse) => void): void {
		const {log, metrics} = this.dependencies;
		const remaining = Math.max(0, endsAt - request.receivedAt);
		respond(this.refusal('stopping', remaining + requestFlowOptions.restartMilliseconds));
		metrics.countRequest(route.name, 'refused', 'stopping');
		log.write('request', {
			id: request.attempt, route: route.name, outcome: 'refused', reason: 'stopping', status: 503, rank: route.rank, remainingMilliseconds: Math.round(remaining),
		});
	}

	/** Refuses a request before it runs; `service` is the downstream service that causes the refusal. */
	private refuseAtEntry(request: EntryRequest, route: Route, reason: RootRefusal, service: string, respond: (response: EntryResponse) => void): void {
		const {admission, log, metrics} = this.dependencies;
		respond(this.refusal(reason, retryAfterByRefusal[reason]));
		metrics.countRequest(route.name, 'refused', reason);
		log.write('request', {
			id: request.attempt, route: route.name, outcome: 'refused', reason, status: 503, rank: route.rank, serviceBelow: service,
			level: Math.round(100 * admission.levelOf(service)) / 100,
		});
	}
}

class RequestFlow {
	private readonly dependencies: RequestFlowDependencies;
	private readonly tried = new Set<string>();
	private readonly deadlineAt: number;
	private readonly latestStartAt: number;
	private reroutes = 0;
	private targetsReached = 0;
	private mayHaveRun = false;
	private done = false;
	private cancelAttempt: (() => void) | undefined;
	private endAttempt: ((outcome: InstanceOutcome | undefined) => void) | undefined;
	private fallbackResponse: EntryResponse | undefined;
	private cancelDeadline: (() => void) | undefined;
	private lastInstance = '';
	private lastReason = '';

	constructor(
		private readonly handler: RequestHandler,
		private readonly request: EntryRequest & {fromTarget: boolean; rank: number},
		private readonly route: Route,
		private readonly service: string,
		private readonly headers: string[],
		private readonly respond: (response: EntryResponse) => void,
		private readonly onCancelled: () => void,
	) {
		this.dependencies = handler.dependencies;
		this.deadlineAt = handler.deadlineOf(request, route);
		const timeout = this.deadlineAt - request.receivedAt;
		this.latestStartAt = request.receivedAt + (request.fromTarget
			? timeout * requestFlowOptions.latestCallStartShare
			: Math.min(timeout, route.objectiveMilliseconds) * requestFlowOptions.latestStartShare);
	}

	start(): void {
		this.cancelDeadline = this.dependencies.clock.after(this.deadlineAt - this.dependencies.clock.now(), () => {
			this.expire();
		});
		this.tryNextInstance();
	}

	/** Cancels the request after its sender closed the connection; no response is sent. */
	cancel(): void {
		if (this.done) {
			return;
		}

		this.recordCompletion('left', 'caller-left');
		this.cancelAttempt?.();
		this.endAttempt?.(undefined);
		this.onCancelled();
	}

	private tryNextInstance(): void {
		const {records, neighbourhood, placement} = this.dependencies;
		if (this.service === this.dependencies.service) {
			this.handler.recordLocalLoad();
		}

		const chooseAmong = (candidates: readonly TargetInstance[]) => placement.choose({
			candidates, excluded: this.tried, isReachable: candidate => this.handler.isReachable(candidate),
		});
		// Instances outside the neighbourhood have no link yet, so they are used only if no other one can be.
		const instance = chooseAmong(neighbourhood.instancesOf(this.service)) ?? chooseAmong(records.instancesOf(this.service));
		if (instance === undefined) {
			this.finishWithoutResponse(this.lastReason === '' ? 'no-instance' : this.lastReason, requestFlowOptions.unavailableRetryAfterMilliseconds);
			return;
		}

		this.tried.add(instance.name);
		this.lastInstance = instance.name;
		placement.begin(instance);
		let ended = false;
		this.endAttempt = outcome => {
			if (!ended) {
				ended = true;
				placement.end(instance, outcome);
			}
		};

		const end = this.endAttempt;
		let settled = false;
		const cancel = this.send(instance, outcome => {
			settled = true;
			end(instanceOutcome(outcome));
			if (!this.done) {
				this.handleOutcome(outcome);
			}
		});
		// After a synchronous outcome the next attempt may already have set its own function.
		if (!settled) {
			this.cancelAttempt = cancel;
		}
	}

	private send(instance: TargetInstance, settle: (outcome: RunOutcome) => void): () => void {
		const {clock, runner, links, peerPort, service} = this.dependencies;
		const {request} = this;
		if (this.handler.isLocal(instance)) {
			const work: TargetWork = {
				instance: instance.name, route: this.route.name, attempt: request.attempt, callerService: service, rank: this.request.rank, deadlineAt: this.deadlineAt,
				latestStartAt: this.latestStartAt, method: request.method, path: request.path, headers: this.headers, body: request.body,
			};
			return runner.run(work, settle);
		}

		const now = clock.now();
		return links.forward({host: instance.address.host, port: peerPort}, {
			instance: instance.name, route: this.route.name, callerService: service, attempt: request.attempt, rank: this.request.rank,
			remainingMilliseconds: this.deadlineAt - now, startTimeoutMilliseconds: this.latestStartAt - now,
			method: request.method, path: request.path, headers: this.headers, body: request.body,
		}, settle);
	}

	private handleOutcome(outcome: RunOutcome): void {
		if (outcome.result === RunResult.answered) {
			this.handleResponse(outcome);
		} else if (outcome.result === RunResult.notRun) {
			this.handleRefusal(outcome);
		} else {
			this.targetsReached += 1;
			this.mayHaveRun = true;
			this.lastReason = outcome.reason;
			if (!this.tryRetry()) {
				this.finishWithoutResponse(outcome.reason, 0);
			}
		}
	}

	private handleResponse(outcome: Extract<RunOutcome, {result: 'answered'}>): void {
		this.targetsReached += 1;
		const {status, headers, body} = outcome;
		const response: EntryResponse = {status, headers, body};
		if (outcome.status >= 500) {
			this.mayHaveRun = true;
			this.lastReason = `target-answered-${outcome.status}`;
			this.fallbackResponse = response;
			if (this.tryRetry()) {
				return;
			}
		}

		this.finish(response, outcome.status < 500 ? 'served' : 'target-failed', this.lastReason);
	}

	private handleRefusal(outcome: Extract<RunOutcome, {result: 'not-run'}>): void {
		this.lastReason = outcome.reason;
		if (outcome.reachedTarget) {
			this.targetsReached += 1;
			if (this.tryRetry(true)) {
				return;
			}
		} else if (this.reroutes < requestFlowOptions.maximumReroutes && this.hasTime() && this.targetsReached === 0) {
			this.reroutes += 1;
			this.tryNextInstance();
			return;
		}

		this.finishWithoutResponse(outcome.reason, outcome.estimatedWaitMilliseconds);
	}

	/** Sends the request to another target if the route, the time remaining and the retry budget allow it. */
	private tryRetry(knownNotRun = false): boolean {
		const allowed = knownNotRun || this.route.idempotent;
		if (!allowed || this.targetsReached >= this.route.maximumTargets || !this.hasTime() || !this.hasOtherInstance()) {
			return false;
		}

		if (!this.dependencies.budget.take(this.handler.requestsByService(this.route, this.service), this.request.rank)) {
			this.dependencies.metrics.countRetry('denied');
			return false;
		}

		this.dependencies.metrics.countRetry('sent');
		this.tryNextInstance();
		return true;
	}

	private hasOtherInstance(): boolean {
		return this.dependencies.records.instancesOf(this.service).some(instance => instance.state === 'ready' && !this.tried.has(instance.name));
	}

	private hasTime(): boolean {
		return this.deadlineAt - this.dependencies.clock.now() > requestFlowOptions.minimumRetryMilliseconds;
	}

	private expire(): void {
		if (this.done) {
			return;
		}

		this.cancelAttempt?.();
		this.endAttempt?.(undefined);
		// The outcome of the attempt is unknown, so the response does not promise that the request did not run, even if it was not sent
		// yet, for example because its link is still being opened.
		this.finish(this.fallbackResponse ?? nodeResponse(504, 'deadline-exceeded'), 'failed', 'deadline-exceeded');
	}

	/** Finishes a request without a usable response from a target; a failure response of an earlier attempt is used if there is one. */
	private finishWithoutResponse(reason: string, retryAfterMilliseconds: number): void {
		if (this.fallbackResponse !== undefined) {
			this.finish(this.fallbackResponse, 'target-failed', reason);
		} else if (this.mayHaveRun) {
			this.finish(nodeResponse(reason === 'deadline-exceeded' ? 504 : 502, reason), 'failed', reason);
		} else {
			this.finish(this.handler.refusal(reason, retryAfterMilliseconds), 'refused', reason);
		}
	}

	private finish(response: EntryResponse, outcome: string, reason: string): void {
		this.recordCompletion(outcome, reason, response.status);
		this.respond(response);
	}

	private recordCompletion(outcome: string, reason: string, status?: number): void {
		this.done = true;
		this.cancelDeadline?.();
		const {log, metrics, clock, records} = this.dependencies;
		const milliseconds = clock.now() - this.request.receivedAt;
		metrics.countRequest(this.route.name, outcome, outcome === 'served' ? '' : reason);
		metrics.observeRequest(this.route.name, milliseconds);
		const importance = outcome === 'served' ? LineImportance.routine : LineImportance.needed;
		if (importance === LineImportance.routine && !log.acceptsRoutine) {
			log.countOmitted('request');
			return;
		}

		log.write('request', {
			id: this.request.attempt, route: this.route.name, service: this.service, fromTarget: this.request.fromTarget, outcome, reason, status,
			instance: this.lastInstance, targetsReached: this.targetsReached, reroutes: this.reroutes, milliseconds: Math.round(milliseconds),
			limitMilliseconds: Math.round(this.deadlineAt - this.request.receivedAt), policyVersion: records.policy?.version,
			policyAgeMilliseconds: Math.round(records.policyAgeMilliseconds), fleetRevision: records.revisions.fleetRevision,
			serviceSilenceMilliseconds: Math.round(records.configurationService.millisecondsSinceResponse),
		}, importance);
	}
}

/**
 * Returns the outcome of an attempt as it counts for the instance. Undefined for a refusal because of overload, which the load
 * reports already show: it changes neither the success share of the instance nor whether it is used.
 */
function instanceOutcome(outcome: RunOutcome): InstanceOutcome | undefined {
	if (outcome.result === RunResult.answered) {
		return outcome.status < 500 ? 'served' : 'failed';
	}

	if (outcome.result === RunResult.mayHaveRun) {
		return 'failed';
	}

	if (outcome.reason === 'another-instance' || outcome.reason === instanceLeavingReason) {
		return 'unusable';
	}

	return outcome.reason === 'overloaded' ? undefined : 'failed';
}

/** Builds a response of the node itself. It carries no target signature; the body states the reason for the caller's log. */
function nodeResponse(status: number, reason: string): EntryResponse {
	return {status, headers: jsonHeaders, body: Buffer.from(JSON.stringify({reason}))};
}

/** The earlier of the caller's deadline and the route's timeout. */
function callerDeadline(request: EntryRequest, route: Route): number {
	return request.receivedAt + Math.min(request.remainingMilliseconds ?? requestFlowOptions.defaultTimeoutMilliseconds, route.timeoutMilliseconds);
}

/**
 * Returns the rank of a downstream call. It precedes new requests of the parent's rank, because its failure wastes the parent's
 * work, and comes after more urgent requests. Ranks of requests are integers.
 */
export function rankOfCall(parentRank: number): number {
	return Number.isInteger(parentRank) ? parentRank - 0.5 : parentRank;
}
