/**
 * Stand-in for a StatsD receiver, which records the metric lines of all datagrams.
 */
import type {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';

/** A metric line `name:value|type|#tag:value,…`. @public */
export type StatsDLine = {name: string; value: number; type: string; tags: Record<string, string>};

/**
 * Receives metrics over UDP.
 *
 * @public
 */
export class StatsDStandIn {
	readonly lines: StatsDLine[] = [];
	/** Size in bytes of each datagram. */
	readonly datagramBytes: number[] = [];
	private readonly socket: Socket = createSocket('udp4', message => {
		this.receive(message);
	});

	/** Listens on a free port and returns it. */
	async listen(host: string): Promise<number> {
		this.socket.bind(0, host);
		await once(this.socket, 'listening');
		return this.socket.address().port;
	}

	/** Returns the first line of a metric, waiting for it if none has arrived yet. */
	async waitFor(name: string): Promise<StatsDLine> {
		for (;;) {
			const line = this.lines.find(candidate => candidate.name === name);
			if (line !== undefined) {
				return line;
			}

			await once(this.socket, 'message');
		}
	}

	async close(): Promise<void> {
		this.socket.close();
		await once(this.socket, 'close');
	}

	private receive(message: Buffer): void {
		this.datagramBytes.push(message.byteLength);
		for (const text of message.toString().split('\n').filter(Boolean)) {
			const [nameAndValue = '', type = '', tags = ''] = text.split('|');
			const [name = '', value] = nameAndValue.split(':');
			const pairs = tags.replace('#', '').split(',').filter(Boolean).map(tag => tag.split(':') as [string, string]);
			this.lines.push({
				name, value: Number(value), type, tags: Object.fromEntries(pairs),
			});
		}
	}
}
