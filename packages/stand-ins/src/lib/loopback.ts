/**
 * Loopback addresses and ports for processes of tests and experiments.
 */
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import process from 'node:process';

const firstSecondOctet = 16;
const secondOctets = 200;
const lowByte = 0xFF;

/**
 * Returns an address of 127.0.0.0/8 that only this process uses. Ports found free are taken a moment later by other
 * processes; on a shared address another test could take them in between.
 *
 * @public
 */
export function processLoopbackHost(index: number): string {
	const secondOctet = firstSecondOctet + (Math.floor(process.pid / (lowByte + 1)) % secondOctets);
	return `127.${secondOctet}.${process.pid % (lowByte + 1)}.${index + 1}`;
}

/** Finds free TCP ports on an address; all are held until the last is found, so that none is given twice. @public */
export async function freePorts(host: string, count: number): Promise<number[]> {
	const servers = Array.from({length: count}, () => createServer().listen(0, host));
	await Promise.all(servers.map(async server => once(server, 'listening')));
	const ports = servers.map(server => (server.address() as AddressInfo).port);
	await Promise.all(servers.map(async server => {
		server.close();
		await once(server, 'close');
	}));
	return ports;
}
