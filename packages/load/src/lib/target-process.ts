/**
 * Starts a target in a child process and sends it commands over IPC.
 */
import {fork, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import type {LoadTargetPlan, LoadTargetRun} from './load-target.js';

const targetBinary = fileURLToPath(new URL('../bin/load-target.js', import.meta.url));
const readyIdentifier = 0;

/** @public */
export type TargetCommand = {identifier: number; type: 'slowness' | 'leave' | 'runs'; value?: number};

type CommandResponse = {identifier: number; value?: unknown};

/** @public */
export class TargetProcess {
	readonly process: ChildProcess;
	/** Resolves when the target listens; rejects if the process exits first. */
	readonly ready: Promise<void>;
	private nextIdentifier = readyIdentifier;
	private readonly pendingCommands = new Map<number, (value: unknown) => void>();

	constructor(plan: LoadTargetPlan) {
		this.process = fork(targetBinary, [JSON.stringify(plan)], {stdio: ['ignore', 'inherit', 'inherit', 'ipc'], serialization: 'advanced'});
		this.process.on('message', (response: CommandResponse) => {
			this.pendingCommands.get(response.identifier)?.(response.value);
			this.pendingCommands.delete(response.identifier);
		});
		this.ready = new Promise((resolve, reject) => {
			this.pendingCommands.set(readyIdentifier, () => {
				resolve();
			});
			this.process.once('exit', code => {
				reject(new Error(`target of service ${plan.service} exited with status ${code} before it listened`));
			});
		});
		// Nothing may await this promise when the fleet stops early; its rejection must not be unhandled then.
		this.ready.catch(() => undefined);
	}

	async setSlowdownFactor(factor: number): Promise<void> {
		await this.sendCommand('slowness', factor);
	}

	async leave(): Promise<void> {
		await this.sendCommand('leave');
	}

	async runs(): Promise<LoadTargetRun[]> {
		return await this.sendCommand('runs') as LoadTargetRun[];
	}

	private async sendCommand(type: TargetCommand['type'], value?: number): Promise<unknown> {
		this.nextIdentifier += 1;
		const identifier = this.nextIdentifier;
		return new Promise(resolve => {
			this.pendingCommands.set(identifier, resolve);
			this.process.send({identifier, type, value});
		});
	}
}
