/**
 * Composition root of a node: creates its components, starts the listeners and stops everything in order.
 */
import {setTimeout as delay} from 'node:timers/promises';
import 'reflect-metadata';
import {AdmissionController, admissionOptions} from '@hemlockthread/admission';
import {
	PlatformClient, RecordDistributor, RecordStore, distributionOptions,
} from '@hemlockthread/distribution';
import {IdentityAuthority, ProcessClock} from '@hemlockthread/identity';
import {FleetView, parseFleetList} from '@hemlockthread/membership';
import {OperationTable} from '@hemlockthread/operations';
import {TargetSelector} from '@hemlockthread/routing';
import type {NodeSettings} from '@hemlockthread/settings';
import {Logs, Metrics, StateDumpRegistry} from '@hemlockthread/telemetry';
import {PeerServer, type LocalPeer} from '@hemlockthread/wire';
import {container as rootContainer, type DependencyContainer, type InjectionToken} from 'tsyringe';
import {CallExplainer} from './call-explainer.js';
import {CallExecutor} from './call-executor.js';
import {CallForwarder} from './call-forwarder.js';
import {CallRegistry} from './call-registry.js';
import {CallerListener} from './caller-listener.js';
import {processTiming} from './dependencies.js';
import {DownstreamCalls} from './downstream-calls.js';
import {FatalErrors} from './fatal-errors.js';
import {startListener} from './listen-error.js';
import {NodeIdentity} from './node-identity.js';
import {OperatorListener} from './operator-listener.js';
import {PauseDetector} from './pause-detector.js';
import {NodePeerHandlers} from './peer-handlers.js';
import {PeerPool} from './peer-pool.js';
import {PolicyInForce} from './policy-in-force.js';
import {RootCalls} from './root-calls.js';
import {TargetClient} from './target-client.js';
import {TargetListener} from './target-listener.js';

const drainPollMilliseconds = 20;
/** Delay before connections close, so that responses that are already written reach the peers. */
const flushMilliseconds = 50;

/** @public */
export type RunningNode = {
	/** Resolves when the node has stopped. */
	stopped: Promise<void>;
	/** Leaves the fleet, drains the calls in progress and closes all listeners and connections. */
	stop(): Promise<void>;
};

/**
 * Starts a node and waits until its listeners accept connections.
 *
 * @public
 */
export async function startNode(settings: NodeSettings): Promise<RunningNode> {
	const container = createContainer(settings);
	const self = container.resolve(NodeIdentity);
	const logs = container.resolve(Logs);
	const running = new AbortController();

	const fatalErrors = container.resolve(FatalErrors);
	fatalErrors.install();

	const {peers, target, operators, callers} = settings.listen;
	await startListener('peers', peers, async () => container.resolve(PeerServer).listen(peers.host, peers.port));
	await startListener('target', target, async () => container.resolve(TargetListener).listen(target));
	await startListener('operators', operators, async () => container.resolve(OperatorListener).listen(operators));
	await startListener('callers', callers, async () => container.resolve(CallerListener).listen(callers));
	void container.resolve(RecordDistributor).run(running.signal, async address => container.resolve(PeerPool).connect(address, 'control'));
	self.leaving.addEventListener('abort', () => {
		logs.info('leaving the fleet');
		for (const connection of [...container.resolve(PeerServer).open, ...container.resolve(PeerPool).open]) {
			connection.sendHeartbeat(false);
		}
	}, {once: true});
	logs.info('node started', {incarnation: self.incarnation});

	let finish!: () => void;
	const stopped = new Promise<void>(resolve => {
		finish = resolve;
	});
	return {
		stopped,
		async stop() {
			self.leave();
			await drain(container, settings.shutdownGraceMilliseconds);
			running.abort();
			await closeAll(container);
			logs.info('node stopped');
			fatalErrors.remove();
			finish();
		},
	};
}

function createContainer(settings: NodeSettings): DependencyContainer {
	const container = rootContainer.createChildContainer();
	const register = <Value>(token: InjectionToken<Value>, value: Value): Value => {
		container.registerInstance(token, value);
		return value;
	};

	const self = register(NodeIdentity, new NodeIdentity(settings));
	const logs = register(Logs, new Logs('hemlockthread-node', settings.logLevel, {instance: settings.instance}));
	const metrics = register(Metrics, new Metrics({...settings.statsd, tags: {instance: settings.instance, service: settings.service}}));
	register(FatalErrors, new FatalErrors(logs, metrics));
	const clock = new ProcessClock();
	const authority = new IdentityAuthority(settings.identityKeys);
	const store = register(RecordStore, new RecordStore({deferredKeys: distributionOptions.deferredKeys}));
	const fleet = register(FleetView, new FleetView(settings));
	const policy = register(PolicyInForce, new PolicyInForce(store, logs, metrics));
	followFleetRecord(store, fleet, self, logs, metrics);
	const distributor = register(RecordDistributor, new RecordDistributor({
		self, store, fleet, platform: new PlatformClient(settings.platformUrl), metrics,
		options: {startSpreadMilliseconds: settings.startSpreadMilliseconds},
		bootstrapPeers: settings.bootstrapPeers.map(({host, port}) => `${host}:${port}`),
	}));
	const selector = register(TargetSelector, new TargetSelector(settings, fleet, {controls: settings.controls, metrics, logs}));
	const admission = register(AdmissionController, new AdmissionController({
		...admissionOptions, slots: settings.targetSlots, controls: settings.controls, metrics,
		coldStartRampMilliseconds: () => policy.current?.content.coldStartRampMilliseconds ?? 0,
	}));
	const registry = register(CallRegistry, new CallRegistry());
	const operations = register(OperationTable, new OperationTable(self, clock));
	const target = register(TargetClient, new TargetClient(settings.targetUrl, settings.targetSlots));
	const handlers = new NodePeerHandlers(distributor, fleet, authority, logs);
	const local: LocalPeer = {
		instance: self.instance, incarnation: self.incarnation, service: self.service, failureDomain: self.failureDomain,
		isLeaving: () => self.leaving.aborted, revisions: () => store.revisions(), platformAge: () => distributor.platformAge(),
	};
	register(PeerServer, new PeerServer(local, handlers, metrics));
	const pool = register(PeerPool, new PeerPool(local, handlers, metrics));
	const executor = new CallExecutor(self, policy, admission, operations, registry, authority, target, metrics, processTiming, settings.controls);
	handlers.executor = executor;
	const forwarder = new CallForwarder(self, policy, fleet, selector, pool, executor, authority, clock, metrics, processTiming, settings.controls);
	const pauses = register(PauseDetector, new PauseDetector(milliseconds => {
		distributor.recordPause(milliseconds);
		metrics.count('process.paused');
		selector.recordPause();
		logs.warn('process was paused', {milliseconds: Math.round(milliseconds)});
	}));
	register(CallerListener, new CallerListener(self, policy, forwarder, new RootCalls(policy, forwarder, authority), pauses, metrics));
	register(TargetListener, new TargetListener(self, new DownstreamCalls(policy, forwarder, registry, metrics)));

	metrics.observe('admission.active', () => admission.active);
	metrics.observe('admission.level', () => admission.level);
	metrics.observe('calls.active', () => registry.size);
	metrics.observe('operations.entries', () => operations.size);
	metrics.observe('policy.revision', () => policy.revision);

	const dump = register(StateDumpRegistry, new StateDumpRegistry());
	dump.register('node', () => ({
		instance: self.instance, incarnation: self.incarnation, service: self.service, failureDomain: self.failureDomain,
		leaving: self.leaving.aborted,
	}));
	dump.register('policy', () => policy.dump());
	dump.register('records', () => store.dump());
	dump.register('distribution', () => distributor.dump());
	dump.register('fleet', () => fleet.dump());
	dump.register('admission', () => admission.dump());
	dump.register('routing', () => selector.dump());
	dump.register('operations', () => operations.dump());
	dump.register('calls', () => registry.dump());
	dump.register('peers', () => pool.dump());
	dump.register('counters', () => metrics.dump());
	register(OperatorListener, new OperatorListener(dump, policy, new CallExplainer(self, policy, fleet, selector, admission)));
	return container;
}

function followFleetRecord(store: RecordStore, fleet: FleetView, self: NodeIdentity, logs: Logs, metrics: Metrics): void {
	store.onChange(record => {
		if (record.key !== 'fleet') {
			return;
		}

		try {
			fleet.replace(parseFleetList(record.value));
			metrics.count('fleet.accepted');
			updateListedAsLeaving(self, fleet.instance(self.instance)?.state === 'leaving', logs);
		} catch (error) {
			metrics.count('fleet.refused');
			logs.warn('fleet list refused', {revision: record.revision, error: String(error)});
		}
	});
}

function updateListedAsLeaving(self: NodeIdentity, isLeaving: boolean, logs: Logs): void {
	if (self.isListedAsLeaving !== isLeaving) {
		self.isListedAsLeaving = isLeaving;
		logs.info('fleet list changed whether this instance leaves', {leaving: isLeaving});
	}
}

/** Waits until no call is in progress or the grace period has passed. */
async function drain(container: DependencyContainer, graceMilliseconds: number): Promise<void> {
	const registry = container.resolve(CallRegistry);
	const endAt = Date.now() + graceMilliseconds;
	while (registry.size > 0 && Date.now() < endAt) {
		await delay(drainPollMilliseconds);
	}

	await container.resolve(CallerListener).close(Math.max(0, endAt - Date.now()));
	await delay(flushMilliseconds);
}

async function closeAll(container: DependencyContainer): Promise<void> {
	await container.resolve(TargetListener).close(0);
	await container.resolve(OperatorListener).close();
	container.resolve(PauseDetector).stop();
	container.resolve(PeerPool).close();
	await container.resolve(PeerServer).close();
	container.resolve(TargetClient).close();
	await container.resolve(Metrics).close();
}
