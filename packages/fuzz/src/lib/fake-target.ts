/**
 * Fake target that randomly processes, sheds or crashes, retries its downstream calls, drops the context, and may continue after
 * its call was abandoned.
 */
import {Buffer} from 'node:buffer';
import {
	refusal, type Call, type CallInProgress, type CallResult, type DownstreamCall, type TargetResponse, type TargetClientApi,
} from '@hemlockthread/node';
import {RefusalReason, Verdict} from '@hemlockthread/verdict';
import type {Attempt, Oracle, Run} from './oracle.js';
import type {SimulatedProcess, RandomSource, VirtualTime} from './virtual-time.js';

/** Header that carries the attempt identifier of the oracle; nodes forward it unchanged. @public */
export const attemptHeader = 'accept-language';

/** Downstream call that a target makes for a kind. @public */
export type DownstreamCallPlan = {service: string; kind: string; irreversible: boolean};

/** Probabilities of the target's behaviors for one request. @public */
export type TargetProbabilities = {
	refuseConnection: number;
	resetBeforeRunning: number;
	shed: number;
	shedAfterCalls: number;
	crashAfterRunning: number;
	slow: number;
	/** Continues to process after the node abandoned the call. */
	persist: number;
	dropContext: number;
	concurrentCalls: number;
	abandonCalls: number;
};

/** @public */
export const defaultTargetProbabilities: TargetProbabilities = {
	refuseConnection: 0.06, resetBeforeRunning: 0.06, shed: 0.12, shedAfterCalls: 0.25, crashAfterRunning: 0.1, slow: 0.1, persist: 0.5,
	dropContext: 0.2, concurrentCalls: 0.3, abandonCalls: 0.25,
};

/** @public */
export type TargetDependencies = {
	time: VirtualTime;
	random: RandomSource;
	oracle: Oracle;
	probabilities: TargetProbabilities;
	downstreamCalls: Readonly<Record<string, readonly DownstreamCallPlan[]>>;
	/** Sends a downstream call to the current local node; resolves to undefined if that node ends before it responds. */
	downstream(call: DownstreamCall): Promise<CallResult | undefined>;
};

type RunBehavior = {
	persists: boolean;
	passesContext: boolean;
	context: string;
	connection: AbortSignal;
	nodeEnded: boolean;
};

const longestWorkMilliseconds = 4000;
const maximumCallAttempts = 3;
const lostResponse = (): TargetResponse => ({...refusal(Verdict.mayHaveRun, RefusalReason.targetFailed), leaving: false});
const shedResponse = (): TargetResponse => ({
	verdict: Verdict.ran, status: 503, headers: {}, body: Buffer.from('busy'), level: 0, leaving: false, declaredVerdict: Verdict.didNotRun,
});

/**
 * One target process.
 *
 * @public
 */
export class FakeTarget implements TargetClientApi {
	private ended = false;
	private nextCallAttempt = 0;
	private readonly activeRuns = new Set<RunBehavior>();

	constructor(private readonly name: string, private readonly process: SimulatedProcess, private readonly dependencies: TargetDependencies) {}

	/** Ends the target process together with its node. */
	end(): void {
		this.ended = true;
	}

	/**
	 * Continues without the node that sent the current requests. The next node may attach calls without context to other calls in
	 * progress, since it does not know these requests. This is a known limitation of targets that drop the context, so the fake
	 * target makes no reversible calls without context after its node ended.
	 */
	outliveNode(): void {
		for (const behavior of this.activeRuns) {
			behavior.nodeEnded = true;
		}
	}

	async send(call: Call, inProgress: CallInProgress): Promise<TargetResponse> {
		const {random, probabilities} = this.dependencies;
		if (random.nextBoolean(probabilities.refuseConnection)) {
			return {...refusal(Verdict.didNotRun, RefusalReason.targetFailed), leaving: false};
		}

		return new Promise(resolve => {
			const settle = (response: TargetResponse) => {
				this.process.run(() => {
					resolve(response);
				});
			};

			inProgress.signal.addEventListener('abort', () => {
				settle(lostResponse());
			}, {once: true});
			this.process.after(call.deadlineAt - this.process.now(), () => {
				settle(lostResponse());
			});
			void (async () => {
				settle(await this.work(call, inProgress));
			})();
		});
	}

	private async work(call: Call, inProgress: CallInProgress): Promise<TargetResponse> {
		const {random, probabilities, oracle} = this.dependencies;
		await this.pause();
		const run = oracle.recordArrival(call.message.headers[attemptHeader]!);
		if (random.nextBoolean(probabilities.resetBeforeRunning)) {
			return lostResponse();
		}

		if (random.nextBoolean(probabilities.shed)) {
			return shedResponse();
		}

		const behavior: RunBehavior = {
			persists: random.nextBoolean(probabilities.persist), passesContext: !random.nextBoolean(probabilities.dropContext), context: inProgress.reference,
			connection: inProgress.signal, nodeEnded: false,
		};
		this.activeRuns.add(behavior);
		try {
			return await this.run(call, run, behavior);
		} finally {
			this.activeRuns.delete(behavior);
		}
	}

	private async run(call: Call, run: Run, behavior: RunBehavior): Promise<TargetResponse> {
		const {random, probabilities, oracle} = this.dependencies;
		const worksFirst = random.nextBoolean(0.5);
		const shedsAfterCalls = !worksFirst && random.nextBoolean(probabilities.shedAfterCalls);
		if (worksFirst) {
			oracle.recordRun(run);
		}

		await this.makeDownstreamCalls(call.kind, run, behavior);
		if (this.hasStopped(behavior)) {
			return lostResponse();
		}

		if (shedsAfterCalls) {
			return shedResponse();
		}

		if (!worksFirst) {
			oracle.recordRun(run);
		}

		await this.pause();
		if (this.hasStopped(behavior) || random.nextBoolean(probabilities.crashAfterRunning)) {
			return lostResponse();
		}

		const body = `whole answer of ${run.attempt.path} by ${run.identifier}`;
		oracle.recordCompleteResponse(run, body);
		return {
			verdict: Verdict.ran, status: random.nextBoolean(0.1) ? 500 : 200, headers: {}, body: Buffer.from(body), level: 0, leaving: false,
		};
	}

	private async makeDownstreamCalls(kind: string, run: Run, behavior: RunBehavior): Promise<void> {
		const {random, probabilities, downstreamCalls} = this.dependencies;
		const calls = (downstreamCalls[kind] ?? []).map((downstreamCall, index) => async () => this.makeDownstreamCall(downstreamCall, index, run, behavior));
		if (random.nextBoolean(probabilities.abandonCalls)) {
			for (const call of calls) {
				void call();
			}
		} else if (random.nextBoolean(probabilities.concurrentCalls)) {
			await Promise.all(calls.flatMap(call => [call(), call()]));
		} else {
			for (const call of calls) {
				await call();
			}
		}
	}

	/** Makes a downstream call, with up to `maximumCallAttempts` attempts until it gets a complete response. */
	private async makeDownstreamCall(downstreamCall: DownstreamCallPlan, index: number, run: Run, behavior: RunBehavior): Promise<void> {
		const {oracle, time} = this.dependencies;
		const path = `${run.attempt.path}/${index}${downstreamCall.kind}`;
		// If both the parent and the call are reversible, the call is a separate operation in each run of the parent. Otherwise
		// it is one operation over all runs, because an irreversible call must run only once.
		const operationPath = run.attempt.irreversible || downstreamCall.irreversible ? path : `${path}@${run.identifier}`;
		for (let attempts = 0; attempts < maximumCallAttempts && !this.hasStopped(behavior); attempts += 1) {
			const attached = behavior.passesContext;
			if (behavior.nodeEnded && !attached && !downstreamCall.irreversible) {
				return;
			}

			const attempt: Attempt = {
				identifier: `${this.name}-leg${this.nextCallAttempt++}-${run.identifier}`, path: operationPath,
				callPath: `${run.attempt.callPath}/${index}${downstreamCall.kind}`, irreversible: downstreamCall.irreversible,
				sentAt: time.now, parent: run, attached, retries: 0,
			};
			oracle.recordSent(attempt);
			const result = await this.dependencies.downstream({
				service: downstreamCall.service, kind: downstreamCall.kind,
				message: {
					method: 'POST', path: '/leg', headers: {[attemptHeader]: attempt.identifier}, body: Buffer.from(operationPath),
				},
				context: attached ? behavior.context : undefined, traceParent: undefined, step: index % 2 === 0 ? undefined : String(index),
				signal: new AbortController().signal,
			});
			if (result === undefined) {
				return;
			}

			oracle.recordResponse(attempt, {verdict: result.verdict, body: Buffer.from(result.body).toString()}, time.now);
			if (result.verdict === Verdict.ran) {
				return;
			}
		}
	}

	private hasStopped(behavior: RunBehavior): boolean {
		return this.ended || (behavior.connection.aborted && !behavior.persists);
	}

	private async pause(): Promise<void> {
		const {random, probabilities, time} = this.dependencies;
		const milliseconds = random.nextBoolean(probabilities.slow) ? random.between(0, longestWorkMilliseconds) : random.between(0.5, 10);
		await new Promise<void>(resolve => {
			time.schedule(milliseconds, resolve);
		});
	}
}
