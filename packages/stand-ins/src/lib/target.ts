/**
 * A stand-in for a target: works for a set time with a set number of slots, makes downstream calls through its node and
 * records every run, so that tests can compare what ran with what callers were told.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	Agent, createServer, request as httpRequest, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {readBody} from './read-body.js';
import {SlotQueue} from './slot-queue.js';

/** A downstream call of a kind. @public */
export type TargetLegPlan = {service: string; kind: string};

/** How the target works on a kind. @public */
export type TargetKindPlan = {
	workMilliseconds: number;
	legs: TargetLegPlan[];
};

/** @public */
export type TargetPlan = {
	service: string;
	/** Base URL of the own node's listener for its target. */
	nodeUrl: string;
	/** Requests worked on at once; others wait in the target. */
	slots: number;
	kinds: Record<string, TargetKindPlan>;
	/** False for a target that does not copy context headers to its downstream calls. */
	passContext?: boolean;
	/** Times that the target itself tries a downstream call; 1 by default. */
	legAttempts?: number;
};

/**
 * Faults that a target shows on a kind.
 *
 * - `fail`: answers 500 after its work.
 * - `shed`: refuses before its work and declares that it did not run.
 * - `truncate`: sends half of its answer and closes the connection.
 * - `hang-up`: closes the connection after its work, without an answer.
 *
 * @public
 */
export type TargetFault = 'fail' | 'shed' | 'truncate' | 'hang-up';

/** One run of a request, as the oracle sees it. @public */
export type TargetRun = {kind: string; operation?: string; body: string; finished: boolean};

/**
 * An HTTP target.
 *
 * @public
 */
export class TargetStandIn {
	readonly runs: TargetRun[] = [];
	/** Factor on all work times. */
	slowness = 1;
	/** Faults by kind. */
	readonly faults = new Map<string, TargetFault>();
	private readonly faultAnswers: Record<TargetFault, (response: ServerResponse, answer: string) => void> = {
		fail(response) {
			response.writeHead(500).end('failed');
		},
		shed(response) {
			response.writeHead(503, {'hemlockthread-verdict': 'did-not-run'}).end();
		},
		truncate(response, answer) {
			response.writeHead(200, {'content-length': answer.length});
			response.write(answer.slice(0, answer.length / 2), () => {
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
				this.faultAnswers.shed(response, '');
				return;
			}

			this.runs.push(run);
			await delay(plan.workMilliseconds * this.slowness);
			const legs: unknown[] = [];
			for (const leg of plan.legs) {
				legs.push(await this.callDownstream(leg, request, body));
			}

			run.finished = true;
			const answer = JSON.stringify({
				service: this.plan.service, kind, body, legs,
			});
			if (fault !== undefined) {
				this.faultAnswers[fault](response, answer);
				return;
			}

			const failed = legs.some(leg => (leg as {status: number}).status !== 200);
			response.writeHead(failed ? 502 : 200, {'content-type': 'application/json'})
				.end(answer);
		} finally {
			this.slots.release();
		}
	}

	private async callDownstream(leg: TargetLegPlan, parent: IncomingMessage, body: string): Promise<{status: number; verdict?: string}> {
		const attempts = this.plan.legAttempts ?? 1;
		for (let attempt = 1; ; attempt += 1) {
			const result = await this.callOnce(leg, parent, body);
			if (result.status === 200 || attempt >= attempts) {
				return result;
			}
		}
	}

	private async callOnce(leg: TargetLegPlan, parent: IncomingMessage, body: string): Promise<{status: number; verdict?: string}> {
		const context = parent.headers['hemlockthread-context'];
		const headers = this.plan.passContext === false || context === undefined ? {} : {'hemlockthread-context': context};
		return new Promise(resolve => {
			const call = httpRequest(`${this.plan.nodeUrl}/calls/${leg.service}/${leg.kind}`, {
				method: 'POST', agent: this.agent, headers: {...headers, 'content-type': 'text/plain', 'content-length': Buffer.byteLength(body)},
			}, answer => {
				void (async () => {
					await readBody(answer);
					resolve({status: answer.statusCode ?? 0, verdict: answer.headers['hemlockthread-verdict'] as string | undefined});
				})();
			});
			call.once('error', () => {
				resolve({status: 0});
			});
			call.end(body);
		});
	}
}
