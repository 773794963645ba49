/**
 * Runs a case: keeps its record and closes its fleet. Resolves with the exit status: 1 if the rule was broken, 0 if it held and 2 if the
 * case couldn't run.
 */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {Fleet} from './fleet.js';

/** A case runs for 120 seconds at most. */
const maximumMilliseconds = 110_000;
const exitStatus = {held: 0, broken: 1, notRun: 2};

/** Rejects when the case is stopped or takes too long. */
async function waitForInterruption() {
	return new Promise((_resolve, reject) => {
		for (const signal of ['SIGINT', 'SIGTERM']) {
			process.on(signal, () => {
				reject(new Error(`stopped by ${signal}`));
			});
		}

		setTimeout(() => {
			reject(new Error('it took too long'));
		}, maximumMilliseconds);
	});
}

/** `play` gets a fleet and a function that adds a line to the record; it resolves with true if the rule was broken. */
export async function runCase({recordFile, isTroubled}, play) {
	const lines = [];
	const note = text => {
		lines.push(`${Math.round(performance.now())} ms ${text}`);
	};

	const fleet = new Fleet();
	process.on('exit', () => {
		fleet.kill();
	});
	note(isTroubled ? 'with the disruption' : 'without the disruption');
	let status = exitStatus.notRun;
	try {
		status = await Promise.race([play(fleet, note), waitForInterruption()]) ? exitStatus.broken : exitStatus.held;
	} catch (error) {
		note(`the case couldn't run: ${error.stack}`);
	}

	await fleet.close();
	note(`exit status ${status}`);
	writeFileSync(recordFile, `${lines.join('\n')}\n`);
	return status;
}
