/**
 * Guards against wrong exit statuses and unreported faults in the commands that need no running fleet. Runs the real binary.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	afterAll, describe, expect, it,
} from 'vitest';
import {exampleFile, runBinary} from './run-binary.js';

const directory = mkdtempSync(path.join(tmpdir(), 'hemlockthread-operator-'));
const invalidFile = path.join(directory, 'invalid.json');
writeFileSync(invalidFile, '{"schemaVersion": 9, "instances": [{}], "kinds": 1}');
const policy1 = exampleFile('policy-version-1.json');
const policy2 = exampleFile('policy-version-2.json');
const settings = exampleFile('node-settings.json');
const fleet = exampleFile('fleet-list.json');
const missing = path.join(directory, 'missing.json');

afterAll(() => {
	rmSync(directory, {recursive: true, force: true});
});

describe('hemlockthread', () => {
	it.each([
		[['check', 'policy', policy1], 0, 'is valid'],
		[['check', 'policy', policy2], 0, 'is valid'],
		[['check', 'policy', invalidFile], 1, '/schemaVersion: expected one of 1, 2, found 9'],
		[['check', 'settings', settings], 0, 'is valid'],
		[['check', 'settings', invalidFile], 1, '/instance: expected a text, found nothing'],
		[['check', 'fleet', fleet], 0, 'is valid'],
		[['check', 'fleet', invalidFile], 1, '/schemaVersion: expected one of 1, found 9'],
		[['check', 'fleet', missing], 2, 'missing.json can\'t be read: ENOENT'],
		[['compare', policy1, policy1], 0, 'both records mean the same'],
		[['compare', policy1, policy2], 1, '+ /kinds/withdrawal/notes: "One bottle leaves the bonded store."'],
		[['compare', policy1, invalidFile], 1, 'invalid.json is invalid'],
		[['compare', policy1, missing], 2, 'can\'t be read'],
		[['compare', policy1], 2, 'Not enough positional arguments'],
		[['publish'], 2, 'Command not found'],
		[['dump'], 2, 'give either --address or --platform'],
		[['dump', '--address', 'localhost'], 2, '--address'],
		[['follow', '--platform', 'http://127.0.0.1:1', '--timeout', '5 sec'], 2, '--timeout'],
		[['published', '--platform', 'http://127.0.0.1:1'], 3, 'can\'t be read'],
		[['dump', '--address', '127.0.0.1:1'], 3, 'can\'t be read'],
		[['explain', '--address', '127.0.0.1:1', '--service', 's', '--kind', 'k'], 3, 'can\'t be read'],
		[['follow', '--platform', 'http://127.0.0.1:1'], 3, 'can\'t be read'],
	])('%s ends with status %i', async (arguments_, status, text) => {
		const result = await runBinary(arguments_);
		expect(result.output + result.errors).toContain(text);
		expect(result.status).toBe(status);
	});

	it.each([
		[['check', 'fleet', fleet], {valid: true, faults: []}],
		[['check', 'fleet', invalidFile], {valid: false, faults: [{path: '/schemaVersion', expected: 'one of 1', found: '9'}]}],
		[['compare', policy1, policy2], {equal: false, schemaVersions: {before: 1, after: 2}, changes: [{path: '/kinds/withdrawal/notes'}]}],
	])('%s --json prints one JSON value', async (arguments_, expected) => {
		const {output} = await runBinary([...arguments_, '--json']);
		expect(JSON.parse(output)).toMatchObject(expected);
	});

	it.each(['check policy', 'check settings', 'check fleet', 'compare', 'published', 'dump', 'follow', 'explain'])('%s --help lists options, units and statuses', async command => {
		const {output, status} = await runBinary([...command.split(' '), '--help']);
		expect(status).toBe(0);
		expect(output.replaceAll(/\s+/gv, ' ')).toMatch(/--json.*Exit status: 0 ok/v);
	});
});
