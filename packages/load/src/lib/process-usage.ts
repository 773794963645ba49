/**
 * Reads CPU time, memory and transferred bytes of running processes from /proc, and samples CPU use during a run.
 */
import {readFileSync} from 'node:fs';
import os from 'node:os';
import {performance} from 'node:perf_hooks';
import process from 'node:process';

/** Clock ticks per second of `/proc/{pid}/stat` on Linux. */
const ticksPerSecond = 100;
const userTimeField = 11;
const systemTimeField = 12;

/** @public */
export type ProcessUsage = {
	cpuMilliseconds: number;
	residentBytes: number;
	/** Bytes read and written by system calls, almost all of them on sockets. */
	transferredBytes: number;
};

/** Returns the usage of a process; undefined if it has ended. @public */
export function processUsage(pid: number): ProcessUsage | undefined {
	try {
		const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
		// The process name in parentheses may contain spaces.
		const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
		const ticks = Number(fields[userTimeField]) + Number(fields[systemTimeField]);
		const resident = /^VmRSS:\s+(?<kilobytes>\d+)/mv.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.kilobytes;
		const transfers = readFileSync(`/proc/${pid}/io`, 'utf8').matchAll(/^[rw]char: (?<bytes>\d+)/gmv);
		let transferredBytes = 0;
		for (const {groups} of transfers) {
			transferredBytes += Number(groups?.bytes);
		}

		return {cpuMilliseconds: ticks * 1000 / ticksPerSecond, residentBytes: Number(resident ?? 0) * 1024, transferredBytes};
	} catch {
		return undefined;
	}
}

/** Busy and total time of all cores since boot, in milliseconds. @public */
export function machineUsage(): {busy: number; total: number} {
	let busy = 0;
	let total = 0;
	for (const {times} of os.cpus()) {
		const all = times.user + times.nice + times.sys + times.irq + times.idle;
		total += all;
		busy += all - times.idle;
	}

	return {busy, total};
}

/** Describes the machine on which results were measured. @public */
export function machineDescription(): {cpu: string; cores: number; memoryGigabytes: number; node: string; loadAverage: number} {
	return {
		cpu: os.cpus()[0]?.model ?? 'unknown', cores: os.availableParallelism(), memoryGigabytes: Math.round(os.totalmem() / (2 ** 30)),
		node: process.version, loadAverage: os.loadavg()[0]!,
	};
}

/** Samples the CPU share of processes once per interval. @public */
export class UsageSampler {
	/** Highest share of one core used in an interval, by process name. */
	readonly peaks: Record<string, number> = {};
	/** Highest busy share of all cores in an interval, including other programs. */
	machinePeak = 0;
	private readonly last = new Map<string, {cpuMilliseconds: number; at: number}>();
	private lastMachine = machineUsage();
	private readonly timer: NodeJS.Timeout;

	constructor(private readonly processes: () => Iterable<[name: string, pid: number]>, intervalMilliseconds = 1000) {
		this.sample();
		this.timer = setInterval(() => {
			this.sample();
		}, intervalMilliseconds);
		this.timer.unref();
	}

	stop(): void {
		clearInterval(this.timer);
	}

	private sample(): void {
		const at = performance.now();
		for (const [name, pid] of this.processes()) {
			const usage = processUsage(pid);
			const before = this.last.get(`${name} ${pid}`);
			if (usage !== undefined && before !== undefined) {
				this.peaks[name] = Math.max(this.peaks[name] ?? 0, (usage.cpuMilliseconds - before.cpuMilliseconds) / (at - before.at));
			}

			if (usage !== undefined) {
				this.last.set(`${name} ${pid}`, {cpuMilliseconds: usage.cpuMilliseconds, at});
			}
		}

		const machine = machineUsage();
		if (machine.total > this.lastMachine.total) {
			this.machinePeak = Math.max(this.machinePeak, (machine.busy - this.lastMachine.busy) / (machine.total - this.lastMachine.total));
		}

		this.lastMachine = machine;
	}
}
