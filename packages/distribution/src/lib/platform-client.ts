/**
 * HTTP client of the configuration service, for single reads and long polls.
 */
import {Buffer} from 'node:buffer';
import {ProtocolError} from '@hemlockthread/verdict';
import wreck from '@hapi/wreck';
import {z} from 'zod';

const recordSchema = z.object({key: z.string(), revision: z.int().min(0), value: z.string()});

/** @public */
export type PlatformRecord = z.infer<typeof recordSchema>;

/** A record, `unchanged` if there is none newer, or `absent` if the key does not exist. @public */
export type PlatformResponse = {type: 'record'; record: PlatformRecord} | {type: 'unchanged'} | {type: 'absent'};

/** @public */
export type PlatformRead = {key: string; after: number; waitMilliseconds: number; signal: AbortSignal};

const readTimeoutMilliseconds = 2000;
/** JSON escapes can make a value of 1 MB several times as long. */
const maximumResponseBytes = 4 * 1024 * 1024;

/**
 * Client of `GET /configuration/{key}?after={revision}&waitMilliseconds={wait}`.
 *
 * @public
 */
export class PlatformClient {
	private readonly client: typeof wreck;

	constructor(baseUrl: string) {
		this.client = wreck.defaults({baseUrl});
	}

	/**
	 * Requests the record of a key if its revision is higher than `after`. The service waits up to `waitMilliseconds` for it.
	 *
	 * @throws an error when the service can't be reached or violates its protocol.
	 */
	async read({key, after, waitMilliseconds, signal}: PlatformRead): Promise<PlatformResponse> {
		signal.throwIfAborted();
		const request = this.client.request('GET', `/configuration/${key}?after=${after}&waitMilliseconds=${waitMilliseconds}`, {
			timeout: waitMilliseconds + readTimeoutMilliseconds,
		});
		const onAbort = () => {
			request.req.destroy();
		};

		signal.addEventListener('abort', onAbort, {once: true});
		try {
			const response = await request;
			const payload = await wreck.read(response, {maxBytes: maximumResponseBytes, timeout: readTimeoutMilliseconds});
			return parseResponse(key, response.statusCode ?? 0, Buffer.from(payload as Uint8Array).toString());
		} finally {
			signal.removeEventListener('abort', onAbort);
		}
	}
}

function parseResponse(key: string, status: number, payload: string): PlatformResponse {
	if (status === 204) {
		return {type: 'unchanged'};
	}

	if (status === 404) {
		return {type: 'absent'};
	}

	if (status !== 200) {
		throw new ProtocolError(`configuration service returned status ${status} for key "${key}"`);
	}

	const result = recordSchema.safeParse(JSON.parse(payload));
	if (!result.success || result.data.key !== key) {
		throw new ProtocolError(`configuration service returned a malformed record for key "${key}"`);
	}

	return {type: 'record', record: result.data};
}
