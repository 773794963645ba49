/**
 * Injects the faults of an experiment at their scheduled times.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {Fault} from './experiment-file.js';
import type {LoadFleet} from './load-fleet.js';

type FaultOf<Type extends Fault['type']> = Extract<Fault, {type: Type}>;
type FaultHandlers = {[Type in Fault['type']]: (fault: FaultOf<Type>) => Promise<void>};

/** Time at which an instance began to leave, in milliseconds since the epoch. @public */
export type Leaving = {instance: string; at: number};

/** @public */
export class FaultSchedule {
	readonly leavings: Leaving[] = [];

	private readonly handlers: FaultHandlers = {
		slow: async fault => {
			await this.setSlowdownFactor(fault.service, fault.factor);
			await this.wait(fault.seconds);
			await this.setSlowdownFactor(fault.service, 1);
		},
		// The planned arrivals already include the surge.
		async surge() {
			await Promise.resolve();
		},
		kill: async fault => {
			const instance = this.fleet.instance(fault.instance);
			instance.unavailable = true;
			instance.node.kill('SIGKILL');
			if (fault.restartAfterSeconds !== undefined) {
				await this.wait(fault.restartAfterSeconds);
				await this.fleet.restartNode(fault.instance);
				instance.unavailable = false;
			}
		},
		pause: async fault => {
			const {node} = this.fleet.instance(fault.instance);
			node.kill('SIGSTOP');
			await this.wait(fault.seconds);
			node.kill('SIGCONT');
		},
		leave: async fault => {
			const instance = this.fleet.instance(fault.instance);
			instance.unavailable = true;
			this.leavings.push({instance: fault.instance, at: Date.now()});
			await instance.target.leave();
			if (fault.publishAfterSeconds !== undefined) {
				await this.wait(fault.publishAfterSeconds);
				this.fleet.publishFleet(this.leavings.map(leaving => leaving.instance));
			}
		},
		'platform-down': async fault => {
			this.fleet.platform.setAvailable(false);
			await this.wait(fault.seconds);
			this.fleet.platform.setAvailable(true);
		},
	};

	constructor(private readonly fleet: LoadFleet, private readonly signal: AbortSignal, private readonly report: (line: string) => void) {}

	/** Injects the faults; resolves when all have ended. */
	async run(faults: readonly Fault[]): Promise<void> {
		await Promise.all(faults.map(async fault => {
			try {
				await this.wait(fault.at);
				this.report(`fault: ${JSON.stringify(fault)}`);
				await (this.handlers[fault.type] as (fault: Fault) => Promise<void>)(fault);
			} catch (error) {
				if (!this.signal.aborted) {
					this.report(`fault ${fault.type} failed: ${String(error)}`);
				}
			}
		}));
	}

	private async setSlowdownFactor(service: string, factor: number): Promise<void> {
		await Promise.all(this.fleet.instancesOf(service).map(async instance => instance.target.setSlowdownFactor(factor)));
	}

	private async wait(seconds: number): Promise<void> {
		await delay(seconds * 1000, undefined, {signal: this.signal});
	}
}
