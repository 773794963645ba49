/**
 * Header lists in the flat form `[name, value, name, value, …]` that the HTTP parsers produce.
 */

/** @public */
export type HeaderList = readonly string[];

/** Headers that concern one connection only and are never passed on (RFC 9110, section 7.6.1). */
const connectionHeaders = new Set([
	'connection',
	'keep-alive',
	'proxy-connection',
	'proxy-authenticate',
	'proxy-authorization',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
]);

/** Returns the first value of a header; the name is given in lower case. */
export function headerValue(headers: HeaderList, name: string): string | undefined {
	for (let index = 0; index < headers.length; index += 2) {
		const candidate = headers[index]!;
		if (candidate.length === name.length && candidate.toLowerCase() === name) {
			return headers[index + 1];
		}
	}

	return undefined;
}

/**
 * Copies the headers that a hop passes on: without those of the connection, those that the `Connection` header names, and
 * those that this hop sets itself.
 */
export function passedHeaders(headers: HeaderList, replaced: ReadonlySet<string>): string[] {
	const named = headerValue(headers, 'connection');
	const dropped = named === undefined || named === 'keep-alive' || named === 'close'
		? undefined
		: new Set(named.toLowerCase().split(',').map(part => part.trim()));
	const passed: string[] = [];
	for (let index = 0; index < headers.length; index += 2) {
		const name = headers[index]!;
		const lower = name.toLowerCase();
		if (connectionHeaders.has(lower) || replaced.has(lower) || dropped?.has(lower) === true) {
			continue;
		}

		passed.push(name, headers[index + 1]!);
	}

	return passed;
}
