/**
 * Creates and connects the components of one node, starts its listeners, and stops them in order after draining.
 */
import {randomInt} from 'node:crypto';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {redact} from '@hemlockthread/telemetry';
import {CallProfile} from './call-profile.js';
import {processClock, type Clock} from './clock.js';
import {
	DecisionLog, LineImportance, type LogFields, type LogWriter,
} from './decision-log.js';
import {doNothing} from './do-nothing.js';
import {EntryListener} from './entry-listener.js';
import type {
	Address, HeaderNames, ParentOfCall, RecordDecoder, TargetInstance,
} from './fleet-model.js';
import {FleetRecords, type RecordChange} from './fleet-records.js';
import {
	RunResult, unsentOutcome, type LoadReport, type RunOutcome,
} from './link-messages.js';
import type {ForwardedRequest} from './peer-link.js';
import {PeerLinks} from './peer-links.js';
import {Neighbourhood} from './neighbourhood.js';
import {Placement} from './placement.js';
import {RecordFollower, type RecordSource} from './record-follower.js';
import {RecordSpread} from './record-spread.js';
import {RequestHandler, requestFlowOptions, type StopTimes} from './request-flow.js';
import {RetryBudget} from './retry-budget.js';
import {RootAdmission, type ServiceLoad} from './root-admission.js';
import {SidecarMetrics} from './sidecar-metrics.js';
import {TargetRunner} from './target-runner.js';

/** @public */
export const sidecarOptions = {
	/** Minimum time between the request to stop and the end: callers need it to stop sending. */
	minimumLeaveMilliseconds: requestFlowOptions.certainEndAfterMilliseconds,
	/** Part of the shutdown grace period that is reserved for closing connections. */
	graceReserveMilliseconds: 300,
	drainPollMilliseconds: 25,
	/** Interval at which lapsed entries are removed, nodes are counted and missing links are opened. */
	housekeepingIntervalMilliseconds: 250,
	/** Interval between updates of the admission levels; several updates fit between two pings, which exchange load reports. */
	admissionIntervalMilliseconds: 100,
	/** Time for which the highest node count applies in the retry budget: two windows of 10 s. */
	nodeCountRetentionMilliseconds: 20_000,
} as const;

/** Path of the state dump at the metrics address. */
const statePath = '/state';

/** @public */
export type SidecarSettings = {
	node: string;
	service: string;
	failureDomain: string;
	targetAddress: Address;
	entryAddress: Address;
	readyAddress: Address;
	readyPath: string;
	/** Address for links from other nodes; the port is the same on every node of the fleet. */
	peerAddress: Address;
	metricsAddress: Address | undefined;
	metricsPath: string;
	/** Slots assumed until the entry of the local instance is known. */
	initialSlots: number;
	graceMilliseconds: number;
	/** Time between two heartbeats of a target's entry in the configuration service. */
	heartbeatMilliseconds: number;
	retryBudget: {ratio: number; slack: number; windowMilliseconds: number};
	/** Identifies the content of the settings file, for the log. */
	digest: string;
	/** Common key prefix of the records to read; may be empty. */
	recordPrefix: string;
};

/** @public */
export type SidecarDependencies = {
	settings: SidecarSettings;
	headers: HeaderNames;
	decode: RecordDecoder;
	parentOfCall: ParentOfCall;
	clock?: Clock;
	/** Receives the log lines; the default is standard output. */
	writeLog?: LogWriter;
	createRecordSource(metrics: SidecarMetrics): RecordSource;
};

/** @public */
export type RunningSidecar = {
	stop(): Promise<void>;
	logFatalError(error: Error): void;
	logReload(fields: Record<string, string>): void;
	dump(): unknown;
};

/**
 * Starts a node and waits until its listeners accept connections.
 *
 * @public
 */
export async function startSidecar(dependencies: SidecarDependencies): Promise<RunningSidecar> {
	const sidecar = new Sidecar(dependencies);
	await sidecar.start();
	return sidecar;
}

class Sidecar implements RunningSidecar {
	private readonly clock: Clock;
	private readonly settings: SidecarSettings;
	private readonly log: DecisionLog;
	private readonly metrics = new SidecarMetrics();
	private readonly records: FleetRecords;
	private readonly spread: RecordSpread;
	private readonly neighbourhood: Neighbourhood;
	private readonly placement: Placement;
	private readonly runner: TargetRunner;
	private readonly profile = new CallProfile();
	private readonly admission: RootAdmission;
	private readonly links: PeerLinks;
	private readonly requestHandler: RequestHandler;
	private readonly entry: EntryListener;
	private readonly follower: RecordFollower;
	private readonly shutdown = new AbortController();
	private readonly servers: Server[] = [];
	private instanceByHost = new Map<string, string>();
	private isTopologyOutdated = false;
	private loggedPolicyVersion: number | undefined;
	private forwardedRequestCount = 0;
	private stopTimes: StopTimes | undefined;
	private nodeCount = 1;
	private nodeCountUpdatedAt = 0;

	constructor(dependencies: SidecarDependencies) {
		const {settings, headers} = dependencies;
		this.settings = settings;
		this.clock = dependencies.clock ?? processClock;
		const {clock} = this;
		const generator = xoroshiro128plus(randomInt(2 ** 31));
		const random = () => uniformFloat64(generator);
		this.log = new DecisionLog({node: settings.node}, clock, dependencies.writeLog);
		this.records = new FleetRecords({decode: dependencies.decode, heartbeatMilliseconds: settings.heartbeatMilliseconds, now: () => clock.now()});
		this.neighbourhood = new Neighbourhood({host: settings.peerAddress.host, failureDomain: settings.failureDomain}, () => this.records.instances());
		this.spread = new RecordSpread({records: this.records, clock, neighbours: () => this.links.recordNeighbours()});
		this.admission = new RootAdmission(random);
		this.placement = new Placement(settings.failureDomain, clock, random);
		this.runner = new TargetRunner({
			address: settings.targetAddress, slots: settings.initialSlots, headers, profile: this.profile, clock,
			departures: this.records.departures,
		});
		const budget = new RetryBudget({
			...settings.retryBudget, nodeCount: () => this.nodeCount, clock,
		});
		this.links = new PeerLinks(
			{
				isLeaving: () => this.isLeaving, revisions: () => this.records.revisions, load: () => this.runner.load,
				calls: () => this.profile.localCallsByRoute(), retryShortfall: () => budget.shortfall(),
				changesSince: after => this.records.changesSince(after), progress: () => this.spread.progress(),
			},
			{
				onForwardedRequest: (request, ageMilliseconds, settle) => this.runForwardedRequest(request, ageMilliseconds, settle),
				onLoad: (peer, load) => {
					this.handleLoadReport(peer, load);
				},
				onCalls: (peer, calls) => {
					this.profile.recordPeerCalls(peer, calls);
				},
				onProgress: (source, progress, messageAge) => {
					this.spread.receiveProgress(source, progress, messageAge);
				},
				onRecords: (source, changes) => {
					this.spread.receiveChanges(source, changes);
				},
				onNewerRecords: source => {
					this.spread.requestChanges(source);
				},
				onRetryShortfall: shortfall => budget.grant(shortfall),
				onGrant(retries, ageMilliseconds) {
					budget.receiveGrant(retries, ageMilliseconds);
				},
				onLinkChange: (peer, state, detail) => {
					this.log.write(state === 'open' ? 'dependency-regained' : 'dependency-lost', {dependency: 'peer', peer, detail});
				},
			},
			clock,
		);
		this.requestHandler = new RequestHandler({
			service: settings.service, targetAddress: settings.targetAddress, peerPort: settings.peerAddress.port, headers, records: this.records,
			neighbourhood: this.neighbourhood, areRecordsConfirmed: () => this.spread.confirmedAt !== undefined, placement: this.placement, parentOfCall: dependencies.parentOfCall, budget,
			profile: this.profile, admission: this.admission, links: this.links, runner: this.runner, log: this.log, metrics: this.metrics, clock, random,
			stopTimes: () => this.stopTimes,
		});
		this.entry = new EntryListener({
			address: settings.entryAddress, headers, limits: () => this.records.policy?.limits,
			handle: (request, respond) => this.requestHandler.handle(request, respond), clock,
			onRejected: (status, reason, attempt) => {
				this.metrics.countRequest('none', 'rejected', reason);
				this.log.write('request', {
					id: attempt, outcome: 'rejected', reason, status,
				});
			},
			onUnreadDropped: bytes => {
				this.log.write('unread-answer-dropped', {bytes});
			},
		});
		this.follower = new RecordFollower({
			source: dependencies.createRecordSource(this.metrics), records: this.records, spread: this.spread, neighbourhood: this.neighbourhood,
			log: this.log, clock, random, nodeCount: () => this.nodeCount,
		});
		this.records.onChange(change => {
			this.handleRecordChange(change);
		});
	}

	async start(): Promise<void> {
		const {settings} = this;
		this.log.write('start', {service: settings.service, failureDomain: settings.failureDomain, settingsDigest: settings.digest}, LineImportance.always);
		await this.links.listen(settings.peerAddress);
		await this.entry.listen();
		await this.startServer(settings.readyAddress, path => path === settings.readyPath ? {status: this.isReady() ? 200 : 503, body: ''} : undefined);
		if (settings.metricsAddress !== undefined) {
			this.registerGauges();
			await this.startServer(settings.metricsAddress, async path => this.operatorResponse(path));
		}

		void this.follower.run(settings.recordPrefix, this.shutdown.signal);
		this.scheduleHousekeeping();
		this.scheduleAdmissionUpdate();
	}

	async stop(): Promise<void> {
		const startedAt = this.clock.now();
		this.log.write('stop-requested', {activeRequests: this.requestHandler.activeCount, runningHandOvers: this.forwardedRequestCount});
		const endsAt = startedAt + this.settings.graceMilliseconds - sidecarOptions.graceReserveMilliseconds;
		this.stopTimes = {requestedAt: startedAt, endsAt};
		this.entry.leave();
		this.links.announceLeaving();
		while (this.clock.now() < endsAt && (this.clock.now() - startedAt < sidecarOptions.minimumLeaveMilliseconds || this.hasActiveRequests())) {
			await delay(sidecarOptions.drainPollMilliseconds);
			if (this.clock.now() - startedAt >= sidecarOptions.minimumLeaveMilliseconds) {
				this.entry.closeIdle();
			}
		}

		// Requests on connections accepted just before are still answered.
		this.entry.stopListening();
		do {
			await delay(sidecarOptions.drainPollMilliseconds);
			this.entry.closeIdle();
		} while (this.clock.now() < endsAt && this.hasActiveRequests());

		this.log.write('stop', {activeRequests: this.requestHandler.activeCount, runningHandOvers: this.forwardedRequestCount});
		this.log.flush();
		this.shutdown.abort();
		this.entry.close();
		this.links.close();
		for (const server of this.servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	logFatalError(error: Error): void {
		this.log.write('fatal-error', {message: error.message, stack: error.stack}, LineImportance.always);
		this.log.flush();
	}

	logReload(fields: Record<string, string>): void {
		this.log.write('reload', fields, LineImportance.always);
	}

	dump(): unknown {
		return {
			records: this.records.dump(), spread: this.spread.progress(), isWatcher: this.neighbourhood.isWatcher,
			placement: this.placement.dump(), links: this.links.dump(), admission: this.admission.dump(), load: this.runner.load,
		};
	}

	/** Responds to operators: metrics as text, and the state of all components as JSON. */
	private async operatorResponse(path: string): Promise<{status: number; body: string} | undefined> {
		if (path === this.settings.metricsPath) {
			return {status: 200, body: await this.metrics.registry.metrics()};
		}

		return path === statePath ? {status: 200, body: JSON.stringify(redact(this.dump()))} : undefined;
	}

	private hasActiveRequests(): boolean {
		return this.requestHandler.activeCount > 0 || this.forwardedRequestCount > 0 || this.entry.isBusy;
	}

	private get isLeaving(): boolean {
		return this.stopTimes !== undefined;
	}

	private isReady(): boolean {
		return !this.isLeaving && this.spread.confirmedAt !== undefined && this.records.policy !== undefined && this.instanceByHost.size > 0;
	}

	private runForwardedRequest(request: ForwardedRequest, ageMilliseconds: number, settle: (outcome: RunOutcome) => void): () => void {
		if (this.isLeaving) {
			settle(unsentOutcome('leaving'));
			return doNothing;
		}

		const now = this.clock.now();
		this.forwardedRequestCount += 1;
		const cancel = this.runner.run({
			instance: request.instance, route: request.route, attempt: request.attempt, callerService: request.callerService, rank: request.rank,
			deadlineAt: now + request.remainingMilliseconds - ageMilliseconds, latestStartAt: now + request.startTimeoutMilliseconds - ageMilliseconds,
			method: request.method, path: request.path, headers: request.headers, body: request.body,
		}, outcome => {
			this.forwardedRequestCount -= 1;
			if (outcome.result !== RunResult.answered) {
				this.log.write('hand-over', {
					id: request.attempt, instance: request.instance, rank: request.rank, outcome: outcome.result, reason: outcome.reason,
					ageMilliseconds: Math.round(ageMilliseconds), remainingMilliseconds: Math.round(request.remainingMilliseconds),
					...this.runner.queue.load, ...this.departureFields(request.instance),
				});
			}

			settle(outcome);
		});
		return () => {
			this.forwardedRequestCount -= 1;
			cancel();
		};
	}

	/** Log fields for the known departure of an instance. */
	private departureFields(instance: string): LogFields {
		const departure = this.records.departures.get(instance);
		return departure === undefined
			? {}
			: {departureCause: departure.cause, departureRevision: departure.revision, knownForMilliseconds: Math.round(this.clock.now() - departure.learnedAt)};
	}

	private handleLoadReport(peer: string, load: LoadReport): void {
		const name = this.instanceByHost.get(peer.slice(0, peer.lastIndexOf(':')));
		if (name !== undefined) {
			this.placement.recordLoad(name, load);
		}
	}

	private handleRecordChange(change: RecordChange): void {
		this.log.write('belief', change);
		this.logPolicyChange(change);
		this.neighbourhood.invalidate();
		if (!this.isTopologyOutdated) {
			this.isTopologyOutdated = true;
			setImmediate(() => {
				this.isTopologyOutdated = false;
				this.applyTopology();
			});
		}
	}

	/** Writes one line for each policy that comes into force, from which it can be told which node held which version at what time. */
	private logPolicyChange({revision, source}: RecordChange): void {
		const version = this.records.policy?.version;
		if (version === undefined || version === this.loggedPolicyVersion) {
			return;
		}

		const {confirmedAt} = this.spread;
		this.log.write('policy-in-force', {
			version, previousVersion: this.loggedPolicyVersion, revision, source,
			confirmedMilliseconds: confirmedAt === undefined ? undefined : Math.round(this.clock.now() - confirmedAt),
		}, LineImportance.always);
		this.loggedPolicyVersion = version;
	}

	/** Applies the current instances to all components, once for all changes of a message. */
	private applyTopology(): void {
		const instances = this.records.instances();
		this.instanceByHost = new Map(instances.map(instance => [instance.address.host, instance.name]));
		this.placement.retain(new Set(instances.map(instance => instance.name)));
		const localInstance = instances.find(instance => this.requestHandler.isLocal(instance));
		if (localInstance !== undefined) {
			this.runner.queue.setSlots(localInstance.slots);
		}

		this.updateNodeCount();
	}

	private updateNodeCount(): void {
		const count = Math.max(1, this.instanceByHost.size);
		const now = this.clock.now();
		if (count >= this.nodeCount || now - this.nodeCountUpdatedAt > sidecarOptions.nodeCountRetentionMilliseconds) {
			this.nodeCount = count;
			this.nodeCountUpdatedAt = now;
		}
	}

	private scheduleHousekeeping(): void {
		this.clock.after(sidecarOptions.housekeepingIntervalMilliseconds, () => {
			if (this.shutdown.signal.aborted) {
				return;
			}

			this.records.expireLapsed();
			this.updateNodeCount();
			this.maintainLinks();
			this.scheduleHousekeeping();
		});
	}

	private maintainLinks(): void {
		const {targetAddress, peerAddress} = this.settings;
		for (const host of this.neighbourhood.exchangeHosts) {
			this.links.ensureExchange({host, port: peerAddress.port});
		}

		for (const {address} of this.neighbourhood.targets) {
			if (address.host !== targetAddress.host) {
				this.links.ensureLink({host: address.host, port: peerAddress.port});
			}
		}

		this.links.closeUnused();
	}

	private scheduleAdmissionUpdate(): void {
		this.clock.after(sidecarOptions.admissionIntervalMilliseconds, () => {
			if (this.shutdown.signal.aborted) {
				return;
			}

			this.admission.update(this.clock.now(), this.serviceLoads());
			this.scheduleAdmissionUpdate();
		});
	}

	/** Load of each service, summed over the instances of the neighbourhood whose reports are fresh: a sample of the service. */
	private serviceLoads(): Map<string, ServiceLoad> {
		const loads = new Map<string, ServiceLoad>();
		for (const instance of this.neighbourhood.targets) {
			const load = this.loadOf(instance);
			if (load === undefined || instance.state !== 'ready') {
				continue;
			}

			const total = loads.get(instance.service) ?? {active: 0, waiting: 0, limit: 0};
			total.active += load.active;
			total.waiting += load.waiting;
			total.limit += load.limit;
			loads.set(instance.service, total);
		}

		return loads;
	}

	/** The latest load of an instance; undefined for an unreachable one, which has no capacity for this node whatever its last report says. */
	private loadOf(instance: TargetInstance): LoadReport | undefined {
		if (this.requestHandler.isLocal(instance)) {
			return this.runner.load;
		}

		return this.requestHandler.isReachable(instance) ? this.placement.freshLoadOf(instance.name) : undefined;
	}

	private registerGauges(): void {
		const {queue} = this.runner;
		this.metrics.registerGauge('hemlockthread_queue_waiting_requests', 'Requests that wait for the target', () => queue.load.waiting);
		this.metrics.registerGauge('hemlockthread_target_active_requests', 'Requests at the target', () => queue.load.active);
		this.metrics.registerGauge('hemlockthread_target_limit_requests', 'Requests that may be at the target at once', () => queue.load.limit);
		this.metrics.registerGauge('hemlockthread_policy_version', 'Version of the policy in force', () => this.records.revisions.policyVersion);
		this.metrics.registerGauge('hemlockthread_policy_age_seconds', 'Time since the policy in force arrived', () => this.records.policyAgeMilliseconds / 1000);
		this.metrics.registerGauge('hemlockthread_target_connections', 'Connections to the target', () => this.runner.connections.openCount);
	}

	private async startServer(
		address: Address,
		handle: (path: string) => {status: number; body: string} | undefined | Promise<{status: number; body: string} | undefined>,
	): Promise<void> {
		const respond = async (url: string, response: ServerResponse) => {
			const {status, body} = await handle(url.split('?', 1)[0]!) ?? {status: 404, body: ''};
			response.writeHead(status, {'content-type': 'text/plain'});
			response.end(body);
		};

		const server = createServer((request, response) => {
			void respond(request.url ?? '', response);
		});
		this.servers.push(server);
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(address.port, address.host, resolve);
		});
	}
}
