/**
 * Verdicts and attempts at a single node. Guards against false verdicts, such as `did-not-run` for a call that may have
 * run, and against irreversible calls that run twice.
 */
import {Buffer} from 'node:buffer';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {IdentityAuthority, ProcessClock, RetryAllowance} from '@hemlockthread/identity';
import type {FleetInstance} from '@hemlockthread/membership';
import {OperationTable} from '@hemlockthread/operations';
import {PolicyRecord} from '@hemlockthread/policy';
import type {Selection} from '@hemlockthread/routing';
import {CallError, RefusalReason, Verdict} from '@hemlockthread/verdict';
import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {CallExecutor} from './call-executor.js';
import {CallForwarder} from './call-forwarder.js';
import {CallRegistry, type CallInProgress} from './call-registry.js';
import {refusal, type Call, type CallResult} from './call.js';
import type {PeerPoolApi, TargetClientApi} from './dependencies.js';
import {DownstreamCalls, type DownstreamCall} from './downstream-calls.js';
import {RootCalls} from './root-calls.js';
import type {TargetResponse} from './target-client.js';

const kind = (name: string, irreversible: boolean) => ({
	name, worth: 1, protected: false, irreversible, retries: 2, lifetimeMilliseconds: 1000,
});
const policy = {
	current: new PolicyRecord({
		schemaVersion: 1, identityLifetimeMilliseconds: 60_000, coldStartRampMilliseconds: 0,
		kinds: [kind('withdrawal', true), kind('record', true), kind('view', false)],
	}),
};
const authority = new IdentityAuthority([{id: 'test', secret: 'a secret for tests with 32 characters or more'}]);
const clock = new ProcessClock();
const metrics = {
	count() {
		// Ignored in these tests.
	},
};
const self = {
	instance: 'releases-1', service: 'releases', incarnation: 'i', leaving: new AbortController().signal, isListedAsLeaving: false,
	leave() {
		// Ignored in these tests.
	},
};
const instance = (name: string): FleetInstance => ({
	name, service: 'releases', failureDomain: 'a', region: 'r', peerAddress: name, callerAddress: '', operatorAddress: '', slots: 1, state: 'live',
});
const admission = {
	level: 0,
	admit: async () => ({
		admitted: true as const, release() {
			// Slots are not counted here.
		},
	}),
};
const ranResponse = (body = 'done'): TargetResponse => ({
	verdict: Verdict.ran, status: 200, headers: {}, body: Buffer.from(body), level: 0, leaving: false,
});
const unreachable: PeerPoolApi = {
	async connect() {
		throw new CallError('refused', {props: {verdict: Verdict.didNotRun, reason: RefusalReason.connectionLost}});
	},
};

let registry: CallRegistry;
let runs: string[];
let onRun: (call: Call, inProgress: CallInProgress) => Promise<TargetResponse>;
let instances: FleetInstance[];

beforeEach(() => {
	registry = new CallRegistry();
	runs = [];
	instances = [instance('releases-1')];
	onRun = async () => ranResponse();
});

const target: TargetClientApi = {
	async send(call, inProgress) {
		runs.push(call.kind);
		return onRun(call, inProgress);
	},
};

function createNode(pool: PeerPoolApi = unreachable, {current}: {current?: PolicyRecord} = policy) {
	const executor = new CallExecutor(self, {current}, admission, new OperationTable(self, clock), registry, authority, target, metrics);
	const forwarder = new CallForwarder(self, {current}, {
		instance: name => instances.find(candidate => candidate.name === name), hasService: () => true,
	}, {
		choose({exclude}) {
			const found = instances.find(candidate => !exclude.has(candidate.name));
			return found === undefined ? 'no-target' : selectionOf(found);
		},
		begin: selectionOf,
	}, pool, executor, authority, clock, metrics);
	return {
		executor, forwarder, roots: new RootCalls({current}, forwarder, authority), downstream: new DownstreamCalls({current}, forwarder, registry, metrics),
	};
}

function selectionOf(found: FleetInstance): Selection {
	return {
		instance: found,
		finish() {
			// Outcomes are not recorded here.
		},
	};
}

function mint(executor = 'releases-1', kindName = 'withdrawal', incarnation = 'i'): string {
	return authority.mint({
		service: 'releases', kind: kindName, executor, executorAddress: executor, incarnation, failureDomain: 'a', lifetimeMilliseconds: 60_000,
	}, clock.now());
}

const message = (body = 'bottle 12') => ({
	method: 'POST', path: '', headers: {}, body: Buffer.from(body),
});

async function call(current: ReturnType<typeof createNode>, kindName: string, token?: string, signal = new AbortController().signal): Promise<CallResult> {
	return current.roots.call({
		service: 'releases', kind: kindName, message: message(), idempotencyKey: token, remainingMilliseconds: Number.NaN, maximumPauseWaitMilliseconds: 0,
		signal,
	});
}

function downstreamCall(changes: Partial<DownstreamCall>): DownstreamCall {
	return {
		service: 'releases', kind: 'record', message: message('leg'), context: undefined, traceParent: undefined, step: undefined,
		signal: new AbortController().signal, ...changes,
	};
}

const aborted = () => {
	const controller = new AbortController();
	controller.abort();
	return controller.signal;
};

describe('a call with an identity is never reported as did-not-run by a node that does not know its earlier attempts', () => {
	it.each<[string, () => Promise<CallResult>]>([
		['the executor is not reachable', async () => call(createNode(), 'withdrawal', mint('releases-2'))],
		['the call was cancelled before it was sent', async () => call(createNode({
			connect: async () => ({
				remote: undefined, remoteLeaving: false, async call() {
					throw new CallError('cancelled', {props: {verdict: Verdict.didNotRun, reason: RefusalReason.cancelled}});
				},
			}),
		}), 'withdrawal', mint('releases-2'))],
		['its identity is invalid', async () => call(createNode(), 'withdrawal', 'a.b.c')],
		['it was minted for another kind', async () => call(createNode(), 'withdrawal', mint('releases-1', 'record'))],
		['the kind is not in the policy', async () => call(createNode(), 'unheard-of', mint())],
		['there is no policy', async () => call(createNode(unreachable, {}), 'withdrawal', mint())],
		['it names an earlier incarnation', async () => call(createNode(), 'withdrawal', mint('releases-1', 'withdrawal', 'earlier'))],
	])('%s', async (_name, make) => {
		expect(await make()).toMatchObject({verdict: 'may-have-run'});
		expect(runs).toEqual([]);
	});
});

describe('a call is not sent to a leaving target', () => {
	it.each<[string, (node: {leaving: AbortController; listed: {isListedAsLeaving: boolean}}) => void]>([
		['when it starts to leave while the call waits for admission', ({leaving}) => {
			leaving.abort();
		}],
		['when the fleet list marks it as leaving, regardless of the list of the sender', ({listed}) => {
			listed.isListedAsLeaving = true;
		}],
	])('%s', async (_name, leave) => {
		const leaving = new AbortController();
		const listed = {...self, leaving: leaving.signal, isListedAsLeaving: false};
		const executor = new CallExecutor(listed, policy, {
			...admission, async admit() {
				await nextTurn();
				return admission.admit();
			},
		}, new OperationTable(self, clock), registry, authority, target, metrics);
		const result = executor.execute({
			service: 'releases', kind: 'view', rootKind: 'view', rootIdentifier: 'root', priority: 1, depth: 1, deadlineAt: performance.now() + 1000,
			signal: new AbortController().signal, message: message(), allowance: new RetryAllowance(0), isRetry: false,
		});
		leave({leaving, listed});
		expect(await result).toMatchObject({verdict: 'did-not-run', reason: 'leaving'});
		expect(runs).toEqual([]);
	});
});

describe('a call with an identity', () => {
	it('runs once even if its kind is reversible in the policy', async () => {
		const current = createNode();
		const token = mint('releases-1', 'view');
		await call(current, 'view', token);
		await call(current, 'view', token);
		expect(runs).toEqual(['view']);
	});

	it('that is cancelled before it starts does not run at the local target', async () => {
		expect(await call(createNode(), 'withdrawal', mint(), aborted())).toMatchObject({verdict: 'did-not-run', reason: 'cancelled'});
		expect(runs).toEqual([]);
	});

	it('that joined a run which the target refused is refused at once with the newest identity', async () => {
		let respond!: (response: TargetResponse) => void;
		onRun = async () => new Promise(resolve => {
			respond = resolve;
		});
		const current = createNode();
		const token = mint();
		const first = call(current, 'withdrawal', token);
		const second = call(current, 'withdrawal', token);
		await nextTurn();
		respond({...ranResponse(), declaredVerdict: Verdict.didNotRun});
		expect(await first).toMatchObject({verdict: 'did-not-run'});
		const joined = await second;
		expect(joined).toMatchObject({verdict: 'did-not-run', reason: 'identity-superseded'});
		onRun = async () => ranResponse();
		expect(await call(current, 'withdrawal', joined.nextIdentity)).toMatchObject({verdict: 'ran'});
	});

	it('whose HTTP client throws has an unknown outcome and does not stay in progress', async () => {
		onRun = async () => {
			throw new TypeError('invalid character in header');
		};

		const current = createNode();
		const token = mint();
		expect(await call(current, 'withdrawal', token)).toMatchObject({verdict: 'may-have-run'});
		expect(await call(current, 'withdrawal', token)).toMatchObject({verdict: 'may-have-run', reason: 'outcome-unknown'});
		expect(registry.size).toBe(0);
	});
});

describe('a reversible call', () => {
	it('that runs out of retries after a lost attempt is not reported as did-not-run', async () => {
		instances = ['releases-1', 'releases-2', 'releases-3', 'releases-4'].map(name => instance(name));
		const verdicts = [Verdict.mayHaveRun, Verdict.didNotRun, Verdict.didNotRun];
		onRun = async () => ({...refusal(verdicts.shift()!, RefusalReason.targetFailed), leaving: false});
		const peers: PeerPoolApi = {
			connect: async () => ({
				remote: undefined, remoteLeaving: false, async call() {
					throw new CallError('failed', {props: {verdict: verdicts.shift()!, reason: RefusalReason.targetFailed}});
				},
			}),
		};
		expect(await call(createNode(peers), 'view')).toMatchObject({verdict: 'may-have-run'});
		expect(verdicts).toEqual([]);
	});
});

describe('a downstream call', () => {
	/** Runs a parent call whose target makes a downstream call while it works on it. */
	async function callDuring(parentKind: string, make: (inProgress: CallInProgress, current: ReturnType<typeof createNode>) => Promise<CallResult>) {
		let result: CallResult | undefined;
		const current = createNode();
		onRun = async (parent, inProgress) => {
			if (parent.kind === parentKind) {
				result = await make(inProgress, current);
			}

			return ranResponse();
		};

		const token = parentKind === 'view' ? undefined : mint();
		const parent = await call(current, parentKind, token);
		return {result: result!, parent, current};
	}

	it('of a reversible parent is refused if it is irreversible', async () => {
		const {result} = await callDuring('view', async ({reference}, current) => current.downstream.call(downstreamCall({context: reference})));
		expect(result).toMatchObject({verdict: 'did-not-run', reason: 'parent-reversible'});
		expect(runs).toEqual(['view']);
	});

	it('without context is never attached to a call if it is irreversible', async () => {
		const {result} = await callDuring('withdrawal', async (_inProgress, current) => current.downstream.call(downstreamCall({})));
		expect(result).toMatchObject({verdict: 'did-not-run', reason: 'context-missing'});
	});

	it('without context is attached to the only call in progress if it is reversible', async () => {
		await callDuring('withdrawal', async ({downstreamCalls}, current) => {
			const result = await current.downstream.call(downstreamCall({kind: 'view'}));
			expect(downstreamCalls.size).toBe(1);
			return result;
		});
	});

	it('without context is not attached once a target may be working on an abandoned call', async () => {
		const current = createNode();
		onRun = async () => ({...refusal(Verdict.mayHaveRun, RefusalReason.targetFailed), leaving: false});
		await call(current, 'withdrawal', mint());
		onRun = async (parent, {downstreamCalls}) => {
			if (parent.kind === 'withdrawal') {
				await current.downstream.call(downstreamCall({kind: 'view'}));
				expect(downstreamCalls.size).toBe(0);
			}

			return ranResponse();
		};

		expect(await call(current, 'withdrawal', mint())).toMatchObject({verdict: 'ran'});
	});

	it('of a parent that has ended is refused with may-have-run, because its earlier attempts are unknown', async () => {
		let reference = '';
		const {current} = await callDuring('withdrawal', async inProgress => {
			reference = inProgress.reference;
			return refusal(Verdict.didNotRun, RefusalReason.noTarget);
		});
		runs = [];
		expect(await current.downstream.call(downstreamCall({context: reference}))).toMatchObject({verdict: 'may-have-run', reason: 'context-missing'});
		expect(await current.downstream.call(downstreamCall({context: reference, kind: 'view'}))).toMatchObject({verdict: 'may-have-run'});
		expect(runs).toEqual([]);
	});

	it('that a second run of its parent makes again consumes a retry of the operation', async () => {
		const current = createNode();
		const remainingRetries: number[] = [];
		onRun = async (parent, inProgress) => {
			if (parent.kind === 'withdrawal') {
				await current.downstream.call(downstreamCall({kind: 'view', context: inProgress.reference}));
				remainingRetries.push(inProgress.allowance.remaining);
				return {...ranResponse(), declaredVerdict: Verdict.didNotRun};
			}

			return ranResponse();
		};

		const {nextIdentity} = await call(current, 'withdrawal', mint());
		await call(current, 'withdrawal', nextIdentity);
		expect(remainingRetries).toEqual([2, 0]);
	});

	it('that is waiting for an identity when its parent refuses makes the parent may-have-run and is not started', async () => {
		let refuse!: () => void;
		instances = [instance('releases-2'), instance('releases-1')];
		const current = createNode({
			connect: async () => new Promise((_resolve, reject) => {
				refuse = () => {
					reject(new Error('refused'));
				};
			}),
		});
		onRun = async (parent, inProgress) => {
			if (parent.kind === 'withdrawal') {
				void current.downstream.call(downstreamCall({context: inProgress.reference}));
				return {...ranResponse(), declaredVerdict: Verdict.didNotRun};
			}

			return ranResponse();
		};

		expect(await call(current, 'withdrawal', mint())).toMatchObject({verdict: 'may-have-run'});
		refuse();
		await nextTurn();
		expect(runs).toEqual(['withdrawal']);
	});

	it('that the target retries consumes a retry, and is not reported as did-not-run while an attempt is in progress', async () => {
		let end!: () => void;
		const current = createNode();
		const started = new Promise<void>(resolve => {
			onRun = async parent => {
				resolve();
				return parent.kind === 'view'
					? new Promise(settle => {
						end = () => {
							settle(ranResponse());
						};
					})
					: ranResponse();
			};
		});
		const parent = registry.begin({
			service: 'releases', kind: 'withdrawal', rootKind: 'withdrawal', rootIdentifier: 'r', priority: 0, deadlineAt: Number.MAX_SAFE_INTEGER,
			depth: 1, message: message(), allowance: new RetryAllowance(0), isRetry: false, signal: new AbortController().signal,
		}, new RetryAllowance(0))!;
		const view = downstreamCall({kind: 'view', context: parent.reference});
		const first = current.downstream.call(view);
		await started;
		expect(await current.downstream.call(view)).toMatchObject({verdict: 'may-have-run', reason: 'retries-exhausted'});
		end();
		expect(await first).toMatchObject({verdict: 'ran'});
	});
});
