/**
 * Tests of the wire format of messages between nodes.
 */
import {Buffer} from 'node:buffer';
import {Packr} from 'msgpackr';
import {describe, expect, it} from 'vitest';
import {
	decodeMessages, encodeFrame, frameHeaderBytes, LinkMessageType, RunResult, type LinkMessage, type LoadReport,
} from './link-messages.js';

const load: LoadReport = {
	active: 1, waiting: 2, limit: 3, meanMilliseconds: 4, successShare: 1,
};
const stamp = {sentAt: 1.5, heard: 2.5};
const revisions = {policyVersion: 3, fleetRevision: 9};

describe('a message is decoded as it was encoded', () => {
	it.each<[string, LinkMessage]>([
		['hand-over', {
			type: LinkMessageType.forward, ...stamp, id: 7, instance: 'i', route: 'r', callerService: 's', attempt: 'a', rank: 0, remainingMilliseconds: 5,
			startTimeoutMilliseconds: 4, method: 'PUT', path: '/x', headers: ['A', 'b'], body: Buffer.from('body'),
		}],
		['hand-over without a body', {
			type: LinkMessageType.forward, sentAt: 1, heard: undefined, id: 7, instance: 'i', route: 'r', callerService: 's', attempt: 'a', rank: 0,
			remainingMilliseconds: 5, startTimeoutMilliseconds: 4, method: 'GET', path: '/x', headers: [], body: undefined,
		}],
		['cancel', {type: LinkMessageType.cancel, id: 1}],
		['answer', {
			type: LinkMessageType.result, id: 1, load, outcome: {
				result: RunResult.answered, status: 200, headers: ['A', 'b'], body: Buffer.from('x'),
			},
		}],
		['refusal', {
			type: LinkMessageType.result, id: 1, load: undefined, outcome: {
				result: RunResult.notRun, reason: 'overloaded', reachedTarget: true, estimatedWaitMilliseconds: 4,
			},
		}],
		['loss', {
			type: LinkMessageType.result, id: 1, load: undefined, outcome: {result: RunResult.mayHaveRun, reason: 'target-lost'},
		}],
		['ping', {
			type: LinkMessageType.ping, ...stamp, leaving: true, revisions,
		}],
		['pong', {
			type: LinkMessageType.pong, ...stamp, leaving: false, revisions, load, calls: {r: {q: 2}}, retryShortfall: {s: 1.5},
		}],
		['grant', {type: LinkMessageType.grant, ...stamp, retries: {s: 0.5}}],
		['request for records', {type: LinkMessageType.requestRecords, after: {k: 3}}],
		['records', {
			type: LinkMessageType.records, records: [{key: 'k', revision: 1, value: 'v'}], completeTo: {k: 4}, after: {k: 3},
		}],
		['progress', {
			type: LinkMessageType.progress, sentAt: 1, heard: 2, completeTo: {k: 4}, confirmedAge: 5, attemptAge: 6,
		}],
	])('%s', (_name, message) => {
		const frame = encodeFrame([message, message]);
		expect(frame.readUInt32BE(0)).toBe(frame.length - frameHeaderBytes);
		expect(decodeMessages(frame.subarray(frameHeaderBytes))).toEqual([message, message]);
	});
});

it('records of earlier versions are complete for no prefix', () => {
	const bytes = new Packr({useRecords: false}).pack([[LinkMessageType.records, []]]);
	expect(decodeMessages(bytes)).toEqual([{
		type: LinkMessageType.records, records: [], completeTo: {}, after: {},
	}]);
});

it('types and fields of later versions are skipped', () => {
	const bytes = new Packr({useRecords: false}).pack([[99, 'new'], [LinkMessageType.cancel, 4, 'new field']]);
	expect(decodeMessages(bytes)).toEqual([{type: LinkMessageType.cancel, id: 4}]);
});

it.each<[string, Buffer]>([
	['no msgpack', Buffer.from([0xC1])],
	['no list', new Packr({useRecords: false}).pack({a: 1})],
	['an unknown result', new Packr({useRecords: false}).pack([[LinkMessageType.result, 1, ['other']]])],
])('%s is a protocol error', (_name, bytes) => {
	expect(() => decodeMessages(bytes)).toThrow();
});

it.each<[string, unknown[]]>([
	['records that are no list', [LinkMessageType.records, 'x', {}, {}]],
	['a record without a key', [LinkMessageType.records, [{revision: 1}], {}, {}]],
	['a record whose value is no text', [LinkMessageType.records, [{key: 'k', revision: 1, value: 5}], {}, {}]],
	['a revision that is no number', [LinkMessageType.requestRecords, {k: 'x'}]],
	['progress without revisions', [LinkMessageType.progress, 1, 2, null, 3, 4]],
	['progress with an age that is no number', [LinkMessageType.progress, 1, 2, {}, 'x', 4]],
	['calls that are no object', [LinkMessageType.pong, 1, 2, false, revisions, [1, 2, 3, 4, 1], 5]],
	['counts of calls that are no numbers', [LinkMessageType.pong, 1, 2, false, revisions, [1, 2, 3, 4, 1], {r: {q: 'x'}}]],
	['a load that is no list', [LinkMessageType.pong, 1, 2, false, revisions, 7]],
	['grants that are no numbers', [LinkMessageType.grant, 1, 2, {s: null}]],
])('a message that a node would keep is rejected with %s', (_name, fields) => {
	expect(() => decodeMessages(new Packr({useRecords: false}).pack([fields]))).toThrow();
});
