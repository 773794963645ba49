/**
 * Formats the result of the control-cost benchmark as Markdown.
 */
import type {ControlCost, ControlResult} from './control-bench.js';

/** Allowed cost of control from section 1.3 of the design page. */
const controlBounds = '2.1% of a core, 32 MB and 2 KB/s';

type Slope = {cpuPercent: number; memoryKilobytes: number; bytesPerSecond: number};

/** Returns the change in cost between two cases, per unit. @public */
export function slope(from: ControlCost, to: ControlCost, units: number): Slope {
	return {
		cpuPercent: (to.cpu - from.cpu) * 100 / units, memoryKilobytes: (to.residentBytes - from.residentBytes) / 1000 / units,
		bytesPerSecond: (to.bytesPerSecond - from.bytesPerSecond) / units,
	};
}

/** @public */
export function formatControlResult(result: ControlResult): string {
	const {machine, costs} = result;
	const singleNode = costs[0]!;
	const idle = costs.filter(cost => cost.callsPerNode === 0 && cost.services === costs[1]!.services);
	const [smallest, largest] = [idle[0]!, idle.at(-1)!];
	const services = costs.find(cost => cost.callsPerNode === 0 && cost.services > smallest.services);
	const calls = costs.filter(cost => cost.nodes === smallest.nodes && cost.callsPerNode > 0);
	const withoutServices = services === undefined ? undefined : idle.find(cost => cost.nodes === services.nodes);
	const rows: Array<[string, Slope]> = [
		['each further node in the fleet, idle', slope(smallest, largest, Math.max(1, largest.nodes - smallest.nodes))],
		...(services === undefined || withoutServices === undefined
			? []
			: [['each further service, idle', slope(withoutServices, services, services.services - withoutServices.services)] as [string, Slope]]),
		...(calls.length === 0 ? [] : [['each call/s at the node', slope(smallest, calls.at(-1)!, calls.at(-1)!.callsPerNode)] as [string, Slope]]),
	];
	return [
		`Started ${result.startedAt}; ${machine.cpu}, ${machine.cores} cores, Node.js ${machine.node}, load average ${machine.loadAverage.toFixed(1)} before the run; `
		+ `${result.seconds} s per case, means over all nodes. Bytes are those read and written by system calls of the process.`,
		'',
		`The design size allows ${controlBounds} for control in each node, on top of the process itself (one node alone).`,
		'',
		'| nodes | services | calls/s at each node | CPU, % of a core | resident MB | KB/s | CPU over alone | MB over alone | KB/s over alone | calls whole |',
		'|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|',
		...costs.map(cost => {
			const over = slope(singleNode, cost, 1);
			const cells = [
				cost.nodes,
				cost.services,
				cost.callsPerNode,
				(cost.cpu * 100).toFixed(2),
				(cost.residentBytes / 1e6).toFixed(1),
				(cost.bytesPerSecond / 1000).toFixed(2),
				over.cpuPercent.toFixed(2),
				(over.memoryKilobytes / 1000).toFixed(1),
				(over.bytesPerSecond / 1000).toFixed(2),
				`${cost.whole} of ${cost.sent}`,
			];
			return `| ${cells.join(' | ')} |`;
		}),
		'',
		'| slope per node process | CPU, % of a core | KB resident | bytes/s |',
		'|---|--:|--:|--:|',
		...rows.map(([name, {cpuPercent, memoryKilobytes, bytesPerSecond}]) =>
			`| ${name} | ${cpuPercent.toFixed(4)} | ${memoryKilobytes.toFixed(1)} | ${bytesPerSecond.toFixed(1)} |`),
		'',
	].join('\n');
}
