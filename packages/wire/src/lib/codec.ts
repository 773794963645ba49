/**
 * Encodes frames with msgpack and validates the fields of received frames.
 */
import {Buffer} from 'node:buffer';
import {ProtocolError, isVerdict} from '@hemlockthread/verdict';
import {Packr} from 'msgpackr';
import {type Frame} from './frames.js';

/** Plain maps without msgpackr's record extension, so that any msgpack library can decode them. */
const packr = new Packr({useRecords: false});

type FieldCheck = (value: unknown) => boolean;

const isString: FieldCheck = value => typeof value === 'string';
const isNumber: FieldCheck = value => typeof value === 'number' && Number.isFinite(value);
const isCount: FieldCheck = value => Number.isSafeInteger(value) && (value as number) >= 0;
const isBoolean: FieldCheck = value => typeof value === 'boolean';
const isBytes: FieldCheck = value => value instanceof Uint8Array;
const isMap: FieldCheck = value => typeof value === 'object' && value !== null && !Array.isArray(value);
const isStringMap: FieldCheck = value => isMap(value) && Object.values(value as Record<string, unknown>).every(entry => isString(entry));
const isNumberMap: FieldCheck = value => isMap(value) && Object.values(value as Record<string, unknown>).every(entry => isNumber(entry));
const isNumberList: FieldCheck = value => Array.isArray(value) && value.every(entry => isNumber(entry));
const optional = (check: FieldCheck): FieldCheck => value => value === undefined || check(value);

const frameChecks: Readonly<Record<Frame['type'], Readonly<Record<string, FieldCheck>>>> = {
	hello: {
		protocolVersions: isNumberList, instance: isString, incarnation: isString, service: isString, failureDomain: isString,
		leaving: isBoolean, revisions: isNumberMap, sentAt: isNumber, heard: optional(isNumber),
	},
	request: {
		identifier: isCount, service: isString, kind: isString, rootKind: isString, rootIdentifier: isString, priority: isNumber,
		remainingMilliseconds: isNumber, retryShare: isCount, repeated: optional(isBoolean), depth: isCount, identity: optional(isString), method: isString,
		path: isString, headers: isStringMap, body: isBytes, sentAt: isNumber, heard: optional(isNumber),
	},
	cancel: {identifier: isCount},
	answer: {
		identifier: isCount, verdict: isVerdict, reason: optional(isString), status: isCount, headers: isStringMap,
		body: isBytes, retriesReturned: isCount, level: isNumber, identity: optional(isString),
		retryAfterMilliseconds: optional(isNumber), leaving: isBoolean, sentAt: isNumber, heard: optional(isNumber),
	},
	heartbeat: {
		revisions: isNumberMap, leaving: isBoolean, echo: isBoolean, control: optional(isBoolean),
		platformAgeMilliseconds: optional(isNumber), sentAt: isNumber, heard: optional(isNumber),
	},
	announce: {key: isString, revision: isCount, digest: isString},
	fetch: {key: isString, haveRevision: isCount},
	record: {
		key: isString, revision: isCount, digest: isString, value: optional(isString), patch: optional(isString),
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
 * Decodes one frame. Returns undefined for an unknown frame type, which a newer version may send.
 *
 * @throws ProtocolError when the bytes are not msgpack or a field of a known frame is missing or invalid.
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

	if (!isMap(value) || !isString((value as Record<string, unknown>).type)) {
		throw new ProtocolError('frame is not a map with a type');
	}

	return value as Record<string, unknown>;
}
