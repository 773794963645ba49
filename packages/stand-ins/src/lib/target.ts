/**
 * Stand-in for a target with a configured processing time and number of slots. It makes downstream calls through its node and
 * records every run, so that tests can compare the runs with the responses that callers received.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	Agent, createServer, request as httpRequest, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {readBody} from './read-body.js';
import {SlotQueue} from './slot-queue.js';

/** Service and kind of a downstream call. @public */
export type DownstreamCallPlan = {service: string; kind: string};

/** How the target processes a kind. @public */
export type TargetKindPlan = {
	workMilliseconds: number;
	downstreamCalls: DownstreamCallPlan[];
};

/** @public */
export type TargetPlan = {
	service: string;
	/** Base URL of the listener for targets of the local node. */
	nodeUrl: string;
	/** Concurrency limit; further requests wait in the target. */
	slots: number;
	kinds: Record<string, TargetKindPlan>;
	/** False for a target that does not copy the context header to its downstream calls. */
	passContext?: boolean;
	/** Maximum number of attempts that the target makes per downstream call; 1 by default. */
	downstreamAttempts?: number;
};

/**
 * Faults that a target can simulate for a kind.
 *
 * - `fail`: responds with status 500 after the run.
 * - `shed`: refuses the request before the run and declares that it did not run.
 * - `truncate`: sends half of the response body and closes the connection.
 * - `hang-up`: closes the connection after the run, without a response.
 *
 * @public
 */
export type TargetFault = 'fail' | 'shed' | 'truncate' | 'hang-up';

/** One run of a request, recorded for the oracle. @public */
export type TargetRun = {kind: string; operation?: string; body: string; finished: boolean};

/**
 * An HTTP target.
 *
 * @public
 */
export class TargetStandIn {
	readonly runs: TargetRun[] = [];
	/** Factor applied to all processing times. */
	slowness = 1;
	/** Faults by kind. */
	readonly faults = new Map<string, TargetFault>();
	private readonly faultResponders: Record<TargetFault, (response: ServerResponse, responseBody: string) => void> = {
		fail(response) {
			response.writeHead(500).end('failed');
		},
		shed(response) {
			response.writeHead(503, {'hemlockthread-verdict': 'did-not-run'}).end();
		},
		truncate(response, responseBody) {
			response.writeHead(200, {'content-length': responseBody.length});
			response.write(responseBody.slice(0, responseBody.length / 2), () => {
				response.destroy();
			});
		},
		'hang-up'(response) {
			response.destroy();
		},
	};

	private readonly slots: SlotQueue;
	private readonly agent = new Agent({keepAlive: true, noDelay: true});
	private readonly server: Server;

	constructor(readonly plan: TargetPlan) {
		this.slots = new SlotQueue(plan.slots);
		this.server = createServer((request, response) => {
			void this.handle(request, response);
		});
		this.server.keepAliveTimeout = 60_000;
	}

	async listen(host: string, port: number): Promise<void> {
		this.server.listen(port, host);
		await once(this.server, 'listening');
	}

	async close(): Promise<void> {
		this.server.closeAllConnections();
		this.server.close();
		this.agent.destroy();
		await once(this.server, 'close');
	}

	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readBody(request);
		const kind = (request.url ?? '/').split('/')[1]?.split('?')[0] ?? '';
		const plan = this.plan.kinds[kind];
		if (plan === undefined) {
			response.writeHead(404).end();
			return;
		}

		await this.slots.acquire();
		const operation = request.headers['hemlockthread-operation'] as string | undefined;
		const run: TargetRun = {
			kind, operation, body, finished: false,
		};
		try {
			if (response.destroyed) {
				return;
			}

			const fault = this.faults.get(kind);
			if (fault === 'shed') {
				this.faultResponders.shed(response, '');
				return;
			}

			this.runs.push(run);
			await delay(plan.workMilliseconds * this.slowness);
			const results: unknown[] = [];
			for (const call of plan.downstreamCalls) {
				results.push(await this.callDownstream(call, request, body));
			}

			run.finished = true;
			const responseBody = JSON.stringify({
				service: this.plan.service, kind, body, legs: results,
			});
			if (fault !== undefined) {
				this.faultResponders[fault](response, responseBody);
				return;
			}

			const failed = results.some(result => (result as {status: number}).status !== 200);
			response.writeHead(failed ? 502 : 200, {'content-type': 'application/json'})
				.end(responseBody);
		} finally {
			this.slots.release();
		}
	}

	private async callDownstream(downstreamCall: DownstreamCallPlan, parent: IncomingMessage, body: string): Promise<{status: number; verdict?: string}> {
		const attempts = this.plan.downstreamAttempts ?? 1;
		for (let attempt = 1; ; attempt += 1) {
			const result = await this.callOnce(downstreamCall, parent, body);
			if (result.status === 200 || attempt >= attempts) {
				return result;
			}
		}
	}

	private async callOnce(downstreamCall: DownstreamCallPlan, parent: IncomingMessage, body: string): Promise<{status: number; verdict?: string}> {
		const context = parent.headers['hemlockthread-context'];
		const headers = this.plan.passContext === false || context === undefined ? {} : {'hemlockthread-context': context};
		return new Promise(resolve => {
			const call = httpRequest(`${this.plan.nodeUrl}/calls/${downstreamCall.service}/${downstreamCall.kind}`, {
				method: 'POST', agent: this.agent, headers: {...headers, 'content-type': 'text/plain', 'content-length': Buffer.byteLength(body)},
			}, response => {
				void (async () => {
					await readBody(response);
					resolve({status: response.statusCode ?? 0, verdict: response.headers['hemlockthread-verdict'] as string | undefined});
				})();
			});
			call.once('error', () => {
				resolve({status: 0});
			});
			call.end(body);
		});
	}
}
