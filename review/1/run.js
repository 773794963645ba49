/**
 * One server sheds part of its requests and, for a few seconds, spoils part of its answers: it stops in the middle of the head and
 * writes an earlier refusal of the kept connection once more. No request that is not idempotent may run twice.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {hasTrouble, runCase} from '../support/case.js';
import {createClients} from '../support/client.js';
import {Deployment, hostName} from '../support/deployment.js';
import {FaultyServer} from '../support/faulty-server.js';

/** Doses of the site file: garble spoils 3 in 100 answers for 5 s, and 0.14 of the servers shed up to 45 in 100 requests for 6.5 s. */
const spoilInterval = 34;
const shedInterval = 40;
const faultyMilliseconds = 5000;
const clientsPerMachine = 8;

const deployment = new Deployment({
	machines: ['a', 'b', 'b', 'b', 'b', 'c', 'c', 'c'].map(zone => ({service: 'releases', zone})),
	routes: [{
		host: hostName, prefix: '/release/', kind: 'non_idempotent', timeout: '1500ms', targetLatency: '1000ms', priority: 0, service: 'releases', attempts: 2,
	}],
});
for (const machine of deployment.machines) {
	machine.server = new FaultyServer(machine.server.id);
}

await runCase({
	folder: import.meta.dirname,
	async play(record, caseSignal) {
		await deployment.start();
		const {server} = deployment.machines[0];
		const clients = deployment.machines.flatMap(machine => createClients(deployment, machine, clientsPerMachine));
		const loadEnd = new AbortController();
		const signal = AbortSignal.any([caseSignal, loadEnd.signal]);
		const load = clients.map(async client => {
			while (!signal.aborted) {
				await client.send({
					method: 'POST', path: '/release/bottle', body: 'bottle', limitMilliseconds: 3000,
				});
				await delay(10);
			}
		});
		await delay(1000);
		server.isFaulty = true;
		server.shedInterval = shedInterval;
		server.spoilInterval = hasTrouble ? spoilInterval : Number.POSITIVE_INFINITY;
		record.write(`the server ${server.id} sheds one in ${shedInterval} requests${hasTrouble ? ` and spoils one in ${spoilInterval} answers` : ''}`);
		await delay(faultyMilliseconds);
		server.isFaulty = false;
		record.write(`the server ${server.id} is sound again; it shed ${server.shedRequests} requests and spoiled ${server.spoiledAnswers} of ${server.faultyAnswers} answers`);
		await delay(1500);
		loadEnd.abort();
		await Promise.all(load);
		const runsByAttempt = new Map();
		for (const run of deployment.machines.flatMap(machine => machine.server.runs)) {
			runsByAttempt.set(run.attempt, [...(runsByAttempt.get(run.attempt) ?? []), run]);
		}

		const requests = clients.flatMap(client => client.requests);
		let twice = 0;
		let refused = 0;
		for (const {attempt, sentAt, endedAt, status, end} of requests) {
			const runs = runsByAttempt.get(attempt) ?? [];
			record.write(`${attempt}: ${status ?? end} after ${Math.round(endedAt - sentAt)} ms, run by ${runs.map(run => run.server).join(' and ') || 'no server'}`, sentAt);
			twice += runs.length > 1 ? 1 : 0;
			refused += runs.length > 0 && [408, 421, 429, 503].includes(status) ? 1 : 0;
		}

		record.write(`${requests.length} requests: ${twice} ran twice; ${refused} ran and were answered as not run`);
		return twice > 0;
	},
	async cleanUp() {
		await deployment.stop();
	},
});
