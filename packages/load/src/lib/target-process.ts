/**
 * A target in its own process, seen from the experiment tool.
 */
import {fork, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import type {LoadTargetPlan, LoadTargetRun} from './load-target.js';

const targetBinary = fileURLToPath(new URL('../bin/load-target.js', import.meta.url));
const readyIdentifier = 0;

/** @public */
export type TargetCommand = {identifier: number; type: 'slowness' | 'leave' | 'runs'; value?: number};

type Reply = {identifier: number; value?: unknown};

/** @public */
export class TargetProcess {
	readonly process: ChildProcess;
	/** Settles when the target listens. */
	readonly ready: Promise<void>;
	private nextIdentifier = readyIdentifier;
	private readonly waiting = new Map<number, (value: unknown) => void>();

	constructor(plan: LoadTargetPlan) {
		this.process = fork(targetBinary, [JSON.stringify(plan)], {stdio: ['ignore', 'inherit', 'inherit', 'ipc'], serialization: 'advanced'});
		this.process.on('message', (reply: Reply) => {
			this.waiting.get(reply.identifier)?.(reply.value);
			this.waiting.delete(reply.identifier);
		});
		this.ready = new Promise((resolve, reject) => {
			this.waiting.set(readyIdentifier, () => {
				resolve();
			});
			this.process.once('exit', code => {
				reject(new Error(`target ${plan.service} ended with status ${code} before it listened`));
			});
		});
		// A later end is handled by whoever stops the process.
		this.ready.catch(() => undefined);
	}

	async setSlowness(factor: number): Promise<void> {
		await this.ask('slowness', factor);
	}

	async leave(): Promise<void> {
		await this.ask('leave');
	}

	async runs(): Promise<LoadTargetRun[]> {
		return await this.ask('runs') as LoadTargetRun[];
	}

	private async ask(type: TargetCommand['type'], value?: number): Promise<unknown> {
		this.nextIdentifier += 1;
		const identifier = this.nextIdentifier;
		return new Promise(resolve => {
			this.waiting.set(identifier, resolve);
			this.process.send({identifier, type, value});
		});
	}
}
