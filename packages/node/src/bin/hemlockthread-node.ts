#!/usr/bin/env node
/**
 * Entry point of the `hemlockthread-node` binary, which runs one node with the settings file given as its only argument.
 */
import {once} from 'node:events';
import process from 'node:process';
import 'reflect-metadata';
import {loadSettings, SettingsFileError} from '@hemlockthread/settings';
import {SettingsError} from '@hemlockthread/verdict';
import {exitStatus} from '../lib/exit-status.js';
import {ListenError} from '../lib/listen-error.js';
import {startNode} from '../lib/start-node.js';

const usage = `usage: hemlockthread-node SETTINGS.json

Runs one node. SETTINGS.json is described in docs/operators/settings.md.
SIGTERM and SIGINT stop the node gracefully.

exit status: ${exitStatus.stopped} stopped, ${exitStatus.usage} wrong usage, ${exitStatus.settingsUnreadable} settings file unreadable,
${exitStatus.addressUnavailable} an address can't be listened on, ${exitStatus.internalError} internal error, ${exitStatus.settingsInvalid} settings invalid
`;

const [path, ...rest] = process.argv.slice(2);
if (path === '--help' || path === '-h') {
	process.stdout.write(usage);
} else if (path === undefined || rest.length > 0) {
	process.stderr.write(usage);
	process.exitCode = exitStatus.usage;
} else {
	await run(path);
}

async function run(settingsPath: string): Promise<void> {
	try {
		const settings = loadSettings(settingsPath);
		const stopSignal = new AbortController();
		const requestStop = () => {
			stopSignal.abort();
		};

		// Registered before the start, so that a signal during the start also stops the node gracefully, and not only once, so that a
		// second signal doesn't end the process during the stop.
		process.on('SIGTERM', requestStop);
		process.on('SIGINT', requestStop);
		const node = await startNode(settings);
		if (!stopSignal.signal.aborted) {
			await once(stopSignal.signal, 'abort');
		}

		await node.stop();
		// Exits explicitly, because a pending read from the platform would keep the process alive until its timeout.
		process.exit(exitStatus.stopped);
	} catch (error) {
		process.stderr.write(`hemlockthread-node can't start: ${(error as Error).message}\n`);
		// Exits explicitly, because listeners that have already started would keep the process alive.
		process.exit(statusOf(error));
	}
}

function statusOf(error: unknown): number {
	if (error instanceof SettingsFileError) {
		return exitStatus.settingsUnreadable;
	}

	if (error instanceof SettingsError) {
		return exitStatus.settingsInvalid;
	}

	return error instanceof ListenError ? exitStatus.addressUnavailable : exitStatus.internalError;
}
