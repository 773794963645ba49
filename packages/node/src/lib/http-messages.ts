/**
 * Converts HTTP requests to calls and results of calls to HTTP responses.
 */
import type {Buffer} from 'node:buffer';
import type {Request, ResponseObject, ResponseToolkit} from '@hapi/hapi';
import {Verdict, refusalRules} from '@hemlockthread/verdict';
import {Header, type CallMessage, type CallResult} from './call.js';

const forwardedRequestHeaders = ['content-type', 'accept', 'accept-language', 'content-encoding', 'if-match', 'if-none-match'] as const;
const emptyBody = new Uint8Array(0);

/** @public */
export function header(request: Request, name: string): string | undefined {
	const value: unknown = request.headers[name];
	return typeof value === 'string' ? value : undefined;
}

/** Reads the message of a request to `/{prefix}/{service}/{kind}{path}`. @public */
export function readMessage(request: Request): CallMessage {
	const headers: Record<string, string> = {};
	for (const name of forwardedRequestHeaders) {
		const value = header(request, name);
		if (value !== undefined) {
			headers[name] = value;
		}
	}

	const parameters = request.params as Record<string, string | undefined>;
	const rest = parameters.path;
	return {
		method: request.method.toUpperCase(),
		path: (rest === undefined ? '' : `/${rest}`) + request.url.search,
		headers,
		body: (request.payload as Buffer | null) ?? emptyBody,
	};
}

/** Returns a signal that is aborted when the sender of a request closes its connection before the response. @public */
export function disconnectSignal(request: Request): AbortSignal {
	const controller = new AbortController();
	request.raw.res.once('close', () => {
		if (!request.raw.res.writableFinished) {
			controller.abort();
		}
	});
	return controller.signal;
}

/** Writes the result of a call as an HTTP response. @public */
export function writeResult(toolkit: ResponseToolkit, result: CallResult, message = 'call was refused'): ResponseObject {
	const hasResponse = result.verdict === Verdict.ran;
	const response = hasResponse
		? toolkit.response(result.body).code(result.status)
		: toolkit.response({verdict: result.verdict, reason: result.reason, message}).code(statusOf(result));
	response.header(Header.verdict, result.verdict);
	if (hasResponse) {
		for (const [name, value] of Object.entries(result.headers)) {
			response.header(name, value);
		}
	}

	if (result.reason !== undefined) {
		response.header(Header.reason, result.reason);
	}

	if (result.nextIdentity !== undefined) {
		response.header(Header.idempotencyKey, result.nextIdentity);
	}

	if (result.retryAfterMilliseconds !== undefined) {
		response.header('retry-after', String(Math.ceil(result.retryAfterMilliseconds / 1000)));
	}

	return response;
}

function statusOf(result: CallResult): number {
	return result.reason === undefined ? 502 : refusalRules[result.reason].status;
}
