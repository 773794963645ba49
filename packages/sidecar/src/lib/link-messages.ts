/**
 * Messages between nodes. A frame carries a msgpack list of messages, so that all messages of one turn of the event loop need one
 * write. Each message is a list that starts with its type. New fields are appended, so that different versions interoperate.
 */
import {type Buffer} from 'node:buffer';
import {ProtocolError} from '@hemlockthread/verdict';
import {Packr, RESERVE_START_SPACE} from 'msgpackr';
import type {CallsByRoute} from './call-profile.js';
import type {CompleteTo, RecordChanges, StoredRecord} from './fleet-model.js';
import type {RevisionSummary} from './fleet-records.js';
import type {RecordProgress} from './record-spread.js';
import {
	checkCalls, checkNumbers, checkOptionalNumber, checkRecords,
} from './message-checks.js';
import type {RetriesByService} from './retry-budget.js';

/** @public */
export const LinkMessageType = {
	forward: 1,
	cancel: 2,
	result: 3,
	ping: 4,
	pong: 5,
	requestRecords: 6,
	records: 7,
	grant: 8,
	progress: 9,
} as const;

/** Load of a node's queue and target, as reported to its peers. @public */
export type LoadReport = {
	active: number;
	waiting: number;
	limit: number;
	meanMilliseconds: number;
	/** Moving average of the share of requests that the target served without a failure. */
	successShare: number;
};

/** The sender's time and the last stamp that it received from the receiver, to bound the age of a message; see `LinkClock`. @public */
export type LinkStamp = {sentAt: number; heard: number | undefined};

/** Forwards a request to the node of an instance. @public */
export type ForwardMessage = LinkStamp & {
	type: typeof LinkMessageType.forward;
	id: number;
	instance: string;
	route: string;
	callerService: string;
	attempt: string;
	rank: number;
	remainingMilliseconds: number;
	/** Time remaining within which starting the request is useful, in milliseconds. */
	startTimeoutMilliseconds: number;
	method: string;
	path: string;
	headers: string[];
	body: Uint8Array | undefined;
};

/** @public */
export type CancelMessage = {type: typeof LinkMessageType.cancel; id: number};

/**
 * How a forwarded request ended.
 *
 * - `answered`: the target sent a complete response.
 * - `not-run`: the request did not run and will not run; `reachedTarget` is true if the target itself refused it.
 * - `may-have-run`: the request was sent to the target and no complete response was received.
 *
 * @public
 */
export const RunResult = {answered: 'answered', notRun: 'not-run', mayHaveRun: 'may-have-run'} as const;

/** @public */
export type RunOutcome
	= | {result: typeof RunResult.answered; status: number; headers: readonly string[]; body: Uint8Array}
		| {result: typeof RunResult.notRun; reason: string; reachedTarget: boolean; estimatedWaitMilliseconds: number}
		| {result: typeof RunResult.mayHaveRun; reason: string};

/** Returns the outcome of a request that was not sent to a target and will not be. */
export function unsentOutcome(reason: string, estimatedWaitMilliseconds = 0): RunOutcome {
	return {
		result: RunResult.notRun, reason, reachedTarget: false, estimatedWaitMilliseconds,
	};
}

/** Reason of a refusal because the instance is leaving the fleet. */
export const instanceLeavingReason = 'instance-leaving';

/** @public */
export type ResultMessage = {
	type: typeof LinkMessageType.result; id: number; outcome: RunOutcome;
	/** Omitted while the last report on the link is recent. */
	load?: LoadReport;
};

/** @public */
export type PingMessage = LinkStamp & {
	type: typeof LinkMessageType.ping; leaving: boolean; revisions: RevisionSummary;
};

/** @public */
export type PongMessage = LinkStamp & {
	type: typeof LinkMessageType.pong; leaving: boolean; revisions: RevisionSummary; load: LoadReport;
	/** Omitted while the last report on the link is recent. */
	calls?: CallsByRoute;
	/** Recent shortfall of the sender's retry budget; omitted if there was none. */
	retryShortfall?: RetriesByService;
};

/** @public */
export type RequestRecordsMessage = {
	type: typeof LinkMessageType.requestRecords;
	/** The revisions up to which the sender has all changes; empty to request all records. */
	after: CompleteTo;
};

/** @public */
export type RecordsMessage = RecordChanges & {type: typeof LinkMessageType.records};

/** Grants the receiver part of the sender's retry budget. @public */
export type GrantMessage = LinkStamp & {type: typeof LinkMessageType.grant; retries: RetriesByService};

/** Tells the receiver how far the sender's records are complete, and subscribes it to the same news of the receiver. @public */
export type ProgressMessage = LinkStamp & RecordProgress & {type: typeof LinkMessageType.progress};

/** @public */
export type LinkMessage
	= | ForwardMessage | CancelMessage | ResultMessage | PingMessage | PongMessage | RequestRecordsMessage | RecordsMessage | GrantMessage | ProgressMessage;

/** Size of the frame header, which holds the length of the payload. */
export const frameHeaderBytes = 4;

const packr = new Packr({useRecords: false});

type WireLoad = readonly [active: number, waiting: number, limit: number, meanMilliseconds: number, successShare: number];

type WireOutcomes = {
	[RunResult.answered]: readonly [result: typeof RunResult.answered, status: number, headers: string, body: Uint8Array];
	[RunResult.notRun]: readonly [result: typeof RunResult.notRun, reason: string, reachedTarget: boolean, roomInMilliseconds: number];
	[RunResult.mayHaveRun]: readonly [result: typeof RunResult.mayHaveRun, reason: string];
};

type WireOutcome = WireOutcomes[RunOutcome['result']];

/** Messages in their wire format; the labels are the field names of the protocol. */
type WireMessages = {
	[LinkMessageType.forward]: readonly [
		type: typeof LinkMessageType.forward, sentAt: number, heard: number | undefined, id: number, instance: string, route: string, callerService: string,
		attempt: string, rank: number, remainingMilliseconds: number, usefulMilliseconds: number, method: string, path: string, headers: string,
		body: Uint8Array | undefined,
	];
	[LinkMessageType.cancel]: readonly [type: typeof LinkMessageType.cancel, id: number];
	[LinkMessageType.result]: readonly [type: typeof LinkMessageType.result, id: number, outcome: WireOutcome, load: WireLoad | undefined];
	[LinkMessageType.ping]: readonly [
		type: typeof LinkMessageType.ping, sentAt: number, heard: number | undefined, leaving: boolean, revisions: RevisionSummary,
	];
	[LinkMessageType.pong]: readonly [
		type: typeof LinkMessageType.pong, sentAt: number, heard: number | undefined, leaving: boolean, revisions: RevisionSummary, load: WireLoad,
		calls: CallsByRoute | undefined, lacks: RetriesByService | undefined,
	];
	[LinkMessageType.requestRecords]: readonly [type: typeof LinkMessageType.requestRecords, after: CompleteTo | undefined];
	[LinkMessageType.records]: readonly [
		type: typeof LinkMessageType.records, records: readonly StoredRecord[], completeTo: CompleteTo | undefined, after: CompleteTo | undefined,
	];
	[LinkMessageType.progress]: readonly [
		type: typeof LinkMessageType.progress, sentAt: number, heard: number | undefined, completeTo: CompleteTo, confirmedAge: number | undefined,
		attemptAge: number | undefined,
	];
	[LinkMessageType.grant]: readonly [type: typeof LinkMessageType.grant, sentAt: number, heard: number | undefined, repeats: RetriesByService];
};

type WireMessage = WireMessages[LinkMessage['type']];
type Encoders = {[Message in LinkMessage as Message['type']]: (message: Message) => WireMessages[Message['type']]};
type Decoders = {[Message in LinkMessage as Message['type']]: (fields: WireMessages[Message['type']]) => Message};
type OutcomeEncoders = {[Outcome in RunOutcome as Outcome['result']]: (outcome: Outcome) => WireOutcomes[Outcome['result']]};
type OutcomeDecoders = {[Outcome in RunOutcome as Outcome['result']]: (fields: WireOutcomes[Outcome['result']]) => Outcome};

const outcomeEncoders: OutcomeEncoders = {
	[RunResult.answered]: ({result, status, headers, body}) => [result, status, headersToText(headers), body],
	[RunResult.notRun]: ({result, reason, reachedTarget, estimatedWaitMilliseconds}) => [result, reason, reachedTarget, estimatedWaitMilliseconds],
	[RunResult.mayHaveRun]: ({result, reason}) => [result, reason],
};

const outcomeDecoders: OutcomeDecoders = {
	[RunResult.answered]: ([, status, headers, body]) => ({
		result: RunResult.answered, status, headers: headersFromText(headers), body,
	}),
	[RunResult.notRun]: ([, reason, reachedTarget, estimatedWaitMilliseconds]) => ({
		result: RunResult.notRun, reason, reachedTarget, estimatedWaitMilliseconds,
	}),
	[RunResult.mayHaveRun]: ([, reason]) => ({result: RunResult.mayHaveRun, reason}),
};

const encoders: Encoders = {
	[LinkMessageType.forward]: message => [
		message.type,
		message.sentAt,
		message.heard,
		message.id,
		message.instance,
		message.route,
		message.callerService,
		message.attempt,
		message.rank,
		message.remainingMilliseconds,
		message.startTimeoutMilliseconds,
		message.method,
		message.path,
		headersToText(message.headers),
		message.body,
	],
	[LinkMessageType.cancel]: ({type, id}) => [type, id],
	[LinkMessageType.result]: ({type, id, outcome, load}) => [
		type,
		id,
		(outcomeEncoders[outcome.result] as (outcome: RunOutcome) => WireOutcome)(outcome),
		load === undefined ? undefined : loadToList(load),
	],
	[LinkMessageType.ping]: ({type, sentAt, heard, leaving, revisions}) => [type, sentAt, heard, leaving, revisions],
	[LinkMessageType.pong]: ({type, sentAt, heard, leaving, revisions, load, calls, retryShortfall}) => [
		type,
		sentAt,
		heard,
		leaving,
		revisions,
		loadToList(load),
		calls,
		retryShortfall,
	],
	[LinkMessageType.requestRecords]: ({type, after}) => [type, after],
	[LinkMessageType.records]: ({type, records, completeTo, after}) => [type, records, completeTo, after],
	[LinkMessageType.progress]: ({type, sentAt, heard, completeTo, confirmedAge, attemptAge}) => [type, sentAt, heard, completeTo, confirmedAge, attemptAge],
	[LinkMessageType.grant]: ({type, sentAt, heard, retries}) => [type, sentAt, heard, retries],
};

const decoders: Decoders = {
	[LinkMessageType.forward]: ([
		,
		sentAt,
		heard,
		id,
		instance,
		route,
		callerService,
		attempt,
		rank,
		remainingMilliseconds,
		startTimeoutMilliseconds,
		method,
		path,
		headers,
		body,
	]) => ({
		type: LinkMessageType.forward, sentAt, heard, id, instance, route, callerService, attempt, rank, remainingMilliseconds,
		startTimeoutMilliseconds, method, path, headers: headersFromText(headers), body,
	}),
	[LinkMessageType.cancel]: ([, id]) => ({type: LinkMessageType.cancel, id}),
	[LinkMessageType.result]: ([, id, outcome, load]) => ({
		type: LinkMessageType.result, id, outcome: outcomeFromList(outcome), load: load === undefined ? undefined : loadFromList(load),
	}),
	[LinkMessageType.ping]: ([, sentAt, heard, leaving, revisions]) => ({
		type: LinkMessageType.ping, sentAt, heard, leaving, revisions: checkNumbers(revisions, 'revisions') as RevisionSummary,
	}),
	[LinkMessageType.pong]: ([, sentAt, heard, leaving, revisions, load, calls, retryShortfall]) => ({
		type: LinkMessageType.pong, sentAt, heard, leaving, revisions: checkNumbers(revisions, 'revisions') as RevisionSummary, load: loadFromList(load),
		calls: calls === undefined ? undefined : checkCalls(calls), retryShortfall: retryShortfall === undefined ? undefined : checkNumbers(retryShortfall, 'retryShortfall'),
	}),
	[LinkMessageType.requestRecords]: ([, after]) => ({type: LinkMessageType.requestRecords, after: checkNumbers(after ?? {}, 'after')}),
	[LinkMessageType.records]: ([, records, completeTo, after]) => ({
		type: LinkMessageType.records, records: checkRecords(records), completeTo: checkNumbers(completeTo ?? {}, 'completeTo'),
		after: checkNumbers(after ?? {}, 'after'),
	}),
	[LinkMessageType.progress]: ([, sentAt, heard, completeTo, confirmedAge, attemptAge]) => ({
		type: LinkMessageType.progress, sentAt, heard, completeTo: checkNumbers(completeTo, 'completeTo'),
		confirmedAge: checkOptionalNumber(confirmedAge, 'confirmedAge'), attemptAge: checkOptionalNumber(attemptAge, 'attemptAge'),
	}),
	[LinkMessageType.grant]: ([, sentAt, heard, retries]) => ({
		type: LinkMessageType.grant, sentAt, heard, retries: checkNumbers(retries, 'retries'),
	}),
};

/** Encodes a batch of messages as a frame. */
export function encodeFrame(messages: readonly LinkMessage[]): Buffer {
	const frame = packr.pack(
		messages.map(message => (encoders[message.type] as (message: LinkMessage) => WireMessage)(message)),
		RESERVE_START_SPACE + frameHeaderBytes,
	);
	frame.writeUInt32BE(frame.length - frameHeaderBytes, 0);
	return frame;
}

/**
 * Decodes the payload of a frame; message types that this version does not know are skipped.
 *
 * @throws ProtocolError if the bytes are not a list of messages.
 */
export function decodeMessages(bytes: Buffer): LinkMessage[] {
	let value: unknown;
	try {
		value = packr.unpack(bytes);
	} catch (error) {
		throw new ProtocolError('peer message is not valid msgpack', {cause: error});
	}

	if (!Array.isArray(value)) {
		throw new ProtocolError('peer message is not a list');
	}

	const messages: LinkMessage[] = [];
	for (const list of value as unknown[]) {
		if (!Array.isArray(list)) {
			continue;
		}

		const decode = decoders[list[0] as LinkMessage['type']] as ((fields: WireMessage) => LinkMessage) | undefined;
		if (decode !== undefined) {
			messages.push(decode(list as unknown as WireMessage));
		}
	}

	return messages;
}

function outcomeFromList(list: WireOutcome): RunOutcome {
	const decode = outcomeDecoders[list[0]] as ((fields: WireOutcome) => RunOutcome) | undefined;
	if (decode === undefined) {
		throw new ProtocolError(`unknown result "${String(list)}" in a peer message`);
	}

	return decode(list);
}

/** Joins headers, because one string is encoded several times faster than a list of short ones. The parsers reject headers with a line feed. */
function headersToText(headers: readonly string[]): string {
	return headers.join('\n');
}

function headersFromText(text: string): string[] {
	return text === '' ? [] : text.split('\n');
}

function loadToList({active, waiting, limit, meanMilliseconds, successShare}: LoadReport): WireLoad {
	return [active, waiting, limit, meanMilliseconds, successShare];
}

function loadFromList([active, waiting, limit, meanMilliseconds, successShare]: WireLoad): LoadReport {
	return {
		active, waiting, limit, meanMilliseconds, successShare,
	};
}
