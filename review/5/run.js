/**
 * One server gives a few answers without a length, and some of these are reset in the middle. What the client gets must not look like a
 * complete answer.
 */
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {hasTrouble, runCase} from '../support/case.js';
import {createClients} from '../support/client.js';
import {Deployment, hostName} from '../support/deployment.js';

/** Size of an answer: the mean of the site's bond releases. */
const bodyBytes = 1500;
/** Dose of the site's days: garble "unframed" spoils 5 in 100 answers for 5 s. */
const unframedInterval = 20;
const faultyMilliseconds = 5000;
const clientsPerMachine = 6;

const deployment = new Deployment({
	machines: ['a', 'b', 'c'].map(zone => ({service: 'provenance', zone})),
	routes: [{
		host: hostName, prefix: '/history/', kind: 'idempotent', timeout: '1500ms', targetLatency: '1000ms', priority: 2, service: 'provenance', attempts: 2,
	}],
});

await runCase({
	folder: import.meta.dirname,
	async play(record, caseSignal) {
		await deployment.start();
		for (const {server} of deployment.machines) {
			server.workMilliseconds = 20;
			server.bodyOf = () => Buffer.alloc(bodyBytes, 'x');
		}

		const {server} = deployment.machines[0];
		const loadEnd = new AbortController();
		const signal = AbortSignal.any([caseSignal, loadEnd.signal]);
		const clients = deployment.machines.flatMap(machine => createClients(deployment, machine, clientsPerMachine));
		const load = clients.map(async client => {
			while (!signal.aborted) {
				await client.send({path: '/history/vintage', limitMilliseconds: 3000});
				await delay(20);
			}
		});
		await delay(1000);
		const unframed = new Set();
		const firstFaultyRun = server.runs.length;
		server.isUnframed = run => {
			const isDue = (server.runs.indexOf(run, firstFaultyRun) - firstFaultyRun + 1) % unframedInterval === 0;
			if (isDue) {
				unframed.add(run.attempt);
			}

			return isDue;
		};

		server.isBrokenOff = run => hasTrouble && unframed.has(run.attempt);
		record.write(`the server ${server.id} gives one in ${unframedInterval} answers without a length${hasTrouble ? ' and resets them in the middle' : ''}`);
		await delay(faultyMilliseconds);
		server.isUnframed = () => false;
		record.write(`the server ${server.id} is sound again; ${unframed.size} of ${server.runs.length - firstFaultyRun} answers had no length`);
		await delay(500);
		loadEnd.abort();
		await Promise.all(load);
		let truncated = 0;
		for (const {attempt, sentAt, status, end, body, headers} of clients.flatMap(client => client.requests)) {
			const isTruncated = status === 200 && body.length !== bodyBytes;
			truncated += isTruncated ? 1 : 0;
			if (unframed.has(attempt) || isTruncated) {
				record.write(`${attempt}: ${status ?? end}, ${body?.length ?? 0} of ${bodyBytes} bytes, signature ${headers?.['x-server-signature'] ?? 'none'}`, sentAt);
			}
		}

		record.write(`${truncated} answers look complete and lack bytes`);
		return truncated > 0;
	},
	async cleanUp() {
		await deployment.stop();
	},
});
