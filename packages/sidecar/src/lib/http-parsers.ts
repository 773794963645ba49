/**
 * Parsers for HTTP/1.1 messages: those of the library, made stricter where leniency would let a truncated response look complete or
 * allow request smuggling.
 */
import {HTTPParser} from 'http-parser-js';

HTTPParser.encoding = 'latin1';

const chunkSizePattern = /^[\da-f]{1,8}[ \t]*(?:;.*)?$/iv;
/** A field line by RFC 9112, section 5: a token directly followed by a colon, and a value without control characters; no line folding. */
const fieldLinePattern = /^(?<name>[\w!#$%\u0026'*+\-.`\|~^]+):[ \t]*(?<value>[\t\u0020-\u007E\u0080-\u00FF]*?)[ \t]*$/v;

/** Maximum line length, equal to the library's limit for a head; the library does not limit chunk and trailer lines. */
const maximumLineLength = 80 * 1024;
/** Maximum number of lines in a head or in trailers; the default of Node.js. */
const maximumFieldLines = 2000;

/** Head of a response as the library provides it. @internal */
export type ParsedResponse = {statusCode: number; headers: string[]; shouldKeepAlive: boolean};

/** Head of a request as the library provides it. @internal */
export type ParsedRequest = {
	/** Index into `HTTPParser.methods`. */
	method: number;
	url: string;
	headers: string[];
	versionMajor: number;
	versionMinor: number;
	shouldKeepAlive: boolean;
	upgrade: boolean;
};

/** Parser state and methods that the library does not declare as public. */
type ParserState = {
	offset: number;
	end: number;
	state: string;
	body_bytes: number;
	/** The received part of the current line. */
	line: string;
	consumeLine(): string | undefined;
};

type ParserInternals = {
	consumeLine: (this: ParserState) => string | undefined;
	BODY_CHUNKHEAD: (this: ParserState) => void;
	parseHeader: (line: string, headers: string[]) => void;
};

/** Parses responses of a target. @internal */
export class ResponseParser extends HTTPParser {}

/** Parses requests of callers. @internal */
export class RequestParser extends HTTPParser {}

/** Rejects a malformed chunk size, which the library treats as the end of the body. */
function readChunkHead(this: ParserState): void {
	const line = this.consumeLine();
	if (line === undefined) {
		return;
	}

	if (!chunkSizePattern.test(line)) {
		throw new Error('malformed chunk size');
	}

	this.body_bytes = Number.parseInt(line, 16);
	this.state = this.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK';
}

/**
 * Rejects malformed and folded lines; the library skips the former and joins the latter. In a response, a skipped line can be the
 * status line of another response that a faulty target wrote into an unfinished head.
 */
function readFieldLine(line: string, headers: string[]): void {
	const match = fieldLinePattern.exec(line);
	if (match === null) {
		throw new Error('malformed header line');
	}

	checkFieldCount(headers);
	headers.push(match[1]!, match[2]!);
}

function checkFieldCount(headers: readonly string[]): void {
	if (headers.length >= maximumFieldLines * 2) {
		throw new Error('too many header lines');
	}
}

function readLine(this: ParserState): string | undefined {
	const line = libraryReadLine.call(this);
	if (this.line.length > maximumLineLength) {
		throw new Error('line too long');
	}

	return line;
}

const responseInternals = ResponseParser.prototype as unknown as ParserInternals;
const {consumeLine: libraryReadLine} = HTTPParser.prototype as unknown as ParserInternals;
const requestInternals = RequestParser.prototype as unknown as ParserInternals;
responseInternals.consumeLine = readLine;
requestInternals.consumeLine = readLine;
responseInternals.parseHeader = readFieldLine;
responseInternals.BODY_CHUNKHEAD = readChunkHead;
requestInternals.BODY_CHUNKHEAD = readChunkHead;
requestInternals.parseHeader = readFieldLine;

/** True if the last bytes given to `execute` include some that the parser has not read. @internal */
export function hasUnreadBytes(parser: ResponseParser | RequestParser): boolean {
	const {offset, end} = parser as unknown as ParserState;
	return offset < end;
}

/** Returns the offset of the first byte that the parser has not read. @internal */
export function unreadOffset(parser: ResponseParser | RequestParser): number {
	return (parser as unknown as ParserState).offset;
}

/** True while a head is incomplete. @internal */
export function isInsideHead(parser: ResponseParser | RequestParser): boolean {
	return (parser as unknown as ParserState).state === 'HEADER';
}
