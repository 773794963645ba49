/**
 * Parsers for HTTP/1.1 messages: those of the library, made stricter where leniency would let a truncated response look complete or
 * allow request smuggling.
 */
import {HTTPParser} from 'http-parser-js';

HTTPParser.encoding = 'latin1';

const chunkSizePattern = /^[\da-f]{1,8}[ \t]*(?:;.*)?$/iv;
/** A field name by RFC 9110, section 5.1. */
const fieldNamePattern = /^[\w!#$%\u0026'*+\-.`\|~^]+$/v;
/** A field value without control characters (RFC 9110, section 5.5). */
const fieldValuePattern = /^[\t\u0020-\u007E\u0080-\u00FF]*$/v;

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

const lineTerminatorBytes = 2;
const blankCodes = {tab: 9, space: 32} as const;

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
	parseHeader: (this: LimitedParser, line: string, headers: string[]) => void;
};

/** A message that is rejected with a status. @internal */
export class UnacceptableMessage extends Error {
	constructor(readonly status: number, message: string) {
		super(message);
	}
}

/** A parser that limits the size of all field lines of a message, which is checked before each one is read. */
class LimitedParser extends HTTPParser {
	/** Bytes of the field lines of the current head or trailers. */
	fieldBytes = 0;

	constructor(type: typeof HTTPParser.REQUEST | typeof HTTPParser.RESPONSE, readonly maximumFieldBytes: () => number = () => HTTPParser.maxHeaderSize) {
		super(type);
	}
}

/** Parses responses of a target. @internal */
export class ResponseParser extends LimitedParser {}

/** Parses requests of callers. @internal */
export class RequestParser extends LimitedParser {}

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
function readFieldLine(this: LimitedParser, line: string, headers: string[]): void {
	this.fieldBytes = (headers.length === 0 ? 0 : this.fieldBytes) + line.length + lineTerminatorBytes;
	if (this.fieldBytes > this.maximumFieldBytes()) {
		throw new UnacceptableMessage(431, 'head too large');
	}

	checkFieldCount(headers);
	const colon = line.indexOf(':');
	const name = line.slice(0, Math.max(0, colon));
	if (!fieldNamePattern.test(name) || !fieldValuePattern.test(line)) {
		throw new Error('malformed header line');
	}

	headers.push(name, withoutBlanksAround(line, colon + 1));
}

/** Returns the rest of a line from an offset, without the blanks at both ends; an expression for this can backtrack. */
function withoutBlanksAround(line: string, offset: number): string {
	let start = offset;
	let end = line.length;
	while (start < end && isBlank(line.codePointAt(start)!)) {
		start += 1;
	}

	while (end > start && isBlank(line.codePointAt(end - 1)!)) {
		end -= 1;
	}

	return line.slice(start, end);
}

function isBlank(code: number): boolean {
	return code === blankCodes.space || code === blankCodes.tab;
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
