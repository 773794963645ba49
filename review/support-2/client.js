/**
 * A stand-in for a client: it sends one request and tells how it ended.
 */
import {request as httpRequest} from 'node:http';

/** Resolves with the status, or with the error code if the connection ended without a whole answer. */
export async function sendRequest(machine, {
	attempt, host, method = 'GET', path, body, deadlineMilliseconds, agent = false,
}) {
	return new Promise(resolve => {
		const request = httpRequest({
			host: machine.host, port: machine.ports.entry, method, path, agent,
			headers: {
				host, 'x-attempt-id': attempt, 'x-deadline-ms': String(deadlineMilliseconds),
				...(body !== undefined && {'content-length': String(body.length)}),
			},
		}, response => {
			response.resume();
			response.on('close', () => {
				resolve(response.complete ? response.statusCode : 'cut off');
			});
		});
		request.on('error', error => {
			resolve(error.code);
		});
		request.end(body);
	});
}

/** Counts equal results, for the record. */
export function countResults(results) {
	const counts = {};
	for (const result of results) {
		counts[result] = (counts[result] ?? 0) + 1;
	}

	return JSON.stringify(counts);
}
