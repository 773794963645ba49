/**
 * Tests of the time that the parsers take for hostile bytes, and of the field lines that they accept.
 */
import {Buffer} from 'node:buffer';
import {HTTPParser} from 'http-parser-js';
import {describe, expect, it} from 'vitest';
import {RequestParser, ResponseParser} from './http-parsers.js';

/** The usual limit of the headers of a request. */
const headBytes = 16_384;
/** Hundreds of times the time that a head of that size needs; expressions that backtrack take seconds. */
const maximumMilliseconds = 100;

const blanks = ' '.repeat(headBytes);
const tabs = '\t'.repeat(headBytes);

/** Guards against a process that computes for seconds because of one line (time that grows faster than the number of bytes). */
describe('a head is read in time proportional to its bytes, with a line of', () => {
	it.each<[string, string]>([
		['blanks and a control character', `X-Note:${blanks}\u0001`],
		['blanks inside the value', `X-Note: a${blanks}b`],
		['tabs inside the value', `X-Note: a${tabs}b`],
		['pairs of blanks and letters', `X-Note:${' a'.repeat(headBytes / 2)}\u0001`],
		['blanks before the colon', `X-Note${blanks}: a`],
		['a name without a colon', 'n'.repeat(headBytes)],
		['colons', ':'.repeat(headBytes)],
		['a name with colons', `X${':'.repeat(headBytes)}\u0001`],
		['a length of blanks', `Content-Length:${blanks}x`],
		['a keep-alive without an end', `Keep-Alive: ${'timeout='.repeat(headBytes / 8)}`],
	])('%s', (_name, line) => {
		const startedAt = performance.now();
		new RequestParser(HTTPParser.REQUEST).execute(Buffer.from(`GET / HTTP/1.1\r\nHost: a\r\n${line}\r\n\r\n`, 'latin1'));
		new ResponseParser(HTTPParser.RESPONSE).execute(Buffer.from(`HTTP/1.1 200 OK\r\n${line}\r\n\r\n`, 'latin1'));
		expect(performance.now() - startedAt).toBeLessThan(maximumMilliseconds);
	});

	it.each<[string, string]>([
		['a request line', `GET /${'a '.repeat(headBytes)}`],
		['a request line of methods', `${'GET-'.repeat(headBytes)} / HTTP`],
	])('%s', (_name, line) => {
		const startedAt = performance.now();
		new RequestParser(HTTPParser.REQUEST).execute(Buffer.from(`${line}\r\n\r\n`, 'latin1'));
		expect(performance.now() - startedAt).toBeLessThan(maximumMilliseconds);
	});

	it('a chunk size', () => {
		const parser = new RequestParser(HTTPParser.REQUEST);
		parser.execute(Buffer.from('PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n', 'latin1'));
		const startedAt = performance.now();
		parser.execute(Buffer.from(`1${blanks}\u0001\r\n`, 'latin1'));
		expect(performance.now() - startedAt).toBeLessThan(maximumMilliseconds);
	});
});

describe('a field line', () => {
	const fieldsOf = (line: string) => {
		let headers: string[] | undefined;
		const parser = new RequestParser(HTTPParser.REQUEST);
		parser[HTTPParser.kOnHeadersComplete] = info => {
			headers = info.headers;
			return 0;
		};

		parser.execute(Buffer.from(`GET / HTTP/1.1\r\n${line}\r\n\r\n`, 'latin1'));
		return headers;
	};

	it.each<[string, string, string[] | undefined]>([
		['without blanks', 'a:b', ['a', 'b']],
		['with blanks around the value', 'a: \t b \t ', ['a', 'b']],
		['with blanks inside the value', 'a: b  c', ['a', 'b  c']],
		['with an empty value', 'a:', ['a', '']],
		['with a value of blanks', 'a: \t ', ['a', '']],
		['with a colon in its value', 'a: b:c', ['a', 'b:c']],
		['with bytes above ASCII', 'a: \u00E9', ['a', '\u00E9']],
		['with a blank before the colon', 'a : b', undefined],
		['without a colon', 'a', undefined],
		['without a name', ': b', undefined],
		['folded', 'a: b\r\n c', undefined],
		['with a control character in its value', 'a: b\u0001c', undefined],
		['with a control character at the end', 'a: b \u007F', undefined],
		['with a separator in its name', 'a"b: c', undefined],
	])('%s', (_name, line, expected) => {
		expect(fieldsOf(line)).toEqual(expected);
	});
});
