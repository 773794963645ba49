/**
 * A simulated fleet with its callers, and the things that can happen to it.
 */
import {Buffer} from 'node:buffer';
import type {FleetInstance} from '@hemlockthread/membership';
import type {CallResult, DownstreamCall} from '@hemlockthread/node';
import {PolicyRecord} from '@hemlockthread/policy';
import {admissionHabits, type AdmissionHabits} from './fake-admission.js';
import {FakeNetwork, weathers} from './fake-network.js';
import {
	FakeTarget, attemptHeader, targetHabits, type LegPlan, type TargetHabits,
} from './fake-target.js';
import {Oracle, type Attempt} from './oracle.js';
import {SimulatedNode, tableOptions} from './simulated-node.js';
import {Chance, SimulatedProcess, VirtualTime} from './virtual-time.js';

/** @public */
export type RootPlan = {service: string; kind: string; irreversible: boolean; retries: number};

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

const legs: Readonly<Record<string, readonly LegPlan[]>> = {
	booking: [{service: 'middle', kind: 'record', irreversible: true}, {service: 'middle', kind: 'check', irreversible: false}],
	withdrawal: [{service: 'middle', kind: 'record', irreversible: true}],
	view: [{service: 'middle', kind: 'check', irreversible: false}, {service: 'last', kind: 'check', irreversible: false}],
	mixed: [{service: 'last', kind: 'note', irreversible: true}],
	// Legs to the own service are executed locally by half of the choices.
	record: [{service: 'middle', kind: 'note', irreversible: true}, {service: 'last', kind: 'check', irreversible: false}],
};

/** The calls that callers make. @public */
export const rootPlans: readonly RootPlan[] = [
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
	habits?: Partial<TargetHabits>;
	admission?: Partial<AdmissionHabits>;
	/** A restarted node keeps its incarnation; shows that the incarnation is needed. */
	sameIncarnation?: boolean;
};

type Token = {text: string; operation: string; generation: number};

/** What a caller does about one request of its own. */
type Intent = {
	plan: RootPlan;
	path: string;
	/** Tokens of the one identity that the caller uses, newest generation last. */
	tokens: Token[];
	/** Tokens of an identity that was refused for good. */
	retired: Token[];
	/** Calls under way, which can be cancelled. */
	underWay: Set<AbortController>;
	/** The entry node that the caller uses as soon as it has an identity; undefined where it waits for a command. */
	eagerAt: number | undefined;
	/** True once the outcome may not be repeated under a new identity. */
	sentWithIdentity: boolean;
};

/** How a caller repeats a call. @public */
export type RetryHow = 'newest' | 'oldest' | 'other body' | 'altered' | 'forged' | 'without' | 'as another kind';

/** @public */
export const retryHows: readonly RetryHow[] = ['newest', 'newest', 'newest', 'oldest', 'other body', 'altered', 'forged', 'without', 'as another kind'];

/** @public */
export class World {
	readonly time = new VirtualTime();
	readonly oracle = new Oracle();
	readonly chance: Chance;
	private readonly network: FakeNetwork;
	private readonly nodes = new Map<string, SimulatedNode>();
	private readonly targets = new Map<string, FakeTarget>();
	private readonly wallSteps = new Map<string, number>();
	private readonly intents: Intent[] = [];
	private nextAttempt = 0;
	private nextIncarnation = 0;

	constructor(private readonly options: WorldOptions) {
		this.chance = new Chance(options.seed);
		this.network = new FakeNetwork(this.chance);
		for (const instance of fleet) {
			this.startNode(instance, undefined);
		}
	}

	/** Stops at the first broken promise. */
	async advance(milliseconds: number): Promise<void> {
		await this.time.advance(milliseconds);
		const [breach] = this.oracle.breaches;
		if (breach !== undefined) {
			throw breach;
		}
	}

	setWeather(index: number): void {
		this.network.weather = weathers[index % weathers.length]!;
	}

	cut(first: number, second: number): void {
		this.network.cut(nameOf(first), nameOf(second));
	}

	heal(): void {
		this.network.heal();
	}

	freeze(node: number): void {
		this.nodes.get(nameOf(node))!.process.freeze();
	}

	wake(node: number): void {
		this.nodes.get(nameOf(node))!.process.wake();
	}

	wakeAll(): void {
		for (const node of this.nodes.values()) {
			node.process.wake();
		}
	}

	/** The node process dies and starts again with an empty table and another clock skew. */
	restart(node: number, keepTarget: boolean): void {
		const name = nameOf(node);
		const old = this.nodes.get(name)!;
		const target = this.targets.get(name)!;
		this.network.leave(name);
		old.end();
		if (keepTarget) {
			target.outliveNode();
		} else {
			target.end();
		}

		this.startNode(fleet.find(instance => instance.name === name)!, this.options.sameIncarnation === true ? old.incarnation : undefined);
	}

	stepClock(node: number, milliseconds: number): void {
		this.wallSteps.set(nameOf(node), milliseconds);
	}

	/** Takes the free entries of both tables of a service for a few seconds. */
	fillTables(service: number): void {
		const filled = [...this.nodes.values()].filter(node => node.service === services[service % services.length]);
		for (const node of filled) {
			this.fillTable(node);
		}
	}

	/** A caller begins something new; an irreversible call without identity is answered with one. */
	begin(plan: RootPlan, entry: number, eager: boolean): void {
		const intent: Intent = {
			plan, path: `o${this.intents.length}`, tokens: [], retired: [], underWay: new Set(), sentWithIdentity: false, eagerAt: eager ? entry : undefined,
		};
		this.intents.push(intent);
		this.send(intent, entry, undefined, intent.path);
	}

	repeat(pick: number, entry: number, how: RetryHow): void {
		const intent = this.intents[this.intents.length - 1 - (pick % this.intents.length)];
		if (!intent?.plan.irreversible) {
			return;
		}

		const newest = intent.tokens.at(-1)?.text;
		if (newest === undefined || (how === 'without' && !intent.sentWithIdentity)) {
			this.send(intent, entry, undefined, intent.path);
			return;
		}

		const senders: Record<RetryHow, () => void> = {
			newest: () => {
				this.send(intent, entry, newest, intent.path);
			},
			oldest: () => {
				this.send(intent, entry, [...intent.retired, ...intent.tokens][0]?.text, intent.path);
			},
			'other body': () => {
				this.send(intent, entry, newest, `${intent.path}~other`);
			},
			altered: () => {
				this.send(intent, entry, alter(newest), intent.path);
			},
			forged: () => {
				this.send(intent, entry, 'eyJhbGciOiJub25lIn0.e30.', intent.path);
			},
			without: () => {
				// A caller that already sent an identity must not ask for another one before it is told did-not-run.
				this.send(intent, entry, newest, intent.path);
			},
			'as another kind': () => {
				const plan = rootPlans.find(other => other.irreversible && other.kind !== intent.plan.kind && other.service === intent.plan.service);
				this.send(intent, entry, newest, intent.path, plan ?? intent.plan);
			},
		};
		senders[how]();
	}

	cancel(pick: number): void {
		const underWay = this.intents.flatMap(intent => [...intent.underWay]);
		underWay[pick % Math.max(1, underWay.length)]?.abort();
	}

	/** Lets everything that is under way end. */
	async finish(): Promise<void> {
		this.setWeather(0);
		this.heal();
		this.wakeAll();
		await this.advance(identityLifetimeMilliseconds);
	}

	private fillTable({
		operations, authority, clock, name, incarnation, service,
	}: SimulatedNode): void {
		for (let index = 0; index < tableOptions.maximumEntries; index += 1) {
			const check = authority.verify(authority.mint({
				service, kind: 'note', executor: name, executorAddress: name, incarnation, failureDomain: '',
				lifetimeMilliseconds: this.chance.between(100, longestFillMilliseconds),
			}, clock.now()));
			const begun = check.valid ? operations.begin({identity: check.identity, fingerprint: 'fill', retries: 0}) : undefined;
			if (begun?.action === 'attempt') {
				begun.operation.start(0);
				begun.operation.markOutcomeUnknown();
			}
		}
	}

	private startNode(instance: FleetInstance, incarnation: string | undefined): void {
		const process = new SimulatedProcess(this.time, this.chance, this.chance.between(0, largestClockOffset));
		const skew = this.chance.between(-largestSkewMilliseconds / 2, largestSkewMilliseconds / 2);
		const target = new FakeTarget(`${instance.name}-${this.nextIncarnation}`, process, {
			time: this.time, chance: this.chance, oracle: this.oracle, habits: {...targetHabits, ...this.options.habits}, legs,
			downstream: async call => this.callDownstream(instance.name, call),
		});
		const node = new SimulatedNode({
			instance, fleet, incarnation: incarnation ?? `i${this.nextIncarnation}`, process, chance: this.chance, policy: {current: policy},
			admission: {...admissionHabits, ...this.options.admission}, target,
			wallNow: () => worldStart + this.time.now + skew + (this.wallSteps.get(instance.name) ?? 0),
			directoryOf: end => this.network.directoryOf(end),
		});
		this.nextIncarnation += 1;
		this.nodes.set(instance.name, node);
		this.targets.set(instance.name, target);
		this.network.join(node);
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

	private send(intent: Intent, entry: number, token: string | undefined, path: string, plan = intent.plan): void {
		const node = this.nodes.get(nameOf(entry))!;
		const check = token === undefined ? undefined : node.authority.verify(token);
		const identity = check?.valid === true ? check.identity : undefined;
		const attempt: Attempt = {
			identifier: `a${this.nextAttempt++}`, path, leg: path, irreversible: plan.irreversible, sentAt: this.time.now, tied: true, retries: plan.retries,
			...(identity === undefined ? {} : {identity: {operation: identity.operation, generation: identity.generation}}),
		};
		this.oracle.sent(attempt);
		intent.sentWithIdentity ||= token !== undefined;
		const controller = new AbortController();
		intent.underWay.add(controller);
		node.process.run(() => {
			void (async () => {
				const result = await node.roots.call({
					service: plan.service, kind: plan.kind, idempotencyKey: token, signal: controller.signal, possibleWaitMilliseconds: 0,
					remainingMilliseconds: Number.NaN, message: {
						method: 'POST', path: '', headers: {[attemptHeader]: attempt.identifier}, body: Buffer.from(path),
					},
				});
				intent.underWay.delete(controller);
				if (node.process.alive && !controller.signal.aborted) {
					this.receive(intent, attempt, result, node);
				}
			})();
		});
	}

	private receive(intent: Intent, attempt: Attempt, result: CallResult, node: SimulatedNode): void {
		const {nextIdentity} = result;
		const check = nextIdentity === undefined ? undefined : node.authority.verify(nextIdentity);
		const next = check?.valid === true ? check.identity : undefined;
		const sameOperation = next !== undefined && next.operation === attempt.identity?.operation;
		this.oracle.told(attempt, {
			verdict: result.verdict, body: Buffer.from(result.body).toString(), nextGeneration: sameOperation ? next.generation : undefined,
		}, this.time.now);
		const token = next === undefined ? undefined : {text: nextIdentity!, operation: next.operation, generation: next.generation};
		this.learn(intent, attempt, result, token);
	}

	/** A caller goes on with the newest token, and takes a new identity only when it has none or the old one is over. */
	private learn(intent: Intent, attempt: Attempt, result: CallResult, token: Token | undefined): void {
		const newest = intent.tokens.at(-1);
		if (newest === undefined) {
			if (token !== undefined && attempt.identity === undefined) {
				intent.tokens.push(token);
				if (intent.eagerAt !== undefined) {
					this.send(intent, intent.eagerAt, token.text, intent.path);
				}
			}

			return;
		}

		if (attempt.identity?.operation !== newest.operation) {
			return;
		}

		if (token === undefined) {
			if (result.verdict === 'did-not-run') {
				intent.retired.push(...intent.tokens.splice(0));
				intent.sentWithIdentity = false;
			}
		} else if (token.generation > newest.generation) {
			intent.tokens.push(token);
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
