/**
 * A simulated fleet with its callers, and the faults that commands can inject.
 */
import {Buffer} from 'node:buffer';
import type {FleetInstance} from '@hemlockthread/membership';
import type {CallResult, DownstreamCall} from '@hemlockthread/node';
import {PolicyRecord} from '@hemlockthread/policy';
import {defaultAdmissionProbabilities, type AdmissionProbabilities} from './fake-admission.js';
import {FakeNetwork, networkConditions} from './fake-network.js';
import {
	FakeTarget, attemptHeader, defaultTargetProbabilities, type DownstreamCallPlan, type TargetProbabilities,
} from './fake-target.js';
import {Oracle, type Attempt} from './oracle.js';
import {SimulatedNode, tableOptions} from './simulated-node.js';
import {RandomSource, SimulatedProcess, VirtualTime} from './virtual-time.js';

/** @public */
export type RootCallPlan = {service: string; kind: string; irreversible: boolean; retries: number};

const identityLifetimeMilliseconds = 20_000;
const lifetimeMilliseconds = 3000;
const worldStart = 1_700_000_000_000;
const largestSkewMilliseconds = 3000;
const largestClockOffset = 1e6;
const longestFillMilliseconds = 3000;

const kindOf = (name: string, irreversible: boolean, retries: number) => ({
	name, worth: 1, protected: irreversible, irreversible, retries, lifetimeMilliseconds,
});

const policy = new PolicyRecord({
	schemaVersion: 1, identityLifetimeMilliseconds, coldStartRampMilliseconds: 0,
	kinds: [
		kindOf('booking', true, 3),
		kindOf('withdrawal', true, 1),
		kindOf('view', false, 2),
		kindOf('mixed', false, 2),
		kindOf('record', true, 0),
		kindOf('note', true, 0),
		kindOf('check', false, 0),
	],
});

const downstreamCalls: Readonly<Record<string, readonly DownstreamCallPlan[]>> = {
	booking: [{service: 'middle', kind: 'record', irreversible: true}, {service: 'middle', kind: 'check', irreversible: false}],
	withdrawal: [{service: 'middle', kind: 'record', irreversible: true}],
	view: [{service: 'middle', kind: 'check', irreversible: false}, {service: 'last', kind: 'check', irreversible: false}],
	mixed: [{service: 'last', kind: 'note', irreversible: true}],
	// A call to the same service runs at the local instance for half of the random choices.
	record: [{service: 'middle', kind: 'note', irreversible: true}, {service: 'last', kind: 'check', irreversible: false}],
};

/** Calls that callers make. @public */
export const rootPlans: readonly RootCallPlan[] = [
	{
		service: 'first', kind: 'booking', irreversible: true, retries: 3,
	},
	{
		service: 'first', kind: 'withdrawal', irreversible: true, retries: 1,
	},
	{
		service: 'first', kind: 'view', irreversible: false, retries: 2,
	},
	{
		service: 'first', kind: 'mixed', irreversible: false, retries: 2,
	},
	{
		service: 'last', kind: 'note', irreversible: true, retries: 0,
	},
];

const services = ['first', 'middle', 'last'] as const;

const fleet: readonly FleetInstance[] = services.flatMap(service => ['a', 'b'].map(domain => ({
	name: `${service}-${domain}`, service, failureDomain: domain, region: 'r', peerAddress: `${service}-${domain}`, callerAddress: '',
	operatorAddress: '', slots: 8, state: 'live' as const,
})));

/** @public */
export type WorldOptions = {
	seed: number;
	targetProbabilities?: Partial<TargetProbabilities>;
	admissionProbabilities?: Partial<AdmissionProbabilities>;
	/** Restarts nodes with the same incarnation, to show that a new one is needed. */
	sameIncarnation?: boolean;
};

type Token = {text: string; operation: string; generation: number};

/** State that a caller keeps for one operation. */
type CallerOperation = {
	plan: RootCallPlan;
	path: string;
	/** Tokens of the current identity, in order of generation. */
	tokens: Token[];
	/** Tokens of identities that are closed. */
	retiredTokens: Token[];
	/** Cancels the calls in progress. */
	callsInProgress: Set<AbortController>;
	/** Entry node that the caller calls as soon as it has an identity; undefined if it waits for a command. */
	eagerEntry: number | undefined;
	/** True while a retry under a new identity is not allowed, because a call with the current one was sent. */
	sentWithIdentity: boolean;
};

/** How a caller retries a call. @public */
export type RetryVariant = 'newest' | 'oldest' | 'other body' | 'altered' | 'forged' | 'without' | 'as another kind';

/** @public */
export const retryVariants: readonly RetryVariant[] = ['newest', 'newest', 'newest', 'oldest', 'other body', 'altered', 'forged', 'without', 'as another kind'];

/** @public */
export class World {
	readonly time = new VirtualTime();
	readonly oracle = new Oracle();
	readonly random: RandomSource;
	private readonly network: FakeNetwork;
	private readonly nodes = new Map<string, SimulatedNode>();
	private readonly targets = new Map<string, FakeTarget>();
	private readonly clockSteps = new Map<string, number>();
	private readonly operations: CallerOperation[] = [];
	private nextAttempt = 0;
	private nextIncarnation = 0;

	constructor(private readonly options: WorldOptions) {
		this.random = new RandomSource(options.seed);
		this.network = new FakeNetwork(this.random);
		for (const instance of fleet) {
			this.startNode(instance, undefined);
		}
	}

	/** Advances the time and throws the first violation. */
	async advance(milliseconds: number): Promise<void> {
		await this.time.advance(milliseconds);
		const [violation] = this.oracle.violations;
		if (violation !== undefined) {
			throw violation;
		}
	}

	setNetworkConditions(index: number): void {
		this.network.conditions = networkConditions[index % networkConditions.length]!;
	}

	partition(first: number, second: number): void {
		this.network.partition(nameOf(first), nameOf(second));
	}

	heal(): void {
		this.network.heal();
	}

	pause(node: number): void {
		this.nodes.get(nameOf(node))!.process.pause();
	}

	resume(node: number): void {
		this.nodes.get(nameOf(node))!.process.resume();
	}

	resumeAll(): void {
		for (const node of this.nodes.values()) {
			node.process.resume();
		}
	}

	/** Ends a node process and starts it again with an empty operation table and a different clock skew. */
	restart(node: number, keepTarget: boolean): void {
		const name = nameOf(node);
		const old = this.nodes.get(name)!;
		const target = this.targets.get(name)!;
		this.network.detach(name);
		old.end();
		if (keepTarget) {
			target.outliveNode();
		} else {
			target.end();
		}

		this.startNode(fleet.find(instance => instance.name === name)!, this.options.sameIncarnation === true ? old.incarnation : undefined);
	}

	stepClock(node: number, milliseconds: number): void {
		this.clockSteps.set(nameOf(node), milliseconds);
	}

	/** Fills the operation tables of both instances of a service for up to 3 seconds. */
	fillTables(service: number): void {
		const filled = [...this.nodes.values()].filter(node => node.service === services[service % services.length]);
		for (const node of filled) {
			this.fillTable(node);
		}
	}

	/** Starts a new operation of a caller; an irreversible call is sent without identity, and its response offers one. */
	begin(plan: RootCallPlan, entry: number, eager: boolean): void {
		const operation: CallerOperation = {
			plan, path: `o${this.operations.length}`, tokens: [], retiredTokens: [], callsInProgress: new Set(), sentWithIdentity: false, eagerEntry: eager ? entry : undefined,
		};
		this.operations.push(operation);
		this.send(operation, entry, undefined, operation.path);
	}

	retry(pick: number, entry: number, variant: RetryVariant): void {
		const operation = this.operations[this.operations.length - 1 - (pick % this.operations.length)];
		if (!operation?.plan.irreversible) {
			return;
		}

		const newest = operation.tokens.at(-1)?.text;
		if (newest === undefined || (variant === 'without' && !operation.sentWithIdentity)) {
			this.send(operation, entry, undefined, operation.path);
			return;
		}

		const senders: Record<RetryVariant, () => void> = {
			newest: () => {
				this.send(operation, entry, newest, operation.path);
			},
			oldest: () => {
				this.send(operation, entry, [...operation.retiredTokens, ...operation.tokens][0]?.text, operation.path);
			},
			'other body': () => {
				this.send(operation, entry, newest, `${operation.path}~other`);
			},
			altered: () => {
				this.send(operation, entry, alter(newest), operation.path);
			},
			forged: () => {
				this.send(operation, entry, 'eyJhbGciOiJub25lIn0.e30.', operation.path);
			},
			without: () => {
				// A caller that sent an identity must not request another one before it receives did-not-run, so it sends the newest.
				this.send(operation, entry, newest, operation.path);
			},
			'as another kind': () => {
				const plan = rootPlans.find(other => other.irreversible && other.kind !== operation.plan.kind && other.service === operation.plan.service);
				this.send(operation, entry, newest, operation.path, plan ?? operation.plan);
			},
		};
		senders[variant]();
	}

	cancel(pick: number): void {
		const callsInProgress = this.operations.flatMap(operation => [...operation.callsInProgress]);
		callsInProgress[pick % Math.max(1, callsInProgress.length)]?.abort();
	}

	/** Heals all faults and lets all calls in progress end. */
	async finish(): Promise<void> {
		this.setNetworkConditions(0);
		this.heal();
		this.resumeAll();
		await this.advance(identityLifetimeMilliseconds);
	}

	private fillTable({
		operations, authority, clock, name, incarnation, service,
	}: SimulatedNode): void {
		for (let index = 0; index < tableOptions.maximumEntries; index += 1) {
			const check = authority.verify(authority.mint({
				service, kind: 'note', executor: name, executorAddress: name, incarnation, failureDomain: '',
				lifetimeMilliseconds: this.random.between(100, longestFillMilliseconds),
			}, clock.now()));
			const begun = check.valid ? operations.begin({identity: check.identity, fingerprint: 'fill', retries: 0}) : undefined;
			if (begun?.action === 'attempt') {
				begun.operation.start(0);
				begun.operation.markOutcomeUnknown();
			}
		}
	}

	private startNode(instance: FleetInstance, incarnation: string | undefined): void {
		const process = new SimulatedProcess(this.time, this.random, this.random.between(0, largestClockOffset));
		const skew = this.random.between(-largestSkewMilliseconds / 2, largestSkewMilliseconds / 2);
		const target = new FakeTarget(`${instance.name}-${this.nextIncarnation}`, process, {
			time: this.time, random: this.random, oracle: this.oracle, probabilities: {...defaultTargetProbabilities, ...this.options.targetProbabilities}, downstreamCalls,
			downstream: async call => this.callDownstream(instance.name, call),
		});
		const node = new SimulatedNode({
			instance, fleet, incarnation: incarnation ?? `i${this.nextIncarnation}`, process, random: this.random, policy: {current: policy},
			admission: {...defaultAdmissionProbabilities, ...this.options.admissionProbabilities}, target,
			wallNow: () => worldStart + this.time.now + skew + (this.clockSteps.get(instance.name) ?? 0),
			directoryOf: endpoint => this.network.directoryOf(endpoint),
		});
		this.nextIncarnation += 1;
		this.nodes.set(instance.name, node);
		this.targets.set(instance.name, target);
		this.network.attach(node);
	}

	private async callDownstream(name: string, call: DownstreamCall): Promise<CallResult | undefined> {
		const node = this.nodes.get(name)!;
		const result = new Promise<CallResult>(resolve => {
			node.process.run(() => {
				void (async () => {
					resolve(await node.downstream.call(call));
				})();
			});
		});
		return Promise.race([result, node.ended.then(() => undefined)]);
	}

	private send(operation: CallerOperation, entry: number, token: string | undefined, path: string, plan = operation.plan): void {
		const node = this.nodes.get(nameOf(entry))!;
		const check = token === undefined ? undefined : node.authority.verify(token);
		const identity = check?.valid === true ? check.identity : undefined;
		const attempt: Attempt = {
			identifier: `a${this.nextAttempt++}`, path, callPath: path, irreversible: plan.irreversible, sentAt: this.time.now, attached: true, retries: plan.retries,
			...(identity === undefined ? {} : {identity: {operation: identity.operation, generation: identity.generation}}),
		};
		this.oracle.recordSent(attempt);
		operation.sentWithIdentity ||= token !== undefined;
		const controller = new AbortController();
		operation.callsInProgress.add(controller);
		node.process.run(() => {
			void (async () => {
				const result = await node.roots.call({
					service: plan.service, kind: plan.kind, idempotencyKey: token, signal: controller.signal, maximumPauseWaitMilliseconds: 0,
					remainingMilliseconds: Number.NaN, message: {
						method: 'POST', path: '', headers: {[attemptHeader]: attempt.identifier}, body: Buffer.from(path),
					},
				});
				operation.callsInProgress.delete(controller);
				if (node.process.alive && !controller.signal.aborted) {
					this.receive(operation, attempt, result, node);
				}
			})();
		});
	}

	private receive(operation: CallerOperation, attempt: Attempt, result: CallResult, node: SimulatedNode): void {
		const {nextIdentity} = result;
		const check = nextIdentity === undefined ? undefined : node.authority.verify(nextIdentity);
		const next = check?.valid === true ? check.identity : undefined;
		const sameOperation = next !== undefined && next.operation === attempt.identity?.operation;
		this.oracle.recordResponse(attempt, {
			verdict: result.verdict, body: Buffer.from(result.body).toString(), nextGeneration: sameOperation ? next.generation : undefined,
		}, this.time.now);
		const token = next === undefined ? undefined : {text: nextIdentity!, operation: next.operation, generation: next.generation};
		this.updateTokens(operation, attempt, result, token);
	}

	/** Keeps the newest token of the current identity, and accepts a new identity only if the caller has none or its identity is closed. */
	private updateTokens(operation: CallerOperation, attempt: Attempt, result: CallResult, token: Token | undefined): void {
		const newest = operation.tokens.at(-1);
		if (newest === undefined) {
			if (token !== undefined && attempt.identity === undefined) {
				operation.tokens.push(token);
				if (operation.eagerEntry !== undefined) {
					this.send(operation, operation.eagerEntry, token.text, operation.path);
				}
			}

			return;
		}

		if (attempt.identity?.operation !== newest.operation) {
			return;
		}

		if (token === undefined) {
			if (result.verdict === 'did-not-run') {
				operation.retiredTokens.push(...operation.tokens.splice(0));
				operation.sentWithIdentity = false;
			}
		} else if (token.generation > newest.generation) {
			operation.tokens.push(token);
		}
	}
}

function nameOf(index: number): string {
	return fleet[index % fleet.length]!.name;
}

/** Changes one character in the middle of the signed claims. */
function alter(token: string): string {
	const middle = Math.floor(token.length / 2);
	return token.slice(0, middle) + (token[middle] === 'A' ? 'B' : 'A') + token.slice(middle + 1);
}
