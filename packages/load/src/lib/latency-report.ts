/**
 * Formats the result of the latency benchmark as Markdown and compares it with the bounds of the design page.
 */
import type {LatencyResult, PathLatency, PathName} from './latency-bench.js';

/** The bounds of section 1.2 of the design page. @public */
export const latencyBounds = {addedMilliseconds: 0.51, ofBareRelay: 1.2} as const;

/** @public */
export type LatencyCheck = {
	addedMedian: number;
	addedP99: number;
	/** Added p99 latency of the two-node path as a multiple of that of the bare relay. */
	ofBareRelay: number;
	ofBareRelayMedian: number;
	/** CPU time per call as a multiple of that of the bare relay. */
	ofBareRelayCpu: number;
	addedMet: boolean;
	ratioMet: boolean;
};

/** Compares the latency that the two-node path adds to a direct call with the bounds, for one rate. @public */
export function checkLatencyBounds(paths: readonly PathLatency[]): LatencyCheck {
	const latencyOf = (name: PathName) => paths.find(({path}) => path === name)!;
	const direct = latencyOf('direct');
	const nodes = latencyOf('two nodes');
	const relay = latencyOf('bare relay');
	const addedP99 = nodes.p99 - direct.p99;
	// Under interference on the machine the relay can measure faster than the direct call; the ratio is undefined then.
	const ofBareRelay = relay.p99 > direct.p99 ? addedP99 / (relay.p99 - direct.p99) : Number.NaN;
	return {
		addedMedian: nodes.median - direct.median, addedP99, ofBareRelay,
		ofBareRelayMedian: (nodes.median - direct.median) / (relay.median - direct.median),
		ofBareRelayCpu: nodes.cpuMicroseconds / relay.cpuMicroseconds,
		addedMet: addedP99 <= latencyBounds.addedMilliseconds, ratioMet: ofBareRelay <= latencyBounds.ofBareRelay,
	};
}

/** @public */
export function formatLatencyResult(result: LatencyResult): string {
	const mark = (met: boolean) => met ? 'met' : '**missed**';
	const {machine} = result;
	return [
		`Started ${result.startedAt}; ${machine.cpu}, ${machine.cores} cores, Node.js ${machine.node}, load average ${machine.loadAverage.toFixed(1)} before the run; `
		+ `${result.seconds} s per path and rate, 13-byte body, keep-alive, constant open-loop arrivals.`,
		'',
		'| calls/s | path | calls | failed | median ms | p90 ms | p99 ms | added median | added p99 | CPU µs per call |',
		'|--:|---|--:|--:|--:|--:|--:|--:|--:|--:|',
		...result.rates.flatMap(({rate, paths}) => paths.map(({path, calls, failed, median, p90, p99, cpuMicroseconds}) => {
			const added = (value: number, direct: number) => path === 'direct' ? '' : (value - direct).toFixed(3);
			const cells = [
				rate,
				path,
				calls,
				failed,
				median.toFixed(3),
				p90.toFixed(3),
				p99.toFixed(3),
				added(median, paths[0]!.median),
				added(p99, paths[0]!.p99),
				path === 'direct' ? '' : cpuMicroseconds.toFixed(0),
			];
			return `| ${cells.join(' | ')} |`;
		})),
		'',
		`| calls/s | added p99, bound ${latencyBounds.addedMilliseconds} ms | | added p99 of bare relay, bound ${latencyBounds.ofBareRelay} `
		+ '| | added median of bare relay | CPU per call of bare relay |',
		'|--:|--:|---|--:|---|--:|--:|',
		...result.rates.map(({rate, paths}) => {
			const check = checkLatencyBounds(paths);
			const cells = [
				rate,
				check.addedP99.toFixed(3),
				mark(check.addedMet),
				check.ofBareRelay.toFixed(2),
				mark(check.ratioMet),
				check.ofBareRelayMedian.toFixed(2),
				check.ofBareRelayCpu.toFixed(2),
			];
			return `| ${cells.join(' | ')} |`;
		}),
		'',
	].join('\n');
}
