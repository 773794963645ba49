/**
 * The way of one request through the node at which it entered: route, instance, hand-over, retries and the final answer.
 *
 * The final answer comes at the earlier of the caller's limit and the route's timeout. A status that promises that nothing
 * ran is used only where every node and target that was asked has said so, or nothing was sent.
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
import {passedHeaders, type HeaderList} from './message-headers.js';
import type {PeerLinks} from './peer-links.js';
import type {InstanceOutcome, Placement} from './placement.js';
import type {RetryBudget} from './retry-budget.js';
import type {RootAdmission} from './root-admission.js';
import {RouteTable} from './route-table.js';
import type {SidecarMetrics} from './sidecar-metrics.js';
import type {TargetRunner, TargetWork} from './target-runner.js';

/** @public */
export const requestFlowOptions = {
	/** Limit of a request whose caller states none. */
	defaultLimitMilliseconds: 30_000,
	/** Instances asked after a refusal that came before any target was involved. */
	maximumReroutes: 2,
	/** Share of the time to the objective after which a start is of no use for a request of a caller. */
	usefulShare: 0.5,
	/** The same for a call of a target, whose work above is lost when it fails. */
	usefulCallShare: 0.9,
	/** Least time left in which another attempt is sensible. */
	minimumRetryMilliseconds: 50,
	/** Width of the spread of the time told, as a share of it. */
	retryAfterJitter: 0.5,
	/** Shortest time after which a refused caller is told to return. */
	minimumRetryAfterMilliseconds: 100,
	/** Mean wait told to callers that are refused for a service deeper in the graph: longer than its queue takes to shrink. */
	rootRetryAfterMilliseconds: 500,
	/**
	 * Wait told to callers while a service below can't be reached: cuts last for seconds, and callers come back once or twice.
	 */
	unreachableRetryAfterMilliseconds: 2000,
	/** Calls of a service per request from which on the request is taken to need it. */
	likelyCalls: 0.5,
	/** Time for which the learned calls of a route are not calculated again. */
	workCacheMilliseconds: 500,
	/** Wait told to callers while the node knows no policy or reaches no instance. */
	unavailableRetryAfterMilliseconds: 400,
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
	/** Time that the sender waits, in milliseconds; undefined where it states none. */
	limitMilliseconds: number | undefined;
	receivedAt: number;
};

/** @public */
export type EntryAnswer = {
	status: number;
	headers: HeaderList;
	body: Uint8Array | undefined;
	/** True where the target gave the body no length: it is passed on without one, so that a cut body never looks whole. */
	unframed?: boolean;
};

/** @public */
export type RequestFlowParts = {
	service: string;
	targetAddress: Address;
	peerPort: number;
	headers: HeaderNames;
	records: FleetRecords;
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
};

/** Why a request is refused where it enters, for a service below. */
type RootRefusal = 'overloaded-below' | 'unreachable-below';

const retryAfterByRefusal: Readonly<Record<RootRefusal, number>> = {
	'overloaded-below': requestFlowOptions.rootRetryAfterMilliseconds,
	'unreachable-below': requestFlowOptions.unreachableRetryAfterMilliseconds,
};

const jsonHeaders: HeaderList = ['Content-Type', 'application/json'];

/**
 * Creates the flows of requests.
 *
 * @public
 */
export class RequestFlows {
	private table: RouteTable | undefined;
	private tableVersion = 0;
	private readonly replacedHeaders: ReadonlySet<string>;
	private readonly work = new Map<string, {work: ReadonlyMap<string, number>; until: number}>();
	private active = 0;

	constructor(readonly parts: RequestFlowParts) {
		const {headers} = parts;
		this.replacedHeaders = new Set(['content-length', headers.remainingTime, headers.expectedInstance, headers.callerService]);
	}

	/** Requests without a final answer. */
	get activeCount(): number {
		return this.active;
	}

	/** True where the instance is beside this node or its node accepts requests. */
	isReachable(instance: TargetInstance): boolean {
		const {links, peerPort} = this.parts;
		return this.isLocal(instance) || links.accepts({host: instance.address.host, port: peerPort});
	}

	/** True for the instance beside this node. */
	isLocal(instance: TargetInstance): boolean {
		return isSameAddress(instance.address, this.parts.targetAddress);
	}

	/** Answers a request once. Returns a function to call when the sender left. */
	handle(request: EntryRequest, respond: (answer: EntryAnswer) => void): () => void {
		const {records, metrics} = this.parts;
		const {policy} = records;
		if (policy === undefined) {
			respond(this.refusal('no-policy', requestFlowOptions.unavailableRetryAfterMilliseconds));
			metrics.countRequest('none', 'refused', 'no-policy');
			return doNothing;
		}

		const table = this.tableOf(policy);
		const route = table.match(request.host, request.path);
		if (route === undefined) {
			respond(ownAnswer(404, 'unknown-route'));
			this.noteUnknownRoute(request, policy.version);
			return doNothing;
		}

		const service = table.nextService(route);
		const parent = this.parts.parentOfCall(request.attempt);
		const running = parent === undefined ? undefined : this.parts.runner.runningWork(parent);
		const fromTarget = running !== undefined;
		const rank = fromTarget ? rankOfCall(running.rank) : route.rank;
		if (fromTarget) {
			this.parts.profile.noteCall(running.route, route.name);
		} else {
			// A call whose parent has ended is no request of a client, so it allows no repeats.
			if (parent === undefined) {
				this.parts.budget.noteRequest(service);
			}

			const work = this.workOf(route, service);
			const cause = this.parts.admission.refusingService(route.rank, work.keys());
			if (cause !== undefined) {
				this.refuseAtRoot(request, route, 'overloaded-below', cause, respond);
				return doNothing;
			}

			const unreachable = this.unreachableBelow(work, service);
			if (unreachable !== undefined) {
				this.refuseAtRoot(request, route, 'unreachable-below', unreachable, respond);
				return doNothing;
			}
		}

		this.active += 1;
		const flow = new RequestFlow(this, {...request, fromTarget, rank}, route, service, passedHeaders(request.headers, this.replacedHeaders), answer => {
			this.active -= 1;
			respond(answer);
		}, () => {
			this.active -= 1;
		});
		flow.start();
		return () => {
			flow.leave();
		};
	}

	/** Arrivals that a request causes at each service. */
	workOf(route: Route, service: string): ReadonlyMap<string, number> {
		const now = this.parts.clock.now();
		const key = `${route.name} ${service}`;
		const known = this.work.get(key);
		if (known !== undefined && known.until > now) {
			return known.work;
		}

		const {table} = this;
		const work = this.parts.profile.workOf({name: route.name, weightedServices: [{service, weight: 1}]}, name => table?.named(name));
		this.work.set(key, {work, until: now + requestFlowOptions.workCacheMilliseconds});
		return work;
	}

	/** A refusal that tells its caller when to come back, spread so that callers do not return together. */
	refusal(reason: string, retryAfterMilliseconds: number): EntryAnswer {
		const {retryAfterJitter} = requestFlowOptions;
		const spread = retryAfterMilliseconds * (1 - (retryAfterJitter / 2) + (this.parts.random() * retryAfterJitter));
		const seconds = Math.max(requestFlowOptions.minimumRetryAfterMilliseconds, spread) / 1000;
		const answer = ownAnswer(503, reason);
		return {...answer, headers: [...answer.headers, 'Retry-After', seconds.toFixed(2)]};
	}

	private tableOf(policy: RoutingPolicy): RouteTable {
		if (this.table === undefined || this.tableVersion !== policy.version) {
			this.table = new RouteTable(policy);
			this.tableVersion = policy.version;
			this.work.clear();
		}

		return this.table;
	}

	private noteUnknownRoute(request: EntryRequest, policyVersion: number): void {
		this.parts.metrics.countRequest('none', 'rejected', 'unknown-route');
		this.parts.log.write('request', {
			id: request.attempt, outcome: 'rejected', reason: 'unknown-route', host: request.host, path: request.path, policyVersion,
		});
	}

	/**
	 * A service below that the request will call and of which no instance can be reached, as in a domain that is cut off. The
	 * request would run and fail at that call, and its caller could not be told that it did not run.
	 */
	private unreachableBelow(work: ReadonlyMap<string, number>, ownService: string): string | undefined {
		const {records} = this.parts;
		for (const [service, count] of work) {
			if (service === ownService || count < requestFlowOptions.likelyCalls) {
				continue;
			}

			if (!records.instancesOf(service).some(instance => instance.state === 'ready' && this.isReachable(instance))) {
				return service;
			}
		}

		return undefined;
	}

	/** Refuses before anything ran; the service is the one below that is the cause. */
	private refuseAtRoot(request: EntryRequest, route: Route, reason: RootRefusal, service: string, respond: (answer: EntryAnswer) => void): void {
		const {admission, log, metrics} = this.parts;
		respond(this.refusal(reason, retryAfterByRefusal[reason]));
		metrics.countRequest(route.name, 'refused', reason);
		log.write('request', {
			id: request.attempt, route: route.name, outcome: 'refused', reason, status: 503, rank: route.rank, serviceBelow: service,
			level: Math.round(100 * admission.levelOf(service)) / 100,
		});
	}
}

class RequestFlow {
	private readonly parts: RequestFlowParts;
	private readonly tried = new Set<string>();
	private readonly deadlineAt: number;
	private readonly usefulUntil: number;
	private reroutes = 0;
	private arrivals = 0;
	private mayHaveRun = false;
	private done = false;
	private cancelCurrent: (() => void) | undefined;
	private endCurrent: ((outcome: InstanceOutcome | undefined) => void) | undefined;
	private fallback: EntryAnswer | undefined;
	private cancelDeadline: (() => void) | undefined;
	private lastInstance = '';
	private lastReason = '';

	constructor(
		private readonly flows: RequestFlows,
		private readonly request: EntryRequest & {fromTarget: boolean; rank: number},
		private readonly route: Route,
		private readonly service: string,
		private readonly headers: string[],
		private readonly respond: (answer: EntryAnswer) => void,
		private readonly onLeft: () => void,
	) {
		this.parts = flows.parts;
		const limit = Math.min(request.limitMilliseconds ?? requestFlowOptions.defaultLimitMilliseconds, route.timeoutMilliseconds);
		this.deadlineAt = request.receivedAt + limit;
		this.usefulUntil = request.receivedAt + (request.fromTarget
			? limit * requestFlowOptions.usefulCallShare
			: Math.min(limit, route.objectiveMilliseconds) * requestFlowOptions.usefulShare);
	}

	start(): void {
		this.cancelDeadline = this.parts.clock.after(this.deadlineAt - this.parts.clock.now(), () => {
			this.expire();
		});
		this.attempt();
	}

	/** The sender closed its connection: ends the work, nobody is left to answer. */
	leave(): void {
		if (this.done) {
			return;
		}

		this.finishCommon('left', 'caller-left');
		this.cancelCurrent?.();
		this.endCurrent?.(undefined);
		this.onLeft();
	}

	private attempt(): void {
		const {records, placement} = this.parts;
		const instance = placement.choose({
			candidates: records.instancesOf(this.service),
			excluded: this.tried,
			isReachable: candidate => this.flows.isReachable(candidate),
		});
		if (instance === undefined) {
			this.conclude(this.lastReason === '' ? 'no-instance' : this.lastReason, requestFlowOptions.unavailableRetryAfterMilliseconds);
			return;
		}

		this.tried.add(instance.name);
		this.lastInstance = instance.name;
		placement.begin(instance);
		let ended = false;
		this.endCurrent = outcome => {
			if (!ended) {
				ended = true;
				placement.end(instance, outcome);
			}
		};

		const end = this.endCurrent;
		let settled = false;
		const cancel = this.send(instance, outcome => {
			settled = true;
			end(instanceOutcome(outcome));
			if (!this.done) {
				this.receive(outcome);
			}
		});
		// Where the outcome came at once, the next attempt has set its own already.
		if (!settled) {
			this.cancelCurrent = cancel;
		}
	}

	private send(instance: TargetInstance, settle: (outcome: RunOutcome) => void): () => void {
		const {clock, runner, links, peerPort, service} = this.parts;
		const {request} = this;
		if (this.flows.isLocal(instance)) {
			const work: TargetWork = {
				instance: instance.name, route: this.route.name, attempt: request.attempt, callerService: service, rank: this.request.rank, deadlineAt: this.deadlineAt,
				latestStartAt: this.usefulUntil, method: request.method, path: request.path, headers: this.headers, body: request.body,
			};
			return runner.run(work, settle);
		}

		const now = clock.now();
		return links.forward({host: instance.address.host, port: peerPort}, {
			instance: instance.name, route: this.route.name, callerService: service, attempt: request.attempt, rank: this.request.rank,
			remainingMilliseconds: this.deadlineAt - now, startTimeoutMilliseconds: this.usefulUntil - now,
			method: request.method, path: request.path, headers: this.headers, body: request.body,
		}, settle);
	}

	private receive(outcome: RunOutcome): void {
		if (outcome.result === RunResult.answered) {
			this.receiveAnswer(outcome);
		} else if (outcome.result === RunResult.notRun) {
			this.receiveRefusal(outcome);
		} else {
			this.arrivals += 1;
			this.mayHaveRun = true;
			this.lastReason = outcome.reason;
			if (!this.retry()) {
				this.conclude(outcome.reason, 0);
			}
		}
	}

	private receiveAnswer(outcome: Extract<RunOutcome, {result: 'answered'}>): void {
		this.arrivals += 1;
		const {status, headers, body, unframed} = outcome;
		const answer: EntryAnswer = {
			status, headers, body, unframed,
		};
		if (outcome.status >= 500) {
			this.mayHaveRun = true;
			this.lastReason = `target-answered-${outcome.status}`;
			this.fallback = answer;
			if (this.retry()) {
				return;
			}
		}

		this.finish(answer, outcome.status < 500 ? 'served' : 'target-failed', this.lastReason);
	}

	private receiveRefusal(outcome: Extract<RunOutcome, {result: 'not-run'}>): void {
		this.lastReason = outcome.reason;
		if (outcome.reachedTarget) {
			this.arrivals += 1;
			if (this.retry(true)) {
				return;
			}
		} else if (this.reroutes < requestFlowOptions.maximumReroutes && this.hasTime() && this.arrivals === 0) {
			this.reroutes += 1;
			this.attempt();
			return;
		}

		this.conclude(outcome.reason, outcome.roomInMilliseconds);
	}

	/** Sends the request to another target where the route, the time and the retry budget allow it. */
	private retry(surelyNotRun = false): boolean {
		const allowed = surelyNotRun || this.route.idempotent;
		if (!allowed || this.arrivals >= this.route.maximumTargets || !this.hasTime() || !this.hasOtherInstance()) {
			return false;
		}

		if (!this.parts.budget.take(this.flows.workOf(this.route, this.service), this.request.rank)) {
			this.parts.metrics.countRetry('denied');
			return false;
		}

		this.parts.metrics.countRetry('sent');
		this.attempt();
		return true;
	}

	private hasOtherInstance(): boolean {
		return this.parts.records.instancesOf(this.service).some(instance => instance.state === 'ready' && !this.tried.has(instance.name));
	}

	private hasTime(): boolean {
		return this.deadlineAt - this.parts.clock.now() > requestFlowOptions.minimumRetryMilliseconds;
	}

	private expire(): void {
		if (this.done) {
			return;
		}

		this.cancelCurrent?.();
		this.endCurrent?.(undefined);
		// The instance that holds the request has not said that it did not run it.
		this.finish(this.fallback ?? ownAnswer(504, 'deadline-exceeded'), 'failed', 'deadline-exceeded');
	}

	/** Ends a request that no instance answered. */
	private conclude(reason: string, roomInMilliseconds: number): void {
		if (this.fallback !== undefined) {
			this.finish(this.fallback, 'target-failed', reason);
		} else if (this.mayHaveRun) {
			this.finish(ownAnswer(reason === 'deadline-exceeded' ? 504 : 502, reason), 'failed', reason);
		} else {
			this.finish(this.flows.refusal(reason, roomInMilliseconds), 'refused', reason);
		}
	}

	private finish(answer: EntryAnswer, outcome: string, reason: string): void {
		this.finishCommon(outcome, reason, answer.status);
		this.respond(answer);
	}

	private finishCommon(outcome: string, reason: string, status?: number): void {
		this.done = true;
		this.cancelDeadline?.();
		const {log, metrics, clock, records} = this.parts;
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
			instance: this.lastInstance, targetsReached: this.arrivals, reroutes: this.reroutes, milliseconds: Math.round(milliseconds),
			limitMilliseconds: Math.round(this.deadlineAt - this.request.receivedAt), policyVersion: records.policy?.version,
			policyAgeMilliseconds: Math.round(records.policyAgeMilliseconds), fleetRevision: records.revisions.fleetRevision,
			serviceSilenceMilliseconds: Math.round(records.configurationService.millisecondsSinceResponse),
		}, importance);
	}
}

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

/** An answer of the node itself: without the target's signature, and with the reason for the caller's log. */
function ownAnswer(status: number, reason: string): EntryAnswer {
	return {status, headers: jsonHeaders, body: Buffer.from(JSON.stringify({reason}))};
}

/**
 * Rank of a call of a target that runs work of a rank: before new work of the same rank, because work above it is lost with it,
 * and behind more urgent work. Ranks of requests are whole numbers.
 */
export function rankOfCall(parentRank: number): number {
	return Number.isInteger(parentRank) ? parentRank - 0.5 : parentRank;
}
