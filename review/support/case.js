/**
 * Runs a case: writes its record, bounds its time, and turns its result into the exit status.
 */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';

/** Status with which a script ends. */
const exitStatus = {held: 0, broken: 1, impossible: 2};
/** A script may run for two minutes. */
const maximumMilliseconds = 105_000;

/** Lines of the record, with the time since the start of the script. */
export class CaseRecord {
	#lines = [];

	write(text, at = performance.now()) {
		this.#lines.push(`${(at / 1000).toFixed(3).padStart(8)} ${text}`);
	}

	save(folder) {
		writeFileSync(path.join(folder, 'record.txt'), `${this.#lines.join('\n')}\n`);
	}
}

/** True unless the script shall leave out the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/**
 * Runs a case. `play` gets the record and a signal that ends its load, and returns true if the rule was broken; `cleanUp` ends all that
 * the case started.
 */
export async function runCase({folder, play, cleanUp}) {
	const record = new CaseRecord();
	const over = new AbortController();
	const interruption = new Promise((_resolve, reject) => {
		for (const name of ['SIGTERM', 'SIGINT']) {
			process.once(name, () => {
				reject(new Error(`the script got ${name}`));
			});
		}
	});
	let status = exitStatus.impossible;
	try {
		const isBroken = await Promise.race([play(record, over.signal), failAfterTimeout(over.signal), interruption]);
		status = isBroken ? exitStatus.broken : exitStatus.held;
		record.write(isBroken ? 'RESULT: the rule was broken' : 'RESULT: the rule held');
	} catch (error) {
		record.write(`the case could not run: ${error.stack}`);
	}

	over.abort();
	record.save(folder);
	await cleanUp();
	process.exitCode = status;
}

async function failAfterTimeout(signal) {
	await delay(maximumMilliseconds, undefined, {signal});
	throw new Error('the script took too long');
}
