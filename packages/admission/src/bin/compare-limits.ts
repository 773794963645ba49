/**
 * Compares the concurrency limit policies on simulated targets in virtual time and prints one line per run.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {limitPolicies, type LimitPolicyName} from '../lib/limit-policies.js';
import {targetModels, type TargetModelName} from '../lib/measurement/fake-target.js';
import {phases, runLoad, type LoadResult} from '../lib/measurement/load-run.js';

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		slots: {type: 'string', default: '60'},
		overloads: {type: 'string', default: '2,5,10'},
		policies: {type: 'string', default: [...Object.keys(limitPolicies), 'off'].join(',')},
		targets: {type: 'string', default: Object.keys(targetModels).join(',')},
	},
});

const percent = (share: number) => (share * 100).toFixed(1).padStart(6);

function formatLine(target: string, overload: number, policy: string, result: LoadResult): string {
	const columns = phases.flatMap(({name}) => [result.phases[name].goodput, result.phases[name].topServedShare].map(share => percent(share)));
	const recovery = Number.isFinite(result.recoveryMilliseconds) ? result.recoveryMilliseconds.toFixed(0) : 'never';
	return [target.padEnd(10), String(overload).padStart(3), policy.padEnd(18), ...columns, percent(result.wastedShare), recovery.padStart(7)].join(' ');
}

console.log(`goodput % and top-worth served % per phase (${phases.map(phase => phase.name).join(', ')}), wasted work %, recovery ms`);
for (const target of values.targets.split(',') as TargetModelName[]) {
	for (const overload of values.overloads.split(',').map(Number)) {
		for (const policy of values.policies.split(',')) {
			const result = await runLoad({
				target, overload, slots: Number(values.slots), seed: Number(values.seed),
				admission: policy === 'off' ? {controls: 'off'} : {limitPolicy: policy as LimitPolicyName},
			});
			process.stdout.write(`${formatLine(target, overload, policy, result)}\n`);
		}
	}
}
