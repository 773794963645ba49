/**
 * The published fleet list and its check.
 */
import {RecordError} from '@hemlockthread/verdict';

/** One instance of the fleet list. Addresses are `ip:port`. @public */
export type FleetInstance = {
	name: string;
	service: string;
	failureDomain: string;
	region: string;
	peerAddress: string;
	callerAddress: string;
	operatorAddress: string;
	/** Requests that the target works on at once. */
	slots: number;
	state: 'live' | 'leaving';
};

/** @public */
export type FleetList = {schemaVersion: 1; instances: FleetInstance[]};

const textFields = ['name', 'service', 'failureDomain', 'region', 'peerAddress', 'callerAddress', 'operatorAddress'] as const;

/**
 * Parses a fleet list.
 *
 * @throws RecordError naming the path of the first fault.
 * @public
 */
export function parseFleetList(text: string): FleetList {
	const value = JSON.parse(text) as Partial<FleetList>;
	if (value.schemaVersion !== 1 || !Array.isArray(value.instances)) {
		throw new RecordError('fleet list: schemaVersion must be 1 and instances must be a list');
	}

	for (const [index, instance] of value.instances.entries()) {
		for (const field of textFields) {
			if (typeof instance[field] !== 'string') {
				throw new RecordError(`fleet list: /instances/${index}/${field} must be a text`);
			}
		}
	}

	return value as FleetList;
}
