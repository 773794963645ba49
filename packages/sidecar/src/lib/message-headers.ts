/**
 * Header lists in the flat form `[name, value, name, value, …]` that the HTTP parsers produce.
 */

/** @public */
export type HeaderList = readonly string[];

/** Hop-by-hop headers, which are never forwarded (RFC 9110, section 7.6.1). */
const hopByHopHeaders = new Set([
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

/** Returns the first value of a header; `name` is in lower case. */
export function headerValue(headers: HeaderList, name: string): string | undefined {
	for (let index = 0; index < headers.length; index += 2) {
		const candidate = headers[index]!;
		if (candidate.length === name.length && candidate.toLowerCase() === name) {
			return headers[index + 1];
		}
	}

	return undefined;
}

/** Returns the number of times that a header occurs; `name` is in lower case. */
export function headerCount(headers: HeaderList, name: string): number {
	let count = 0;
	for (let index = 0; index < headers.length; index += 2) {
		if (headers[index]!.toLowerCase() === name) {
			count += 1;
		}
	}

	return count;
}

/**
 * Returns the headers to forward: all except hop-by-hop headers, headers that the `Connection` header names, and headers that this
 * hop replaces.
 */
export function forwardedHeaders(headers: HeaderList, replaced: ReadonlySet<string>): string[] {
	const named = headerValue(headers, 'connection');
	const dropped = named === undefined || named === 'keep-alive' || named === 'close'
		? undefined
		: new Set(named.toLowerCase().split(',').map(part => part.trim()));
	const forwarded: string[] = [];
	for (let index = 0; index < headers.length; index += 2) {
		const name = headers[index]!;
		const lower = name.toLowerCase();
		if (hopByHopHeaders.has(lower) || replaced.has(lower) || dropped?.has(lower) === true) {
			continue;
		}

		forwarded.push(name, headers[index + 1]!);
	}

	return forwarded;
}
