/**
 * Reads and watches the configuration service.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {ProtocolError} from '@hemlockthread/verdict';
import wreck from '@hapi/wreck';

/** @public */
export type PlatformRecord = {key: string; revision: number; value: string};

const readTimeoutMilliseconds = 2000;
const maximumAnswerBytes = 4 * 1024 * 1024;

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

	/** Returns the newest record of the key above a revision; undefined when there is none within the wait. */
	async read(key: string, after: number, waitMilliseconds: number, signal: AbortSignal): Promise<PlatformRecord | undefined> {
		const request = this.client.request('GET', `/configuration/${key}?after=${after}&waitMilliseconds=${waitMilliseconds}`, {
			timeout: waitMilliseconds + readTimeoutMilliseconds,
		});
		const abort = () => {
			request.req.destroy();
		};

		signal.addEventListener('abort', abort, {once: true});
		try {
			return await this.readAnswer(key, await request);
		} finally {
			signal.removeEventListener('abort', abort);
		}
	}

	private async readAnswer(key: string, response: IncomingMessage): Promise<PlatformRecord | undefined> {
		const payload = await wreck.read(response, {maxBytes: maximumAnswerBytes, timeout: readTimeoutMilliseconds});
		if (response.statusCode !== 200) {
			return undefined;
		}

		const record = JSON.parse(Buffer.from(payload as Uint8Array).toString()) as PlatformRecord;
		if (record.key !== key || !Number.isSafeInteger(record.revision) || typeof record.value !== 'string') {
			throw new ProtocolError(`configuration service answered "${key}" with a malformed record`);
		}

		return record;
	}
}
