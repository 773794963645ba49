/**
 * One incarnation of a node: the managers that the product runs, joined to fakes at their interfaces.
 */
import {IdentityAuthority, ProcessClock, type IdentityKey} from '@hemlockthread/identity';
import type {FleetInstance} from '@hemlockthread/membership';
import {
	CallExecutor, CallForwarder, CallRegistry, DownstreamCalls, NodePeerHandlers, RootCalls, type Counter, type PeerDirectory, type PolicySource,
	type TargetChooser, type TargetSender,
} from '@hemlockthread/node';
import {OperationTable, operationTableOptions} from '@hemlockthread/operations';
import type {Candidate, ChoiceRequest} from '@hemlockthread/routing';
import {FakeAdmission, type AdmissionHabits} from './fake-admission.js';
import type {NetworkEnd} from './fake-network.js';
import type {Chance, SimulatedProcess} from './virtual-time.js';

/** @public */
export const identityKeys: readonly IdentityKey[] = [{id: 'fuzz', secret: 'a secret for the fuzz worlds, 32 characters or more'}];

/** Small limits, so that they are reached. @public */
export const tableOptions = {...operationTableOptions, maximumEntries: 8, maximumResponseBytes: 2000};
const silentCounter: Counter = {
	count() {
		// Outcomes are checked by the oracle, not by counters.
	},
};
const silentLogs = {
	info() {
		// Nothing reads the logs of a simulated node.
	},
};

/** @public */
export type NodeParts = {
	instance: FleetInstance;
	fleet: readonly FleetInstance[];
	incarnation: string;
	process: SimulatedProcess;
	chance: Chance;
	policy: PolicySource;
	admission: AdmissionHabits;
	target: TargetSender;
	/** Wall clock at the start of the process; its later steps must not matter. */
	wallNow(): number;
	directoryOf(end: NetworkEnd): PeerDirectory;
};

/** @public */
export class SimulatedNode implements NetworkEnd {
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
	private settleEnd!: () => void;

	constructor(private readonly parts: NodeParts) {
		const {instance, process, policy, chance} = parts;
		const {timing} = process;
		const leaving = new AbortController();
		this.name = instance.name;
		this.service = instance.service;
		this.failureDomain = instance.failureDomain;
		this.incarnation = parts.incarnation;
		this.process = process;
		this.ended = new Promise(resolve => {
			this.settleEnd = resolve;
		});
		const self = {
			instance: instance.name, service: instance.service, incarnation: parts.incarnation, leaving: leaving.signal, isListedAsLeaving: false,
			leave() {
				leaving.abort();
			},
		};
		this.clock = new ProcessClock(parts.wallNow, () => process.now());
		this.operations = new OperationTable(self, this.clock, tableOptions);
		const registry = new CallRegistry();
		const executor = new CallExecutor(self, policy, new FakeAdmission(process, chance, parts.admission), this.operations, registry, this.authority, parts.target, silentCounter, timing);
		this.handlers = new NodePeerHandlers(unused, unused, this.authority, silentLogs, timing);
		this.handlers.executor = executor;
		const forwarder = new CallForwarder(self, policy, this.lookup(), this.chooser(), parts.directoryOf(this), executor, this.authority, this.clock, silentCounter, timing);
		this.roots = new RootCalls(policy, forwarder, this.authority, timing);
		this.downstream = new DownstreamCalls(policy, forwarder, registry, silentCounter, timing);
	}

	isLeaving(): boolean {
		return false;
	}

	end(): void {
		this.process.end();
		this.settleEnd();
	}

	private lookup() {
		const {fleet} = this.parts;
		return {
			instance: (name: string) => fleet.find(instance => instance.name === name),
			hasService: (service: string) => fleet.some(instance => instance.service === service),
		};
	}

	private chooser(): TargetChooser {
		const {fleet, chance} = this.parts;
		return {
			choose({service, exclude}: ChoiceRequest) {
				const candidates = fleet.filter(instance => instance.service === service && !exclude.has(instance.name));
				return candidates.length === 0 ? 'no-target' : candidateOf(chance.pick(candidates));
			},
			begin: instance => candidateOf(instance),
		};
	}
}

const unused = {
	receive() {
		// Records do not spread in these worlds.
	},
	noteJoined() {
		// The fleet does not change in these worlds.
	},
	noteLeaving() {
		// The fleet does not change in these worlds.
	},
	noteConnected() {
		// The fleet does not change in these worlds.
	},
	noteDisconnected() {
		// The fleet does not change in these worlds.
	},
	peerReady() {
		// No records are spread in these worlds.
	},
	peerClosed() {
		// No records are spread in these worlds.
	},
};

function candidateOf(instance: FleetInstance): Candidate {
	return {
		instance,
		finish() {
			// Choices are random, so nothing is learnt from outcomes.
		},
	};
}
