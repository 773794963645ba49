/**
 * Guards against invalid settings that are accepted, against fault messages without the path and the expected value, and against
 * an example file with which no node starts.
 */
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {
	describe, expect, it,
} from 'vitest';
import {checkSettings, loadSettings, parseSettings} from '../index.js';

const examplePath = fileURLToPath(new URL('../../../../examples/node-settings.json', import.meta.url));
const example = readFileSync(examplePath, 'utf8');

const invalidSettings: Array<[name: string, from: string, to: string, fault: string]> = [
	['an unknown key', '"region"', '"zone": "a", "region"', '/zone: expected only known keys, found an unknown key'],
	['a missing key', '"region": "nz-north",', '', '/region: expected a text, found nothing'],
	['a repeated key', '"region"', '"service": "other", "region"', '/service: expected each key once, found a repeated key'],
	['a host name', '"host": "127.0.0.1"', '"host": "localhost"', '/statsd/host: expected an IP number, found "localhost"'],
	['a port out of range', '8125', '81250', '/statsd/port: expected at most 65535, found 81250'],
	['a URL without a protocol', 'http://127.0.1.9:7100', '127.0.1.9:7100', '/platformUrl: expected an http URL whose host is an IP number, found "127.0.1.9:7100"'],
	['a URL with a host name', 'http://127.0.1.9:7100', 'http://platform:7100', '/platformUrl: expected an http URL whose host is an IP number'],
	['two listeners on one address', '7104', '7103', '/listen/operators: expected an address other than that of /listen/peers, found 127.0.1.1 port 7103'],
	['a wildcard that covers another listener', '"host": "127.0.1.1", "port": 7104', '"host": "0.0.0.0", "port": 7101', '/listen/operators: expected an address other than that of /listen/callers'],
	['a target at a local listener', 'http://127.0.1.1:7100', 'http://127.0.1.1:7101', '/targetUrl: expected an address other than that of /listen/callers'],
	['a wildcard for peers', '"host": "127.0.1.1", "port": 7103', '"host": "0.0.0.0", "port": 7103', '/listen/peers/host: expected the address at which peers reach this node'],
	['a target listener open to others', '"host": "127.0.1.1", "port": 7102', '"host": "10.0.0.1", "port": 7102', '/listen/target/host: expected a loopback address, found 10.0.0.1'],
	['an unknown log level', '"info"', '"verbose"', '/logLevel: expected one of "debug", "info", "warn", "error", found "verbose"'],
	['a key id twice', '"identityKeys": [', `"identityKeys": [{"id": "2026-12", "secret": "${'x'.repeat(32)}"},`, '/identityKeys/1/id: expected each key id once, found "2026-12" again'],
];

describe('settings', () => {
	it('load from the example file', () => {
		expect(loadSettings(examplePath)).toMatchObject({instance: 'releases-1', shutdownGraceMilliseconds: 30_000, controls: 'on'});
	});

	it.each(invalidSettings)('with %s are refused', (_name, from, to, fault) => {
		expect(example).toContain(from);
		expect(() => parseSettings(example.replace(from, to))).toThrow(fault);
	});

	it('with a short secret are refused without showing it', () => {
		const check = checkSettings(example.replace(/"secret": "[^"]*"/v, '"secret": "short-secret"'));
		expect(check).toMatchObject({faults: [{path: '/identityKeys/0/secret', expected: 'at least 32 characters', found: 'a text of 12 characters'}]});
	});

	it('in a missing file are reported with its path', () => {
		expect(() => loadSettings('/nowhere/settings.json')).toThrow('settings file /nowhere/settings.json can\'t be read: ENOENT');
	});
});
