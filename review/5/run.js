/**
 * A server answers without a length and ends the connection, and a client reads the answer slowly. Meanwhile the node process beside
 * the client is killed. What the client gets must not look like a complete answer if bytes are missing.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {hasTrouble, runCase} from '../support/case.js';
import {createClients} from '../support/client.js';
import {Deployment, hostName} from '../support/deployment.js';

/** Size of an answer. */
const bodyBytes = 24_000_000;
const slowClientCount = 3;
/** At most one in twenty answers has no length. */
const minimumAnswersPerUnframed = 20;
const usualClientsPerMachine = 4;
const slowPath = '/history/slow';
/** Time for which the clients stop reading after the first bytes. */
const pauseMilliseconds = 1500;
const killAfterMilliseconds = 500;

const deployment = new Deployment({
	machines: ['a', 'b', 'c'].map(zone => ({service: 'provenance', zone})),
	routes: [{
		host: hostName, prefix: '/history/', kind: 'idempotent', timeout: '5000ms', targetLatency: '1500ms', priority: 2, service: 'provenance', attempts: 2,
	}],
});

/** Sends a request on a connection of its own, and reads the answer with a pause. */
async function readSlowly(machine, attempt) {
	const socket = connect(deployment.entryPort, machine.host);
	await once(socket, 'connect');
	const chunks = [];
	const answer = {attempt, end: 'none'};
	socket.on('error', error => {
		answer.end = error.code;
	});
	socket.write(`GET ${slowPath} HTTP/1.1\r\nHost: ${hostName}\r\nX-Attempt-Id: ${attempt}\r\nX-Deadline-Ms: 5000\r\n\r\n`);
	await new Promise(resolve => {
		socket.on('data', data => {
			chunks.push(data);
			if (chunks.length === 1) {
				socket.pause();
				setTimeout(() => {
					socket.resume();
				}, pauseMilliseconds);
			}
		});
		socket.on('end', () => {
			answer.end = 'ended in order';
		});
		socket.on('close', resolve);
	});
	const bytes = Buffer.concat(chunks);
	const headEnd = bytes.indexOf('\r\n\r\n');
	answer.head = headEnd === -1 ? '' : bytes.subarray(0, headEnd).toString('latin1');
	answer.bodyBytes = headEnd === -1 ? 0 : bytes.length - headEnd - 4;
	return answer;
}

await runCase({
	folder: import.meta.dirname,
	async play(record, caseSignal) {
		await deployment.start();
		const [machine] = deployment.machines;
		for (const {server} of deployment.machines) {
			const {bodyOf} = server;
			server.isUnframed = ({path}) => path === slowPath;
			server.bodyOf = run => run.path === slowPath ? Buffer.alloc(bodyBytes, 'x') : bodyOf(run);
		}

		const usualClients = deployment.machines.flatMap(each => createClients(deployment, each, usualClientsPerMachine));
		const loadEnd = new AbortController();
		const signal = AbortSignal.any([caseSignal, loadEnd.signal]);
		const load = usualClients.map(async client => {
			while (!signal.aborted) {
				await client.send({path: '/history/usual'});
				await delay(50);
			}
		});
		await delay(1000);

		const reading = Array.from({length: slowClientCount}, async (_value, index) => readSlowly(machine, `slow${index}`));
		record.write(`${slowClientCount} clients on machine 0 read answers of ${bodyBytes} bytes without a length, and pause for ${pauseMilliseconds} ms`);
		await delay(killAfterMilliseconds);
		if (hasTrouble) {
			record.write('the node process of machine 0 is killed');
			deployment.signal(machine, 'SIGKILL');
		}

		const answers = await Promise.all(reading);
		loadEnd.abort();
		await Promise.all(load);
		let truncated = 0;
		for (const {attempt, end, head, bodyBytes: received} of answers) {
			const looksComplete = end === 'ended in order' && head.startsWith('HTTP/1.1 200 ') && /x-server-signature/iv.test(head) && !/content-length|transfer-encoding/iv.test(head);
			record.write(`${attempt}: ${head.split('\r\n', 1)[0]}, ${received} of ${bodyBytes} bytes, connection ${end}${looksComplete ? ', looks complete' : ''}`);
			if (looksComplete && received < bodyBytes) {
				truncated += 1;
			}
		}

		const runs = deployment.machines.flatMap(({server}) => server.runs);
		const slowRuns = runs.filter(({path}) => path === slowPath);
		for (const {attempt, server, finishedAt} of slowRuns) {
			record.write(`${server} ran ${attempt} and answered with ${bodyBytes} bytes`, finishedAt);
		}

		record.write(`the servers ran ${runs.length} requests and answered ${slowRuns.length} of them without a length`);
		if (runs.length < slowRuns.length * minimumAnswersPerUnframed) {
			throw new Error('too many answers have no length');
		}

		record.write(`${truncated} answers look complete and lack bytes`);
		return truncated > 0;
	},
	async cleanUp() {
		await deployment.stop();
	},
});
