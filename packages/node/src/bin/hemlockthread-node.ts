#!/usr/bin/env node
/**
 * Binary `hemlockthread-node`: runs one node with the settings file given as its only argument.
 */
import process from 'node:process';
import 'reflect-metadata';
import {loadSettings} from '@hemlockthread/settings';
import {startNode} from '../lib/start-node.js';

const usage = 'usage: hemlockthread-node SETTINGS.json\n';
const exitStatus = {badSettings: 2, startFailed: 3} as const;

try {
	const path = process.argv[2];
	if (path === undefined) {
		process.stderr.write(usage);
		process.exit(exitStatus.badSettings);
	}

	const settings = loadSettings(path);
	try {
		const node = await startNode(settings);
		const stop = () => {
			void node.stop();
		};

		process.once('SIGTERM', stop);
		process.once('SIGINT', stop);
		await node.stopped;
	} catch (error) {
		process.stderr.write(`hemlockthread-node can't start: ${String(error)}\n`);
		process.exitCode = exitStatus.startFailed;
	}
} catch (error) {
	process.stderr.write(`${String(error)}\n`);
	process.exitCode = exitStatus.badSettings;
}
