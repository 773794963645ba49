/**
 * Measures the duration of one target selection at the design size of the fleet.
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {FleetView, type FleetInstance} from '@hemlockthread/membership';
import {TargetSelector} from '../lib/target-selector.js';

const {values} = parseArgs({
	options: {
		instances: {type: 'string', default: '1300'},
		services: {type: 'string', default: '94'},
		choices: {type: 'string', default: '1000000'},
		seed: {type: 'string', default: '1'},
	},
});

const services = Number(values.services);
const failureDomains = 6;
const instances = Array.from({length: Number(values.instances)}, (_, index): FleetInstance => ({
	name: `instance-${index}`, service: `service-${index % services}`, failureDomain: `domain-${Math.floor(index / services) % failureDomains}`,
	region: 'region', peerAddress: `127.0.0.1:${index + 1}`, callerAddress: '', operatorAddress: '', slots: 100, state: 'live',
}));
const self = {instance: 'instance-0', failureDomain: 'domain-0'};
const fleet = new FleetView(self);
fleet.replace({schemaVersion: 1, instances});
const selector = new TargetSelector(self, fleet, {seed: Number(values.seed)});
const none = new Set<string>();
const choices = Number(values.choices);

function run(count: number): number {
	const startedAt = performance.now();
	for (let index = 0; index < count; index += 1) {
		const selection = selector.choose({
			service: `service-${index % services}`, rootKind: 'browse', priority: 200, exclude: none,
		});
		if (typeof selection !== 'string') {
			selection.finish('answered', 5, 100);
		}
	}

	return (performance.now() - startedAt) * 1000 / count;
}

run(choices / 10);
process.stdout.write(`${run(choices).toFixed(2)} microseconds per choice and finish, ${values.instances} instances, ${services} services\n`);
