/**
 * Messages between nodes. A frame carries a list of them in msgpack, so that what is sent within one turn of the event loop
 * costs one write. Each message is a list that starts with its type. New fields go to the end, so that versions can run side
 * by side.
 */
import {type Buffer} from 'node:buffer';
import {ProtocolError} from '@hemlockthread/verdict';
import {Packr, RESERVE_START_SPACE} from 'msgpackr';
import type {CallsByRoute} from './call-profile.js';
import type {RecordSnapshot, StoredRecord} from './fleet-model.js';
import type {RevisionSummary} from './fleet-records.js';
import type {RepeatsByService} from './retry-budget.js';

/** @public */
export const LinkMessageType = {
	handOver: 1,
	cancel: 2,
	result: 3,
	ping: 4,
	pong: 5,
	wantRecords: 6,
	records: 7,
	grant: 8,
} as const;

/** State of the queue and target at a node, as its peers see it. @public */
export type LoadReport = {
	active: number;
	waiting: number;
	limit: number;
	meanMilliseconds: number;
	/** Share of recent requests that the target ran without a failure of its own. */
	successShare: number;
};

/** Times of the sender's and receiver's clocks, from which the age of a message is bounded; see `LinkClock`. @public */
export type LinkStamp = {sentAt: number; heard: number | undefined};

/** Asks the node beside an instance to run a request. @public */
export type HandOverMessage = LinkStamp & {
	type: typeof LinkMessageType.handOver;
	id: number;
	instance: string;
	route: string;
	callerService: string;
	attempt: string;
	rank: number;
	remainingMilliseconds: number;
	/** Time left in which a start is useful, in milliseconds. */
	startTimeoutMilliseconds: number;
	method: string;
	path: string;
	headers: string[];
	body: Uint8Array | undefined;
};

/** @public */
export type CancelMessage = {type: typeof LinkMessageType.cancel; id: number};

/**
 * How a handed-over request ended.
 *
 * - `answered`: the target's whole answer.
 * - `not-run`: it did not run and will not; `reachedTarget` tells whether the target itself refused it.
 * - `may-have-run`: it was sent to the target and no whole answer came.
 *
 * @public
 */
export const RunResult = {answered: 'answered', notRun: 'not-run', mayHaveRun: 'may-have-run'} as const;

/** @public */
export type RunOutcome
	= | {result: typeof RunResult.answered; status: number; headers: readonly string[]; body: Uint8Array; unframed: boolean}
		| {result: typeof RunResult.notRun; reason: string; reachedTarget: boolean; roomInMilliseconds: number}
		| {result: typeof RunResult.mayHaveRun; reason: string};

/** Outcome of a request that no target has seen and none will. */
export function neverSent(reason: string, roomInMilliseconds = 0): RunOutcome {
	return {
		result: RunResult.notRun, reason, reachedTarget: false, roomInMilliseconds,
	};
}

/** Reason of a refusal where the instance leaves the fleet. */
export const instanceLeavingReason = 'instance-leaving';

/** @public */
export type ResultMessage = {
	type: typeof LinkMessageType.result; id: number; outcome: RunOutcome;
	/** Left out where the last report on the link is fresh. */
	load?: LoadReport;
};

/** @public */
export type PingMessage = LinkStamp & {
	type: typeof LinkMessageType.ping; leaving: boolean; revisions: RevisionSummary;
};

/** @public */
export type PongMessage = LinkStamp & {
	type: typeof LinkMessageType.pong; leaving: boolean; revisions: RevisionSummary; load: LoadReport;
	/** Earlier versions leave it out. */
	calls?: CallsByRoute;
	/** Repeats that the sender lacked lately; left out where it lacked none. */
	lacks?: RepeatsByService;
};

/** @public */
export type WantRecordsMessage = {type: typeof LinkMessageType.wantRecords};

/** @public */
export type RecordsMessage = RecordSnapshot & {type: typeof LinkMessageType.records};

/** Gives part of the sender's retry budget away. @public */
export type GrantMessage = LinkStamp & {type: typeof LinkMessageType.grant; repeats: RepeatsByService};

/** @public */
export type LinkMessage
	= | HandOverMessage | CancelMessage | ResultMessage | PingMessage | PongMessage | WantRecordsMessage | RecordsMessage | GrantMessage;

/** Bytes before the messages of a frame: their length. */
export const frameHeaderBytes = 4;

const packr = new Packr({useRecords: false});

type WireLoad = readonly [active: number, waiting: number, limit: number, meanMilliseconds: number, successShare: number];

type WireOutcomes = {
	[RunResult.answered]: readonly [result: typeof RunResult.answered, status: number, headers: string, body: Uint8Array, unframed: boolean];
	[RunResult.notRun]: readonly [result: typeof RunResult.notRun, reason: string, reachedTarget: boolean, roomInMilliseconds: number];
	[RunResult.mayHaveRun]: readonly [result: typeof RunResult.mayHaveRun, reason: string];
};

type WireOutcome = WireOutcomes[RunOutcome['result']];

/** Messages as they stand on the wire. */
type WireMessages = {
	[LinkMessageType.handOver]: readonly [
		type: typeof LinkMessageType.handOver, sentAt: number, heard: number | undefined, id: number, instance: string, route: string, callerService: string,
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
		calls: CallsByRoute | undefined, lacks: RepeatsByService | undefined,
	];
	[LinkMessageType.wantRecords]: readonly [type: typeof LinkMessageType.wantRecords];
	[LinkMessageType.records]: readonly [
		type: typeof LinkMessageType.records, records: readonly StoredRecord[], completeTo: Readonly<Record<string, number>> | undefined,
	];
	[LinkMessageType.grant]: readonly [type: typeof LinkMessageType.grant, sentAt: number, heard: number | undefined, repeats: RepeatsByService];
};

type WireMessage = WireMessages[LinkMessage['type']];
type Encoders = {[Message in LinkMessage as Message['type']]: (message: Message) => WireMessages[Message['type']]};
type Decoders = {[Message in LinkMessage as Message['type']]: (fields: WireMessages[Message['type']]) => Message};
type OutcomeEncoders = {[Outcome in RunOutcome as Outcome['result']]: (outcome: Outcome) => WireOutcomes[Outcome['result']]};
type OutcomeDecoders = {[Outcome in RunOutcome as Outcome['result']]: (fields: WireOutcomes[Outcome['result']]) => Outcome};

const outcomeEncoders: OutcomeEncoders = {
	[RunResult.answered]: ({result, status, headers, body, unframed}) => [result, status, headersToText(headers), body, unframed],
	[RunResult.notRun]: ({result, reason, reachedTarget, roomInMilliseconds}) => [result, reason, reachedTarget, roomInMilliseconds],
	[RunResult.mayHaveRun]: ({result, reason}) => [result, reason],
};

const outcomeDecoders: OutcomeDecoders = {
	[RunResult.answered]: ([, status, headers, body, unframed]) => ({
		result: RunResult.answered, status, headers: headersFromText(headers), body, unframed,
	}),
	[RunResult.notRun]: ([, reason, reachedTarget, roomInMilliseconds]) => ({
		result: RunResult.notRun, reason, reachedTarget, roomInMilliseconds,
	}),
	[RunResult.mayHaveRun]: ([, reason]) => ({result: RunResult.mayHaveRun, reason}),
};

const encoders: Encoders = {
	[LinkMessageType.handOver]: message => [
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
	[LinkMessageType.pong]: ({type, sentAt, heard, leaving, revisions, load, calls, lacks}) => [
		type,
		sentAt,
		heard,
		leaving,
		revisions,
		loadToList(load),
		calls,
		lacks,
	],
	[LinkMessageType.wantRecords]: ({type}) => [type],
	[LinkMessageType.records]: ({type, records, completeTo}) => [type, records, completeTo],
	[LinkMessageType.grant]: ({type, sentAt, heard, repeats}) => [type, sentAt, heard, repeats],
};

const decoders: Decoders = {
	[LinkMessageType.handOver]: ([
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
		usefulMilliseconds,
		method,
		path,
		headers,
		body,
	]) => ({
		type: LinkMessageType.handOver, sentAt, heard, id, instance, route, callerService, attempt, rank, remainingMilliseconds,
		startTimeoutMilliseconds: usefulMilliseconds, method, path, headers: headersFromText(headers), body,
	}),
	[LinkMessageType.cancel]: ([, id]) => ({type: LinkMessageType.cancel, id}),
	[LinkMessageType.result]: ([, id, outcome, load]) => ({
		type: LinkMessageType.result, id, outcome: outcomeFromList(outcome), load: load === undefined ? undefined : loadFromList(load),
	}),
	[LinkMessageType.ping]: ([, sentAt, heard, leaving, revisions]) => ({
		type: LinkMessageType.ping, sentAt, heard, leaving, revisions,
	}),
	[LinkMessageType.pong]: ([, sentAt, heard, leaving, revisions, load, calls, lacks]) => ({
		type: LinkMessageType.pong, sentAt, heard, leaving, revisions, load: loadFromList(load), calls, lacks,
	}),
	[LinkMessageType.wantRecords]: () => ({type: LinkMessageType.wantRecords}),
	[LinkMessageType.records]: ([, records, completeTo]) => ({type: LinkMessageType.records, records, completeTo: completeTo ?? {}}),
	[LinkMessageType.grant]: ([, sentAt, heard, repeats]) => ({
		type: LinkMessageType.grant, sentAt, heard, repeats,
	}),
};

/** Encodes a batch of messages as one frame. */
export function encodeFrame(messages: readonly LinkMessage[]): Buffer {
	const frame = packr.pack(
		messages.map(message => (encoders[message.type] as (message: LinkMessage) => WireMessage)(message)),
		RESERVE_START_SPACE + frameHeaderBytes,
	);
	frame.writeUInt32BE(frame.length - frameHeaderBytes, 0);
	return frame;
}

/**
 * Decodes the messages of a frame, without its header, and leaves out types that this version does not know.
 *
 * @throws ProtocolError when the bytes are not a list of messages.
 */
export function decodeMessages(bytes: Buffer): LinkMessage[] {
	let value: unknown;
	try {
		value = packr.unpack(bytes);
	} catch (error) {
		throw new ProtocolError('message of a peer is not msgpack', {cause: error});
	}

	if (!Array.isArray(value)) {
		throw new ProtocolError('message of a peer is not a list');
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
		throw new ProtocolError(`result "${String(list)}" of a peer is unknown`);
	}

	return decode(list);
}

/** One string is encoded several times faster than a list of short ones. No header holds a line feed: the parsers refuse them. */
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
