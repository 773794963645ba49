/**
 * Worker process of `measure-records`, which runs some members of the fleet and reports when records take effect there.
 */
import process from 'node:process';
import {RecordMember, type RecordMemberPlan} from '../lib/record-member.js';

/** @internal */
export type WorkerCommand = {type: 'start'; plans: RecordMemberPlan[]} | {type: 'sample'} | {type: 'stop'};

/** Totals over all members of one worker. @internal */
export type WorkerSample = {
	members: number; ready: number; cpuMicroseconds: number; residentBytes: number; heapBytes: number; sentBytes: number; sentFrames: number;
	controlConnections: number; servedWhole: number; servedPatch: number;
};

/** Times are microseconds of the monotonic clock, which all processes of a machine share. @internal */
export type WorkerReport = {type: 'in-force'; key: string; revision: number; at: number} | {type: 'sample'; sample: WorkerSample};

const members: RecordMember[] = [];
const report = (message: WorkerReport) => process.send!(message);

async function start(plans: RecordMemberPlan[]): Promise<void> {
	for (const plan of plans) {
		const member = new RecordMember(plan);
		member.store.onChange(({key, revision}) => {
			report({
				type: 'in-force', key, revision, at: Number(process.hrtime.bigint() / 1000n),
			});
		});
		members.push(member);
	}

	await Promise.all(members.map(async member => member.start()));
}

function sample(): WorkerSample {
	const {user, system} = process.cpuUsage();
	const sum = (valueOf: (member: RecordMember) => number) => members.map(member => valueOf(member)).reduce((first, second) => first + second, 0);
	globalThis.gc?.();
	const {rss, heapUsed, external} = process.memoryUsage();
	return {
		members: members.length, ready: sum(member => member.store.get('policy') !== undefined && member.fleet.size > 0 ? 1 : 0),
		cpuMicroseconds: user + system, residentBytes: rss, heapBytes: heapUsed + external,
		sentBytes: sum(member => member.traffic.sentBytes), sentFrames: sum(member => member.traffic.sentFrames),
		controlConnections: sum(member => member.controlConnections),
		servedWhole: sum(member => member.metrics.total('records.served.whole')), servedPatch: sum(member => member.metrics.total('records.served.patch')),
	};
}

process.on('message', (command: WorkerCommand) => {
	if (command.type === 'start') {
		void start(command.plans);
	} else if (command.type === 'sample') {
		report({type: 'sample', sample: sample()});
	} else {
		process.exit(0);
	}
});
