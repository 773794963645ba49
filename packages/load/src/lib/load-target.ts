/**
 * The target of experiments: works with a fixed number of slots, makes downstream calls through its node, and accounts
 * the time that it worked for each root request. It stops work whose caller went away, as the platform's targets do.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	Agent, createServer, request as httpRequest, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {performance} from 'node:perf_hooks';
import {SlotQueue, readBody} from '@hemlockthread/stand-ins';
import type {ServicePlan} from './experiment-file.js';

/** @public */
export type LoadTargetPlan = {
	service: string;
	host: string;
	port: number;
	/** Base URL of the own node's listener for its target. */
	nodeUrl: string;
	slots: number;
	kinds: ServicePlan['kinds'];
};

/** One run; the root is the request body that callers send. @public */
export type LoadTargetRun = {
	root: string;
	kind: string;
	/** Milliseconds since the epoch. */
	startedAt: number;
	/** Time of its own work, waits for downstream calls not included. */
	workMilliseconds: number;
	whole: boolean;
	/** True where the target declared that the request did not run, so that it may be repeated. */
	declaredNotRun: boolean;
};

const contextHeader = 'hemlockthread-context';
const verdictHeader = 'hemlockthread-verdict';
const refusedStatus = 503;
const failedStatus = 502;

type Answer = {status: number; body: string; verdict?: string};

/** @public */
export class LoadTarget {
	/** Factor on all work times. */
	slowness = 1;
	readonly runs: LoadTargetRun[] = [];
	private readonly slots: SlotQueue;
	private readonly agent = new Agent({keepAlive: true, noDelay: true});
	private readonly server: Server;

	constructor(readonly plan: LoadTargetPlan) {
		this.slots = new SlotQueue(plan.slots);
		this.server = createServer({noDelay: true}, (request, response) => {
			void this.handle(request, response);
		});
		this.server.keepAliveTimeout = 600_000;
	}

	async listen(): Promise<void> {
		this.server.listen(this.plan.port, this.plan.host);
		await once(this.server, 'listening');
	}

	async close(): Promise<void> {
		this.server.closeAllConnections();
		this.agent.destroy();
		this.server.close();
		await once(this.server, 'close');
	}

	/** Tells the own node that this target leaves the fleet. */
	async leave(): Promise<void> {
		await this.post('/leave', {}, '', new AbortController().signal);
	}

	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readBody(request);
		const kind = (request.url ?? '/').split('/')[1]!.split('?')[0]!;
		const plan = this.plan.kinds[kind];
		if (plan === undefined) {
			response.writeHead(404).end();
			return;
		}

		const gone = new AbortController();
		response.once('close', () => {
			gone.abort();
		});
		await this.slots.acquire();
		if (gone.signal.aborted) {
			this.slots.release();
			return;
		}

		const run: LoadTargetRun = {
			root: body, kind, startedAt: Date.now(), workMilliseconds: 0, whole: false, declaredNotRun: false,
		};
		this.runs.push(run);
		const status = await this.work(run, request.headers[contextHeader] as string | undefined, gone.signal);
		this.slots.release();
		run.whole = status === 200;
		run.declaredNotRun = status === refusedStatus;
		response.writeHead(status, {
			'content-type': 'text/plain', 'content-length': Buffer.byteLength(body),
			...(status === refusedStatus ? {[verdictHeader]: 'did-not-run'} : {}),
		}).end(body);
	}

	/** Returns the status to answer with. A downstream call that did not run changed nothing, and the answer says so. */
	private async work(run: LoadTargetRun, context: string | undefined, signal: AbortSignal): Promise<number> {
		const plan = this.plan.kinds[run.kind]!;
		run.workMilliseconds = await workFor(plan.workMilliseconds * this.slowness, signal);
		for (const leg of plan.legs) {
			if (signal.aborted) {
				return failedStatus;
			}

			const answer = await this.post(`/calls/${leg.service}/${leg.kind}`, context === undefined ? {} : {[contextHeader]: context}, run.root, signal);
			if (answer.status !== 200 || answer.body !== run.root) {
				return answer.verdict === 'did-not-run' ? refusedStatus : failedStatus;
			}
		}

		return signal.aborted ? failedStatus : 200;
	}

	private async post(path: string, headers: Record<string, string>, body: string, signal: AbortSignal): Promise<Answer> {
		return new Promise(resolve => {
			const call = httpRequest(this.plan.nodeUrl + path, {
				method: 'POST', agent: this.agent, signal, headers: {...headers, 'content-type': 'text/plain', 'content-length': Buffer.byteLength(body)},
			}, answer => {
				void (async () => {
					const text = await readBody(answer);
					resolve({
						body: text, status: answer.complete ? (answer.statusCode ?? 0) : 0, verdict: answer.headers[verdictHeader] as string | undefined,
					});
				})();
			});
			call.once('error', () => {
				resolve({status: 0, body: ''});
			});
			call.end(body);
		});
	}
}

/** Works for a time, or until the signal aborts; returns the time worked. */
async function workFor(milliseconds: number, signal: AbortSignal): Promise<number> {
	if (milliseconds === 0) {
		return 0;
	}

	const startedAt = performance.now();
	await new Promise<void>(resolve => {
		const timer = setTimeout(resolve, milliseconds);
		signal.addEventListener('abort', () => {
			clearTimeout(timer);
			resolve();
		}, {once: true});
	});
	return performance.now() - startedAt;
}
