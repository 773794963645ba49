/**
 * A target for experiments: simulates work in a fixed number of slots, makes downstream calls through its node and
 * records the work time per root request. Like the platform's targets, it stops work when the caller disconnects.
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
	/** Base URL of the local node's listener for its target. */
	nodeUrl: string;
	slots: number;
	kinds: ServicePlan['kinds'];
};

/** One execution of a request; the root is the request body that callers send. @public */
export type LoadTargetRun = {
	root: string;
	kind: string;
	/** Milliseconds since the epoch. */
	startedAt: number;
	/** Local work time, excluding waits for downstream calls. */
	workMilliseconds: number;
	whole: boolean;
	/** The target declared that the request did not run, so a retry is safe. */
	declaredNotRun: boolean;
};

const contextHeader = 'hemlockthread-context';
const verdictHeader = 'hemlockthread-verdict';
const refusedStatus = 503;
const failedStatus = 502;

type DownstreamResponse = {status: number; body: string; verdict?: string};

/** @public */
export class LoadTarget {
	/** Multiplies all work times. */
	slowdownFactor = 1;
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

	/** Notifies the local node that this target leaves the fleet. */
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

		const callerDisconnected = new AbortController();
		response.once('close', () => {
			callerDisconnected.abort();
		});
		await this.slots.acquire();
		if (callerDisconnected.signal.aborted) {
			this.slots.release();
			return;
		}

		const run: LoadTargetRun = {
			root: body, kind, startedAt: Date.now(), workMilliseconds: 0, whole: false, declaredNotRun: false,
		};
		this.runs.push(run);
		const status = await this.execute(run, request.headers[contextHeader] as string | undefined, callerDisconnected.signal);
		this.slots.release();
		run.whole = status === 200;
		run.declaredNotRun = status === refusedStatus;
		response.writeHead(status, {
			'content-type': 'text/plain', 'content-length': Buffer.byteLength(body),
			...(status === refusedStatus ? {[verdictHeader]: 'did-not-run'} : {}),
		}).end(body);
	}

	/** Returns the response status. A downstream call that did not run changed nothing, so the request is declared as not run too. */
	private async execute(run: LoadTargetRun, context: string | undefined, signal: AbortSignal): Promise<number> {
		const plan = this.plan.kinds[run.kind]!;
		run.workMilliseconds = await simulateWork(plan.workMilliseconds * this.slowdownFactor, signal);
		for (const downstreamCall of plan.legs) {
			if (signal.aborted) {
				return failedStatus;
			}

			const response = await this.post(`/calls/${downstreamCall.service}/${downstreamCall.kind}`, context === undefined ? {} : {[contextHeader]: context}, run.root, signal);
			if (response.status !== 200 || response.body !== run.root) {
				return response.verdict === 'did-not-run' ? refusedStatus : failedStatus;
			}
		}

		return signal.aborted ? failedStatus : 200;
	}

	private async post(path: string, headers: Record<string, string>, body: string, signal: AbortSignal): Promise<DownstreamResponse> {
		return new Promise(resolve => {
			const request = httpRequest(this.plan.nodeUrl + path, {
				method: 'POST', agent: this.agent, signal, headers: {...headers, 'content-type': 'text/plain', 'content-length': Buffer.byteLength(body)},
			}, response => {
				void (async () => {
					const responseBody = await readBody(response);
					resolve({
						body: responseBody, status: response.complete ? (response.statusCode ?? 0) : 0, verdict: response.headers[verdictHeader] as string | undefined,
					});
				})();
			});
			request.once('error', () => {
				resolve({status: 0, body: ''});
			});
			request.end(body);
		});
	}
}

/** Waits for the given time or until the signal aborts; returns the elapsed milliseconds. */
async function simulateWork(milliseconds: number, signal: AbortSignal): Promise<number> {
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
