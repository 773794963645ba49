/**
 * Schema of the fleet list, for validation before publication and for editors.
 */
import {isIP} from 'node:net';
import {checkDocument, createIssue, type DocumentCheck} from '@hemlockthread/documents';
import {parseFleetList, type FleetList} from '@hemlockthread/membership';
import {z} from 'zod';

const maximumListBytes = 1_000_000;

const name = (description: string) => z.string().min(1).max(128).meta({description});
const address = (description: string) => z.string().refine(isAddress, 'an address such as "127.0.0.1:7103"').meta({description});

const fleetListVersion1 = z.object({
	schemaVersion: z.literal(1),
	instances: z.array(z.object({
		name: name('Name of the instance, unique in the list.'),
		service: name('Service that the instance serves.'),
		failureDomain: name('Failure domain of the instance.'),
		region: name('Region of the instance.'),
		peerAddress: address('IP number and port of the node\'s listener for peers.'),
		callerAddress: address('IP number and port of the node\'s listener for callers.'),
		operatorAddress: address('IP number and port of the node\'s listener for operators.'),
		slots: z.int().min(1).max(100_000).meta({description: 'Requests that the target works on at once.'}),
		state: z.enum(['live', 'leaving']).meta({description: 'Whether the instance takes new work.'}),
	})),
});

/** @public */
export const fleetListSchema = fleetListVersion1.superRefine(({instances}, context) => {
	const seen = new Map<string, number>();
	for (const [index, instance] of instances.entries()) {
		for (const [field, value] of [['name', instance.name], ['peerAddress', instance.peerAddress]] as const) {
			const earlier = seen.get(`${field} ${value}`);
			if (earlier !== undefined) {
				context.addIssue(createIssue(['instances', index, field], `a ${field} that no other instance has`, `"${value}", as at /instances/${earlier}`));
			}

			seen.set(`${field} ${value}`, earlier ?? index);
		}
	}
}).meta({title: 'hemlockthread fleet list, schema version 1'});

const schemas = new Map<number, z.ZodType<FleetList>>([[1, fleetListSchema]]);

/**
 * Validates a fleet list and returns its faults. Unknown keys are ignored.
 *
 * @public
 */
export function checkFleetList(text: string): DocumentCheck<FleetList> {
	const check = checkDocument(text, {maximumBytes: maximumListBytes, schema: schemas});
	if (!check.valid) {
		return check;
	}

	try {
		// The parser of the nodes decides: a list that they would refuse is invalid.
		parseFleetList(text);
		return check;
	} catch (error) {
		return {valid: false, faults: [{path: '', expected: 'a list that nodes accept', found: (error as Error).message}]};
	}
}

function isAddress(text: string): boolean {
	const parts = /^(?:\[(?<six>.+)\]|(?<four>[^:]+)):(?<port>\d{1,5})$/v.exec(text)?.groups;
	return parts !== undefined && isIP(parts.six ?? parts.four ?? '') !== 0 && Number(parts.port) >= 1 && Number(parts.port) <= 65_535;
}
