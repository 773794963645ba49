/**
 * Messages between nodes. A WebSocket message carries a list of them in msgpack, so that what is sent within one turn of
 * the event loop costs one write.
 */
import {Buffer} from 'node:buffer';
import {ProtocolError} from '@hemlockthread/verdict';
import {Packr} from 'msgpackr';
import type {CallsByRoute} from './call-profile.js';
import type {StoredRecord} from './fleet-model.js';
import type {RevisionSummary} from './fleet-records.js';

/** @public */
export const LinkMessageType = {
	handOver: 1,
	cancel: 2,
	result: 3,
	ping: 4,
	pong: 5,
	wantRecords: 6,
	records: 7,
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
	usefulMilliseconds: number;
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
};

/** @public */
export type WantRecordsMessage = {type: typeof LinkMessageType.wantRecords};

/** @public */
export type RecordsMessage = {type: typeof LinkMessageType.records; records: StoredRecord[]};

/** @public */
export type LinkMessage
	= | HandOverMessage | CancelMessage | ResultMessage | PingMessage | PongMessage | WantRecordsMessage | RecordsMessage;

const packr = new Packr({useRecords: false});

type FieldsByType = {[Message in LinkMessage as Message['type']]: ReadonlyArray<Exclude<keyof Message, 'type'>>};

/**
 * Order of the fields on the wire: a message is a list that starts with its type. Names in every message would cost a fifth
 * of the time to encode it. New fields go to the end, so that versions can run side by side.
 */
const fieldsByType: FieldsByType = {
	[LinkMessageType.handOver]: [
		'sentAt',
		'heard',
		'id',
		'instance',
		'route',
		'callerService',
		'attempt',
		'rank',
		'remainingMilliseconds',
		'usefulMilliseconds',
		'method',
		'path',
		'headers',
		'body',
	],
	[LinkMessageType.cancel]: ['id'],
	[LinkMessageType.result]: ['id', 'outcome', 'load'],
	[LinkMessageType.ping]: ['sentAt', 'heard', 'leaving', 'revisions'],
	[LinkMessageType.pong]: ['sentAt', 'heard', 'leaving', 'revisions', 'load', 'calls'],
	[LinkMessageType.wantRecords]: [],
	[LinkMessageType.records]: ['records'],
};

type OutcomeFields = {[Outcome in RunOutcome as Outcome['result']]: ReadonlyArray<Exclude<keyof Outcome, 'result'>>};

const fieldsByResult: OutcomeFields = {
	[RunResult.answered]: ['status', 'headers', 'body', 'unframed'],
	[RunResult.notRun]: ['reason', 'reachedTarget', 'roomInMilliseconds'],
	[RunResult.mayHaveRun]: ['reason'],
};

/** Encodes a batch of messages. */
export function encodeMessages(messages: readonly LinkMessage[]): Uint8Array {
	return packr.pack(messages.map(message => toList(message.type, fieldsByType[message.type], message)));
}

/**
 * Decodes a batch and leaves out types that this version does not know.
 *
 * @throws ProtocolError when the bytes are not a list of messages.
 */
export function decodeMessages(bytes: Uint8Array): LinkMessage[] {
	let value: unknown;
	try {
		value = packr.unpack(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength));
	} catch (error) {
		throw new ProtocolError('message of a peer is not msgpack', {cause: error});
	}

	if (!Array.isArray(value)) {
		throw new ProtocolError('message of a peer is not a list');
	}

	const messages: LinkMessage[] = [];
	for (const list of value as unknown[]) {
		const message = Array.isArray(list) ? toMessage(list) : undefined;
		if (message !== undefined) {
			messages.push(message);
		}
	}

	return messages;
}

function toList(first: number | string, fields: readonly string[], message: object): unknown[] {
	const list: unknown[] = [first];
	for (const field of fields) {
		const value = (message as Record<string, unknown>)[field];
		list.push(field === 'outcome' ? outcomeToList(value as RunOutcome) : value);
	}

	return list;
}

function outcomeToList(outcome: RunOutcome): unknown[] {
	return toList(outcome.result, fieldsByResult[outcome.result], outcome);
}

function toMessage(list: readonly unknown[]): LinkMessage | undefined {
	const fields: readonly string[] | undefined = fieldsByType[list[0] as LinkMessage['type']];
	if (fields === undefined) {
		return undefined;
	}

	const message = fromList('type', fields, list);
	if (Array.isArray(message.outcome)) {
		const resultFields: readonly string[] | undefined = fieldsByResult[message.outcome[0] as RunOutcome['result']];
		if (resultFields === undefined) {
			throw new ProtocolError(`result "${String(message.outcome[0])}" of a peer is unknown`);
		}

		message.outcome = fromList('result', resultFields, message.outcome);
	}

	return message as LinkMessage;
}

function fromList(firstField: string, fields: readonly string[], list: readonly unknown[]): Record<string, unknown> {
	const object: Record<string, unknown> = {[firstField]: list[0]};
	for (const [index, field] of fields.entries()) {
		// The codec has no `undefined`; absent values arrive as null.
		object[field] = list[index + 1] ?? undefined;
	}

	return object;
}
