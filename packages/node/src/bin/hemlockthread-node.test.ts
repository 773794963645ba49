/**
 * Guards against a node process that hangs, exits silently or exits with a misleading status when it can't start or run.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, type Server} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {text as readAll} from 'node:stream/consumers';
import {fileURLToPath} from 'node:url';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';

const binary = fileURLToPath(new URL('../../dist/bin/hemlockthread-node.js', import.meta.url));
const directory = mkdtempSync(path.join(tmpdir(), 'hemlockthread-node-'));
const host = '127.0.2.1';
const servers: Server[] = [];
const ports: number[] = [];

/** Reserves a free port by listening on it, so that each test has separate addresses. */
async function holdPort(): Promise<number> {
	const server = createServer(socket => {
		socket.destroy();
	}).listen(0, host);
	servers.push(server);
	await once(server, 'listening');
	return (server.address() as {port: number}).port;
}

async function release(count: number): Promise<void> {
	for (const server of servers.splice(0, count)) {
		server.close();
		await once(server, 'close');
	}
}

function settingsFile(changes: Record<string, unknown> = {}): string {
	const file = path.join(directory, 'settings.json');
	const [callers, target, peers, operators, targetPort, platformPort] = ports;
	writeFileSync(file, JSON.stringify({
		instance: 'test-1', service: 'test', failureDomain: 'a', region: 'r', listen: {
			callers: {host, port: callers}, target: {host, port: target}, peers: {host, port: peers}, operators: {host, port: operators},
		}, targetUrl: `http://${host}:${targetPort}`, targetSlots: 1, platformUrl: `http://${host}:${platformPort}`,
		identityKeys: [{id: 'test', secret: 'a secret for tests with 32 characters or more'}], ...changes,
	}));
	return file;
}

async function run(arguments_: string[], options: {preload?: string; signalWhenStarted?: NodeJS.Signals} = {}) {
	// Preloads code that raises an unhandled error on a signal, because the node has no other way to raise one.
	const preload = options.preload === undefined ? [] : ['--import', `data:text/javascript,${encodeURIComponent(options.preload)}`];
	const child = spawn(process.execPath, [...preload, binary, ...arguments_], {stdio: ['ignore', 'pipe', 'pipe']});
	child.stderr.on('data', (chunk: Uint8Array) => {
		if (options.signalWhenStarted !== undefined && chunk.toString().includes('node started')) {
			child.kill(options.signalWhenStarted);
		}
	});
	const [output, errors, [status]] = await Promise.all([readAll(child.stdout), readAll(child.stderr), once(child, 'exit')]);
	return {output, errors, status: status as number | null};
}

beforeAll(async () => {
	for (let index = 0; index < 6; index += 1) {
		ports.push(await holdPort());
	}
});

afterAll(async () => {
	await release(servers.length);
	rmSync(directory, {recursive: true, force: true});
});

describe('hemlockthread-node that can\'t start', () => {
	it.each([
		['no argument', () => [], 64, 'usage: hemlockthread-node SETTINGS.json'],
		['two arguments', () => ['a', 'b'], 64, 'usage: hemlockthread-node SETTINGS.json'],
		['a missing file', () => [path.join(directory, 'none.json')], 66, 'none.json can\'t be read: ENOENT'],
		['a bad setting', () => [settingsFile({targetSlots: 0})], 78, '/targetSlots: expected at least 1, found 0'],
		['an address of another machine', () => [settingsFile({
			listen: {
				callers: {host, port: ports[0]}, target: {host, port: ports[1]}, peers: {host: '192.0.2.1', port: 7103}, operators: {host, port: ports[3]},
			},
		})], 69, 'listener peers can\'t listen on 192.0.2.1 port 7103: this machine has no such address'],
		['a taken port', () => [settingsFile()], 69, `listener peers can't listen on ${host}`],
	])('ends with a clear message for %s', async (_name, makeArguments, status, message) => {
		const result = await run(makeArguments());
		expect(result.errors).toContain(message);
		expect(result.status).toBe(status);
	});

	it('ends when only the last listener\'s port is taken', async () => {
		// The port of the callers listener is the first in the list and stays reserved.
		const callers = servers.shift()!;
		await release(3);
		const result = await run([settingsFile()]);
		expect(result.errors).toContain(`listener callers can't listen on ${host} port ${ports[0]}: the address is in use by another process`);
		expect(result.status).toBe(69);
		servers.unshift(callers);
		await release(1);
	});
});

describe('hemlockthread-node that runs', () => {
	it.each([
		['an unhandled rejection', 'process.on("SIGUSR2", () => {Promise.reject(new Error("not handled"))})', 'SIGUSR2', 70, '"event":"unhandled-rejection"'],
		['an uncaught exception', 'process.on("SIGUSR2", () => {throw new Error("not handled")})', 'SIGUSR2', 70, '"event":"uncaught-exception"'],
		['SIGTERM', undefined, 'SIGTERM', 0, '"event":"node stopped"'],
		['a second SIGTERM during the stop', 'process.once("SIGTERM", () => {setTimeout(() => {process.kill(process.pid, "SIGTERM")}, 1)})', 'SIGTERM', 0, '"event":"node stopped"'],
	])('ends and logs on %s', async (_name, preload, signal, status, line) => {
		const result = await run([settingsFile()], {preload, signalWhenStarted: signal as NodeJS.Signals});
		expect(result.errors).toContain(line);
		expect(result.errors).toContain('"event":"node started"');
		expect(result.status).toBe(status);
	});
});
