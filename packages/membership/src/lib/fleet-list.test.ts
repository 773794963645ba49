/**
 * Guards against an invalid list that is accepted in part, or refused without the path of its fault.
 */
import {describe, expect, it} from 'vitest';
import {fleetListLimits, parseFleetList} from './fleet-list.js';

const instance = {
	name: 'racks-1', service: 'racks', failureDomain: 'akl-a', region: 'nz-north', peerAddress: '127.0.0.2:7001',
	callerAddress: '127.0.0.2:7002', operatorAddress: '[::1]:7003', slots: 55, state: 'live',
};
const list = (...changes: Array<Record<string, unknown>>) => JSON.stringify({
	schemaVersion: 1,
	instances: changes.map((change, index) => ({
		...instance, name: `racks-${index + 1}`, peerAddress: `127.0.0.2:${7100 + index}`, ...change,
	})),
});

const refused: Array<[string, string, string]> = [
	['a value that is not JSON', '{', 'not JSON'],
	['an unknown schema version', '{"schemaVersion":2,"instances":[]}', '/schemaVersion'],
	['instances that are not an array', '{"schemaVersion":1,"instances":{}}', '/instances:'],
	['a missing field', list({}, {service: undefined}), '/instances/1/service'],
	['slots of another type', list({slots: '55'}), '/instances/0/slots'],
	['no slots', list({slots: 0}), '/instances/0/slots'],
	['an unknown state', list({state: 'draining'}), '/instances/0/state'],
	['a host name as address', list({peerAddress: 'localhost:7001'}), '/instances/0/peerAddress: must be ip:port'],
	['an address without port', list({callerAddress: '127.0.0.1'}), '/instances/0/callerAddress'],
	['a port out of range', list({operatorAddress: '127.0.0.1:70000'}), '/instances/0/operatorAddress'],
	['a repeated name', list({}, {name: 'racks-1'}), '/instances/1/name: repeats the value of /instances/0/name'],
	['a repeated peer address', list({}, {peerAddress: '127.0.0.2:7100'}), '/instances/1/peerAddress'],
	['more faults than are listed', list(...Array.from({length: 8}, () => ({slots: -1}))), 'and 3 more'],
	['a value over the size limit', `"${'x'.repeat(fleetListLimits.maximumBytes)}"`, 'larger than'],
];

describe('parseFleetList', () => {
	it.each(refused)('refuses %s', (_case, text, message) => {
		expect(() => parseFleetList(text)).toThrow(message);
	});

	it('accepts unknown fields', () => {
		expect(parseFleetList(list({rack: 7})).instances[0]).toMatchObject({name: 'racks-1', slots: 55});
	});
});
