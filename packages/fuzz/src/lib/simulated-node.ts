/**
 * One incarnation of a simulated node: the production components, connected to fakes of admission, network and target.
 */
import {IdentityAuthority, ProcessClock, type IdentityKey} from '@hemlockthread/identity';
import type {FleetInstance} from '@hemlockthread/membership';
import {
	CallExecutor, CallForwarder, CallRegistry, DownstreamCalls, NodePeerHandlers, RootCalls, type MetricsApi, type PeerPoolApi, type PolicySource,
	type TargetSelectorApi, type TargetClientApi,
} from '@hemlockthread/node';
import {OperationTable, operationTableOptions} from '@hemlockthread/operations';
import type {Selection, ChoiceRequest} from '@hemlockthread/routing';
import {FakeAdmission, type AdmissionProbabilities} from './fake-admission.js';
import type {NetworkEndpoint} from './fake-network.js';
import type {RandomSource, SimulatedProcess} from './virtual-time.js';

/** @public */
export const identityKeys: readonly IdentityKey[] = [{id: 'fuzz', secret: 'a secret for the fuzz worlds, 32 characters or more'}];

/** Small limits, so that worlds reach them. @public */
export const tableOptions = {...operationTableOptions, maximumEntries: 8, maximumResponseBytes: 2000};
const noopCounter: MetricsApi = {
	count() {
		// The oracle checks outcomes; counters are not needed.
	},
};
const noopLogger = {
	info() {
		// The logs of a simulated node are not read.
	},
};

/** @public */
export type SimulatedNodeDependencies = {
	instance: FleetInstance;
	fleet: readonly FleetInstance[];
	incarnation: string;
	process: SimulatedProcess;
	random: RandomSource;
	policy: PolicySource;
	admission: AdmissionProbabilities;
	target: TargetClientApi;
	/** Reads the wall clock; steps after the start of the process must not affect the node. */
	wallNow(): number;
	directoryOf(endpoint: NetworkEndpoint): PeerPoolApi;
};

/** @public */
export class SimulatedNode implements NetworkEndpoint {
	readonly name: string;
	readonly service: string;
	readonly failureDomain: string;
	readonly incarnation: string;
	readonly process: SimulatedProcess;
	readonly handlers: NodePeerHandlers;
	readonly roots: RootCalls;
	readonly downstream: DownstreamCalls;
	readonly operations: OperationTable;
	readonly authority = new IdentityAuthority(identityKeys);
	readonly clock: ProcessClock;
	/** Settles when this incarnation ends. */
	readonly ended: Promise<void>;
	private resolveEnded!: () => void;

	constructor(private readonly dependencies: SimulatedNodeDependencies) {
		const {instance, process, policy, random} = dependencies;
		const {timing} = process;
		const leaving = new AbortController();
		this.name = instance.name;
		this.service = instance.service;
		this.failureDomain = instance.failureDomain;
		this.incarnation = dependencies.incarnation;
		this.process = process;
		this.ended = new Promise(resolve => {
			this.resolveEnded = resolve;
		});
		const self = {
			instance: instance.name, service: instance.service, incarnation: dependencies.incarnation, leaving: leaving.signal, isListedAsLeaving: false,
			leave() {
				leaving.abort();
			},
		};
		this.clock = new ProcessClock(dependencies.wallNow, () => process.now());
		this.operations = new OperationTable(self, this.clock, tableOptions);
		const registry = new CallRegistry();
		const executor = new CallExecutor(
			self,
			policy,
			new FakeAdmission(process, random, dependencies.admission),
			this.operations,
			registry,
			this.authority,
			dependencies.target,
			noopCounter,
			timing,
		);
		this.handlers = new NodePeerHandlers(unusedListeners, unusedListeners, this.authority, noopLogger, timing);
		this.handlers.executor = executor;
		const forwarder = new CallForwarder(self, policy, this.lookup(), this.chooser(), dependencies.directoryOf(this), executor, this.authority, this.clock, noopCounter, timing);
		this.roots = new RootCalls(policy, forwarder, this.authority, timing);
		this.downstream = new DownstreamCalls(policy, forwarder, registry, noopCounter, timing);
	}

	isLeaving(): boolean {
		return false;
	}

	end(): void {
		this.process.end();
		this.resolveEnded();
	}

	private lookup() {
		const {fleet} = this.dependencies;
		return {
			instance: (name: string) => fleet.find(instance => instance.name === name),
			hasService: (service: string) => fleet.some(instance => instance.service === service),
		};
	}

	private chooser(): TargetSelectorApi {
		const {fleet, random} = this.dependencies;
		return {
			choose({service, exclude}: ChoiceRequest) {
				const candidates = fleet.filter(instance => instance.service === service && !exclude.has(instance.name));
				return candidates.length === 0 ? 'no-target' : selectionOf(random.pick(candidates));
			},
			begin: instance => selectionOf(instance),
		};
	}
}

const unusedListeners = {
	receive() {
		// Simulated nodes do not distribute records.
	},
	recordHello() {
		// The fleet of a world does not change.
	},
	recordLeaving() {
		// The fleet of a world does not change.
	},
	recordConnected() {
		// The fleet of a world does not change.
	},
	recordDisconnected() {
		// The fleet of a world does not change.
	},
	peerReady() {
		// Simulated nodes do not distribute records.
	},
	peerClosed() {
		// Simulated nodes do not distribute records.
	},
};

function selectionOf(instance: FleetInstance): Selection {
	return {
		instance,
		finish() {
			// Targets are chosen randomly, so outcomes are not recorded.
		},
	};
}
