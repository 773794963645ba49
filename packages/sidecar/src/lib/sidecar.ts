/**
 * Builds the parts of one node, starts its listeners and stops them in order.
 */
import {randomInt} from 'node:crypto';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {redact} from '@hemlockthread/telemetry';
import {CallProfile} from './call-profile.js';
import {processClock, type Clock} from './clock.js';
import {DecisionLog, type LogFields, type LogWriter} from './decision-log.js';
import {doNothing} from './do-nothing.js';
import {EntryListener} from './entry-listener.js';
import type {
	Address, HeaderNames, ParentOfCall, RecordDecoder, TargetInstance,
} from './fleet-model.js';
import {FleetRecords, type RecordChange} from './fleet-records.js';
import {
	neverSent, RunResult, type LoadReport, type RunOutcome,
} from './link-messages.js';
import type {ForwardedRequest} from './peer-link.js';
import {PeerLinks} from './peer-links.js';
import {Placement} from './placement.js';
import {RecordFollower, type RecordSource} from './record-follower.js';
import {RequestFlows} from './request-flow.js';
import {RetryBudget} from './retry-budget.js';
import {RootAdmission, type ServiceLoad} from './root-admission.js';
import {SidecarMetrics} from './sidecar-metrics.js';
import {TargetRunner} from './target-runner.js';

/** @public */
export const sidecarOptions = {
	/** Time after SIGTERM in which callers and peers stop sending; readiness is asked once a second and two misses count. */
	leaveMilliseconds: 2300,
	/** Part of the grace time that is kept for closing. */
	graceReserveMilliseconds: 300,
	drainPollMilliseconds: 25,
	/** Time between two looks at lapsed entries, links and the own instance. */
	housekeepingMilliseconds: 250,
	/** Time between two updates of the admission levels: a few of them fit between two reports of a peer. */
	admissionMilliseconds: 100,
	/** Time for which the largest number of nodes seen counts in the retry budget; two budget windows of ten seconds. */
	nodeCountMemoryMilliseconds: 20_000,
} as const;

/** Path of the state dump on the metrics address. */
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
	/** Port at which every node of the fleet accepts links. */
	peerAddress: Address;
	metricsAddress: Address | undefined;
	metricsPath: string;
	/** Slots assumed until the own instance's entry is known. */
	initialSlots: number;
	graceMilliseconds: number;
	/** Time between two heartbeats of a target's entry, in milliseconds. */
	heartbeatMilliseconds: number;
	retryBudget: {ratio: number; slack: number; windowMilliseconds: number};
	/** Prefixes of the records to follow. */
	recordPrefixes: readonly string[];
};

/** @public */
export type SidecarDependencies = {
	settings: SidecarSettings;
	headers: HeaderNames;
	decode: RecordDecoder;
	parentOfCall: ParentOfCall;
	clock?: Clock;
	/** Where log lines go; standard output where it is left out. */
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
export async function startSidecar(parts: SidecarDependencies): Promise<RunningSidecar> {
	const sidecar = new Sidecar(parts);
	await sidecar.start();
	return sidecar;
}

class Sidecar implements RunningSidecar {
	private readonly clock: Clock;
	private readonly settings: SidecarSettings;
	private readonly log: DecisionLog;
	private readonly metrics = new SidecarMetrics();
	private readonly records: FleetRecords;
	private readonly placement: Placement;
	private readonly runner: TargetRunner;
	private readonly profile = new CallProfile();
	private readonly admission: RootAdmission;
	private readonly links: PeerLinks;
	private readonly flows: RequestFlows;
	private readonly entry: EntryListener;
	private readonly follower: RecordFollower;
	private readonly running = new AbortController();
	private readonly servers: Server[] = [];
	private instanceByHost = new Map<string, string>();
	private runningHandOvers = 0;
	private leaving = false;
	private nodeCount = 1;
	private nodeCountAt = 0;

	constructor(parts: SidecarDependencies) {
		const {settings, headers} = parts;
		this.settings = settings;
		this.clock = parts.clock ?? processClock;
		const {clock} = this;
		const generator = xoroshiro128plus(randomInt(2 ** 31));
		const random = () => uniformFloat64(generator);
		this.log = new DecisionLog({node: settings.node}, clock, parts.writeLog);
		this.records = new FleetRecords({decode: parts.decode, heartbeatMilliseconds: settings.heartbeatMilliseconds, now: () => clock.now()});
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
				isLeaving: () => this.leaving, revisions: () => this.records.revisions, load: () => this.runner.load,
				calls: () => this.profile.export(), retryShortfall: () => budget.shortfall(), records: () => this.records.createSnapshot(),
			},
			{
				onForwardedRequest: (request, age, answer) => this.runForPeer(request, age, answer),
				onLoad: (peer, load) => {
					this.noteLoad(peer, load);
				},
				onCalls: (peer, calls) => {
					this.profile.receive(peer, calls);
				},
				onRecords: snapshot => {
					this.records.applySnapshot(snapshot);
				},
				onRetryShortfall: lacks => budget.grant(lacks),
				onGrant(repeats, age) {
					budget.receiveGrant(repeats, age);
				},
				onLinkChange: (peer, state, detail) => {
					this.log.write(state === 'open' ? 'dependency-regained' : 'dependency-lost', {dependency: 'peer', peer, detail});
				},
			},
			clock,
		);
		this.flows = new RequestFlows({
			service: settings.service, targetAddress: settings.targetAddress, peerPort: settings.peerAddress.port, headers, records: this.records,
			placement: this.placement, parentOfCall: parts.parentOfCall, budget,
			profile: this.profile, admission: this.admission, links: this.links, runner: this.runner, log: this.log, metrics: this.metrics, clock, random,
		});
		this.entry = new EntryListener({
			address: settings.entryAddress, headers, limits: () => this.records.policy?.limits,
			handle: (request, respond) => this.flows.handle(request, respond), clock,
		});
		this.follower = new RecordFollower(parts.createRecordSource(this.metrics), this.records, this.log, clock, random, () => this.nodeCount);
		this.records.onChange(change => {
			this.noteChange(change);
		});
	}

	async start(): Promise<void> {
		const {settings} = this;
		this.log.write('start', {service: settings.service, failureDomain: settings.failureDomain});
		await this.links.listen(settings.peerAddress);
		await this.entry.listen();
		await this.serve(settings.readyAddress, path => path === settings.readyPath ? {status: this.isReady() ? 200 : 503, body: ''} : undefined);
		if (settings.metricsAddress !== undefined) {
			this.observeGauges();
			await this.serve(settings.metricsAddress, async path => this.describe(path));
		}

		void this.follower.run(settings.recordPrefixes, this.running.signal);
		this.keepHouse();
		this.updateAdmission();
	}

	async stop(): Promise<void> {
		const startedAt = this.clock.now();
		this.log.write('stop-requested', {activeRequests: this.flows.activeCount, runningHandOvers: this.runningHandOvers});
		this.leaving = true;
		this.entry.leave();
		this.links.announceLeaving();
		const lastAt = startedAt + this.settings.graceMilliseconds - sidecarOptions.graceReserveMilliseconds;
		while (this.clock.now() < lastAt && (this.clock.now() - startedAt < sidecarOptions.leaveMilliseconds || this.isBusy())) {
			await delay(sidecarOptions.drainPollMilliseconds);
			if (this.clock.now() - startedAt >= sidecarOptions.leaveMilliseconds) {
				this.entry.closeIdle();
			}
		}

		this.log.write('stop', {activeRequests: this.flows.activeCount, runningHandOvers: this.runningHandOvers});
		this.log.flush();
		this.running.abort();
		this.entry.close();
		this.links.close();
		for (const server of this.servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	logFatalError(error: Error): void {
		this.log.write('fatal-error', {message: error.message, stack: error.stack});
		this.log.flush();
	}

	logReload(fields: Record<string, string>): void {
		this.log.write('reload', fields);
	}

	dump(): unknown {
		return {
			records: this.records.dump(), placement: this.placement.dump(), links: this.links.dump(), admission: this.admission.dump(), load: this.runner.load,
		};
	}

	/** What operators may fetch: metrics as text, and the state of all parts as JSON. */
	private async describe(path: string): Promise<{status: number; body: string} | undefined> {
		if (path === this.settings.metricsPath) {
			return {status: 200, body: await this.metrics.registry.metrics()};
		}

		return path === statePath ? {status: 200, body: JSON.stringify(redact(this.dump()))} : undefined;
	}

	private isBusy(): boolean {
		return this.flows.activeCount > 0 || this.runningHandOvers > 0;
	}

	private isReady(): boolean {
		return !this.leaving && this.records.policy !== undefined && this.instanceByHost.size > 0;
	}

	private runForPeer(request: ForwardedRequest, ageMilliseconds: number, answer: (outcome: RunOutcome) => void): () => void {
		if (this.leaving) {
			answer(neverSent('leaving'));
			return doNothing;
		}

		const now = this.clock.now();
		this.runningHandOvers += 1;
		const cancel = this.runner.run({
			instance: request.instance, route: request.route, attempt: request.attempt, callerService: request.callerService, rank: request.rank,
			deadlineAt: now + request.remainingMilliseconds - ageMilliseconds, latestStartAt: now + request.startTimeoutMilliseconds - ageMilliseconds,
			method: request.method, path: request.path, headers: request.headers, body: request.body,
		}, outcome => {
			this.runningHandOvers -= 1;
			if (outcome.result !== RunResult.answered) {
				this.log.write('hand-over', {
					id: request.attempt, instance: request.instance, rank: request.rank, outcome: outcome.result, reason: outcome.reason,
					ageMilliseconds: Math.round(ageMilliseconds), remainingMilliseconds: Math.round(request.remainingMilliseconds),
					...this.runner.queue.load, ...this.departureFields(request.instance),
				});
			}

			answer(outcome);
		});
		return () => {
			this.runningHandOvers -= 1;
			cancel();
		};
	}

	/** What this node knows of an instance's leaving, for the log. */
	private departureFields(instance: string): LogFields {
		const departure = this.records.departures.get(instance);
		return departure === undefined
			? {}
			: {departureCause: departure.cause, departureRevision: departure.revision, knownForMilliseconds: Math.round(this.clock.now() - departure.learnedAt)};
	}

	private noteLoad(peer: string, load: LoadReport): void {
		const name = this.instanceByHost.get(peer.slice(0, peer.lastIndexOf(':')));
		if (name !== undefined) {
			this.placement.report(name, load);
		}
	}

	private noteChange(change: RecordChange): void {
		this.log.write('belief', change);
		const instances = this.records.instances();
		this.instanceByHost = new Map(instances.map(instance => [instance.address.host, instance.name]));
		this.placement.retain(new Set(instances.map(instance => instance.name)));
		const own = instances.find(instance => this.flows.isLocal(instance));
		if (own !== undefined) {
			this.runner.queue.setSlots(own.slots);
		}

		this.countNodes();
	}

	private countNodes(): void {
		const count = Math.max(1, this.instanceByHost.size);
		const now = this.clock.now();
		if (count >= this.nodeCount || now - this.nodeCountAt > sidecarOptions.nodeCountMemoryMilliseconds) {
			this.nodeCount = count;
			this.nodeCountAt = now;
		}
	}

	private keepHouse(): void {
		this.clock.after(sidecarOptions.housekeepingMilliseconds, () => {
			if (this.running.signal.aborted) {
				return;
			}

			this.records.expireLapsed();
			this.countNodes();
			// Later changes show in the revisions of pings; without any policy there is nothing to compare.
			if (this.records.policy === undefined) {
				this.links.requestRecords();
			}

			const {targetAddress, peerAddress} = this.settings;
			for (const {address} of this.records.instances()) {
				if (address.host !== targetAddress.host) {
					this.links.ensureLink({host: address.host, port: peerAddress.port});
				}
			}

			this.keepHouse();
		});
	}

	private updateAdmission(): void {
		this.clock.after(sidecarOptions.admissionMilliseconds, () => {
			if (this.running.signal.aborted) {
				return;
			}

			this.admission.update(this.clock.now(), this.serviceUses());
			this.updateAdmission();
		});
	}

	/** Load of each service over the instances whose reports are fresh. */
	private serviceUses(): Map<string, ServiceLoad> {
		const uses = new Map<string, ServiceLoad>();
		for (const instance of this.records.instances()) {
			const load = this.loadOf(instance);
			if (load === undefined || instance.state !== 'ready') {
				continue;
			}

			const use = uses.get(instance.service) ?? {active: 0, waiting: 0, limit: 0};
			use.active += load.active;
			use.waiting += load.waiting;
			use.limit += load.limit;
			uses.set(instance.service, use);
		}

		return uses;
	}

	/** The newest load of an instance. Behind a cut it has no room for this node, whatever its last report says. */
	private loadOf(instance: TargetInstance): LoadReport | undefined {
		if (this.flows.isLocal(instance)) {
			return this.runner.load;
		}

		return this.flows.isReachable(instance) ? this.placement.freshLoadOf(instance.name) : undefined;
	}

	private observeGauges(): void {
		const {queue} = this.runner;
		this.metrics.registerGauge('hemlockthread_queue_waiting_requests', 'Requests that wait for the target', () => queue.load.waiting);
		this.metrics.registerGauge('hemlockthread_target_active_requests', 'Requests at the target', () => queue.load.active);
		this.metrics.registerGauge('hemlockthread_target_limit_requests', 'Requests that may be at the target at once', () => queue.load.limit);
		this.metrics.registerGauge('hemlockthread_policy_version', 'Version of the policy in force', () => this.records.revisions.policyVersion);
		this.metrics.registerGauge('hemlockthread_policy_age_seconds', 'Time since the policy in force arrived', () => this.records.policyAgeMilliseconds / 1000);
		this.metrics.registerGauge('hemlockthread_target_connections', 'Connections to the target', () => this.runner.connections.openCount);
	}

	private async serve(
		address: Address,
		answer: (path: string) => {status: number; body: string} | undefined | Promise<{status: number; body: string} | undefined>,
	): Promise<void> {
		const respond = async (url: string, response: ServerResponse) => {
			const {status, body} = await answer(url.split('?', 1)[0]!) ?? {status: 404, body: ''};
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
