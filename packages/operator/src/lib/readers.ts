/**
 * Reads input files, published records of the configuration service, and the state of nodes through their operators listeners.
 */
import {readFileSync} from 'node:fs';
import wreck from '@hapi/wreck';
import {formatFaults} from '@hemlockthread/documents';
import type {FleetInstance} from '@hemlockthread/membership';
import {z} from 'zod';
import {checkFleetList} from './fleet-list-schema.js';
import {InputError, UnreachableError} from './operator-command.js';

const readTimeoutMilliseconds = 3000;
const maximumResponseBytes = 8 * 1024 * 1024;

const publishedSchema = z.object({key: z.string(), revision: z.int().min(0), value: z.string()});

/** A published record of the configuration service. @internal */
export type Published = z.infer<typeof publishedSchema>;

/** Keys of the records that nodes read. @internal */
export const recordKeys = ['policy', 'fleet'] as const;

type HttpResponse = {status: number; text: string};

/** @internal */
export function readInputFile(path: string): string {
	try {
		return readFileSync(path, 'utf8');
	} catch (error) {
		throw new InputError(`file ${path} can't be read: ${(error as Error).message}`);
	}
}

/** Reads a record newer than revision `after`; undefined if none is published within the wait. @internal */
export async function readPublished(
	platformUrl: string,
	key: string,
	{after = 0, waitMilliseconds = 0, signal}: {after?: number; waitMilliseconds?: number; signal?: AbortSignal} = {},
): Promise<Published | undefined> {
	const url = `${platformUrl.replace(/\/$/v, '')}/configuration/${encodeURIComponent(key)}?after=${after}&waitMilliseconds=${waitMilliseconds}`;
	const {status, text} = await get(url, readTimeoutMilliseconds + waitMilliseconds, signal);
	if (status === 204 || status === 404) {
		return undefined;
	}

	const record = status === 200 ? publishedSchema.safeParse(parseJson(text)) : undefined;
	if (record?.success !== true) {
		throw new UnreachableError(`${url} returned status ${status} and no valid record`);
	}

	return record.data;
}

/** Reads a JSON object from a node's operators listener. @internal */
export async function readNode<Value = Record<string, unknown>>(address: string, path: string): Promise<Value> {
	const url = `http://${address}${path}`;
	const {status, text} = await get(url, readTimeoutMilliseconds);
	const value = parseJson(text);
	if (status !== 200 || typeof value !== 'object' || value === null) {
		throw new UnreachableError(`${url} returned status ${status}`);
	}

	return value as Value;
}

/** Reads the published fleet list and returns its live instances. @internal */
export async function readLiveInstances(platformUrl: string): Promise<FleetInstance[]> {
	const published = await readPublished(platformUrl, 'fleet');
	if (published === undefined) {
		throw new UnreachableError('no fleet list is published, so the nodes are not known');
	}

	return liveInstances(published.value);
}

/** @internal */
export function liveInstances(fleetList: string): FleetInstance[] {
	const check = checkFleetList(fleetList);
	if (!check.valid) {
		throw new UnreachableError(`the published fleet list is invalid, so the nodes are not known\n${formatFaults(check.faults)}`);
	}

	return check.value.instances.filter(instance => instance.state === 'live');
}

async function get(url: string, timeout: number, signal?: AbortSignal): Promise<HttpResponse> {
	const request = wreck.request('GET', url, {timeout});
	const abort = () => {
		request.req.destroy();
	};

	signal?.addEventListener('abort', abort, {once: true});
	try {
		const response = await request;
		const body = await wreck.read(response, {maxBytes: maximumResponseBytes, timeout});
		return {status: response.statusCode ?? 0, text: body.toString()};
	} catch (error) {
		throw new UnreachableError(`${url} can't be read: ${(error as Error).message}`);
	} finally {
		signal?.removeEventListener('abort', abort);
	}
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
