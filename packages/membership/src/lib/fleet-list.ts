/**
 * The published fleet list and its validation.
 */
import {Buffer} from 'node:buffer';
import {isIP} from 'node:net';
import {RecordError} from '@hemlockthread/verdict';
import {z} from 'zod';

/** @public */
export const fleetListLimits = {
	/** Largest value that the configuration service stores. */
	maximumBytes: 1_000_000,
	maximumNameLength: 128,
	maximumSlots: 100_000,
	/** Faults listed in an error message. A value in the wrong unit, for example, causes one fault per instance. */
	listedFaults: 5,
} as const;

const nameSchema = z.string().min(1).max(fleetListLimits.maximumNameLength);
const addressSchema = z.string().refine(text => isAddress(text), {error: 'must be ip:port'});

/**
 * Unknown fields are ignored, because the platform writes the list and may add fields before nodes read them.
 */
const instanceSchema = z.object({
	name: nameSchema,
	service: nameSchema,
	failureDomain: nameSchema,
	region: nameSchema,
	peerAddress: addressSchema,
	callerAddress: addressSchema,
	operatorAddress: addressSchema,
	/** Requests that the target processes concurrently. */
	slots: z.int().min(1).max(fleetListLimits.maximumSlots),
	state: z.enum(['live', 'leaving']),
});

const fleetListSchema = z.object({
	schemaVersion: z.literal(1),
	instances: z.array(instanceSchema),
});

/** One instance of the fleet list. Addresses are `ip:port`. @public */
export type FleetInstance = z.infer<typeof instanceSchema>;

/** @public */
export type FleetList = z.infer<typeof fleetListSchema>;

/**
 * Parses a fleet list.
 *
 * @throws RecordError with the paths of the faults. An invalid list is refused as a whole.
 * @public
 */
export function parseFleetList(text: string): FleetList {
	if (Buffer.byteLength(text) > fleetListLimits.maximumBytes) {
		throw new RecordError(`fleet list is larger than ${fleetListLimits.maximumBytes} bytes`);
	}

	const result = fleetListSchema.safeParse(parseJson(text));
	if (!result.success) {
		throw new RecordError(describeFaults(result.error.issues.map(issue => ({path: issue.path, message: issue.message}))));
	}

	const duplicates = findDuplicates(result.data.instances);
	if (duplicates.length > 0) {
		throw new RecordError(describeFaults(duplicates));
	}

	return result.data;
}

type Fault = {path: readonly PropertyKey[]; message: string};

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch (error) {
		throw new RecordError('fleet list is not JSON', {cause: error});
	}
}

function isAddress(text: string): boolean {
	const separator = text.lastIndexOf(':');
	const host = text.slice(0, Math.max(0, separator)).replace(/^\[(.*)\]$/v, '$1');
	const port = text.slice(separator + 1);
	return isIP(host) !== 0 && /^\d{1,5}$/v.test(port) && Number(port) >= 1 && Number(port) <= 65_535;
}

/** Finds duplicate names and peer addresses, which would make nodes choose different neighbours and targets. */
function findDuplicates(instances: readonly FleetInstance[]): Fault[] {
	const faults: Fault[] = [];
	for (const field of ['name', 'peerAddress'] as const) {
		const seen = new Map<string, number>();
		for (const [index, instance] of instances.entries()) {
			const first = seen.get(instance[field]);
			if (first === undefined) {
				seen.set(instance[field], index);
			} else {
				faults.push({path: ['instances', index, field], message: `repeats the value of /instances/${first}/${field}`});
			}
		}
	}

	return faults;
}

function describeFaults(faults: readonly Fault[]): string {
	const listed = faults.slice(0, fleetListLimits.listedFaults).map(fault => `/${fault.path.map(String).join('/')}: ${fault.message}`);
	const more = faults.length > listed.length ? [`and ${faults.length - listed.length} more`] : [];
	return `fleet list: ${[...listed, ...more].join('; ')}`;
}
