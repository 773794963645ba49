/**
 * Encodes frames with msgpack and checks the shape of what arrives.
 */
import {Buffer} from 'node:buffer';
import {ProtocolError, isVerdict} from '@hemlockthread/verdict';
import {Packr} from 'msgpackr';
import {type Frame} from './frames.js';

/** Plain maps without msgpackr's record extension, so that any msgpack library can take part. */
const packr = new Packr({useRecords: false});

type FieldCheck = (value: unknown) => boolean;

const isText: FieldCheck = value => typeof value === 'string';
const isNumber: FieldCheck = value => typeof value === 'number' && Number.isFinite(value);
const isCount: FieldCheck = value => Number.isSafeInteger(value) && (value as number) >= 0;
const isFlag: FieldCheck = value => typeof value === 'boolean';
const isBytes: FieldCheck = value => value instanceof Uint8Array;
const isMap: FieldCheck = value => typeof value === 'object' && value !== null && !Array.isArray(value);
const isTextMap: FieldCheck = value => isMap(value) && Object.values(value as Record<string, unknown>).every(entry => isText(entry));
const isNumberMap: FieldCheck = value => isMap(value) && Object.values(value as Record<string, unknown>).every(entry => isNumber(entry));
const isNumberList: FieldCheck = value => Array.isArray(value) && value.every(entry => isNumber(entry));
const optional = (check: FieldCheck): FieldCheck => value => value === undefined || check(value);

const frameChecks: Readonly<Record<Frame['type'], Readonly<Record<string, FieldCheck>>>> = {
	hello: {
		protocolVersions: isNumberList, instance: isText, incarnation: isText, service: isText, failureDomain: isText,
		leaving: isFlag, revisions: isNumberMap, sentAt: isNumber, heard: optional(isNumber),
	},
	request: {
		identifier: isCount, service: isText, kind: isText, rootKind: isText, rootIdentifier: isText, priority: isNumber,
		remainingMilliseconds: isNumber, retryShare: isCount, repeated: optional(isFlag), depth: isCount, identity: optional(isText), method: isText,
		path: isText, headers: isTextMap, body: isBytes, sentAt: isNumber, heard: optional(isNumber),
	},
	cancel: {identifier: isCount},
	answer: {
		identifier: isCount, verdict: isVerdict, reason: optional(isText), status: isCount, headers: isTextMap,
		body: isBytes, retriesReturned: isCount, level: isNumber, identity: optional(isText),
		retryAfterMilliseconds: optional(isNumber), leaving: isFlag, sentAt: isNumber, heard: optional(isNumber),
	},
	heartbeat: {
		revisions: isNumberMap, leaving: isFlag, echo: isFlag, control: optional(isFlag),
		platformAgeMilliseconds: optional(isNumber), sentAt: isNumber, heard: optional(isNumber),
	},
	announce: {key: isText, revision: isCount, digest: isText},
	fetch: {key: isText, haveRevision: isCount},
	record: {
		key: isText, revision: isCount, digest: isText, value: optional(isText), patch: optional(isText),
		baseRevision: optional(isCount),
	},
};

/**
 * Encodes one frame.
 *
 * @public
 */
export function encodeFrame(frame: Frame): Uint8Array {
	return packr.pack(frame);
}

/**
 * Decodes one frame. Returns undefined for a frame type that this version does not know.
 *
 * @throws ProtocolError when the bytes are not msgpack or a known frame lacks a field.
 * @public
 */
export function decodeFrame(bytes: Uint8Array): Frame | undefined {
	const value = unpack(bytes);
	const checks = frameChecks[value.type as Frame['type']];
	if (checks === undefined) {
		return undefined;
	}

	for (const [field, check] of Object.entries(checks)) {
		if (!check(value[field])) {
			throw new ProtocolError(`frame "${String(value.type)}" has an invalid field "${field}"`);
		}
	}

	return value as Frame;
}

function unpack(bytes: Uint8Array): Record<string, unknown> {
	let value: unknown;
	try {
		value = packr.unpack(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength));
	} catch (error) {
		throw new ProtocolError('frame is not msgpack', {cause: error});
	}

	if (!isMap(value) || !isText((value as Record<string, unknown>).type)) {
		throw new ProtocolError('frame is not a map with a type');
	}

	return value as Record<string, unknown>;
}
