/**
 * A small deployment on loopback addresses: one node process per machine, started with the command and the settings template of the
 * deploy file, beside a stand-in server. Nodes that end are started again, as the platform does.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request as httpRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Server} from './server.js';
import {Store} from './store.js';

const repository = fileURLToPath(new URL('../../', import.meta.url));
const deployFile = readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8');
const [, command] = /^run = "(.+)"$/mv.exec(deployFile);
const [, templateFile] = /^template = "(.+)"$/mv.exec(deployFile);
const template = readFileSync(path.join(repository, templateFile), 'utf8');

export const grace = 6000;
/** Delay after which the platform starts a process again that has ended. */
const restartMilliseconds = 300;
/** Time for all nodes to become ready. */
const startMilliseconds = 30_000;

/** Loopback hosts of this process, so that two scripts don't meet. */
function hostOf(index) {
	return `127.${10 + (process.pid % 200)}.${1 + (Math.trunc(process.pid / 200) % 250)}.${1 + index}`;
}

async function freePorts(host, count) {
	const servers = Array.from({length: count}, () => createServer().listen(0, host));
	await Promise.all(servers.map(async server => once(server, 'listening')));
	const ports = servers.map(server => server.address().port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}

function fillTemplate(fields) {
	return template.replaceAll(/\{\{(?<name>[\w.]+)\|json\}\}/gv, (_text, name) => {
		let value = fields;
		for (const part of name.split('.')) {
			value = value[part];
		}

		return JSON.stringify(value);
	});
}

export class Machine {
	/** How the processes of this machine ended. */
	endings = [];
	#child;
	#isClosed = false;
	#folder = mkdtempSync(path.join(tmpdir(), 'review-node-'));

	constructor({name, service, zone, host, ports, storeAddress}) {
		this.name = name;
		this.service = service;
		this.zone = zone;
		this.host = host;
		this.ports = ports;
		this.server = new Server(`i-${name}`);
		writeFileSync(path.join(this.#folder, 'settings.json'), fillTemplate({
			node: name, service, zone, ip: host, appAddress: `${host}:${ports.server}`,
			listen: {outbound: `${host}:${ports.entry}`, ready: `${host}:${ports.ready}`},
			portRange: [ports.peer, ports.peer], provider: {address: storeAddress}, heartbeat: '1500ms',
			bounds: {
				grace: `${grace}ms`, retryBudgetRatio: 0.2, budgetSlack: 50, budgetWindow: '10s',
			},
		}));
	}

	get processId() {
		return this.#child.pid;
	}

	get isRunning() {
		return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null;
	}

	start() {
		const [program, ...words] = command.split(' ');
		const child = spawn(program, words, {
			cwd: repository, stdio: 'ignore',
			env: {PATH: process.env.PATH, HOME: process.env.HOME, HEMLOCKTHREAD_SETTINGS: path.join(this.#folder, 'settings.json')},
		});
		this.#child = child;
		child.once('exit', (status, signal) => {
			this.endings.push({at: performance.now(), status, signal});
			if (!this.#isClosed) {
				setTimeout(() => {
					if (!this.#isClosed) {
						this.start();
					}
				}, restartMilliseconds);
			}
		});
	}

	signal(name) {
		this.#child.kill(name);
	}

	async waitUntilReady(milliseconds = 20_000) {
		const endAt = performance.now() + milliseconds;
		while (await this.readyStatus() !== 200) {
			if (performance.now() > endAt) {
				throw new Error(`${this.name} is not ready after ${milliseconds} ms`);
			}

			await delay(50);
		}
	}

	async readyStatus() {
		return new Promise(resolve => {
			const request = httpRequest({
				host: this.host, port: this.ports.ready, path: '/hemlockthread/readyz', agent: false,
			}, response => {
				response.resume();
				resolve(response.statusCode);
			});
			request.on('error', () => {
				resolve(undefined);
			});
			request.end();
		});
	}

	kill() {
		this.#isClosed = true;
		if (this.isRunning) {
			this.#child.kill('SIGKILL');
		}
	}

	async close() {
		this.#isClosed = true;
		if (this.isRunning) {
			this.#child.kill('SIGKILL');
			await once(this.#child, 'exit');
		}

		this.server.close();
		rmSync(this.#folder, {recursive: true, force: true});
	}
}

export class Fleet {
	store = new Store();
	machines = [];
	#version = 0;
	#services = [];

	/**
	 * `services` names the service of each machine, `zones` the zones over which the machines are spread. The last `unstarted` machines have no
	 * server yet.
	 */
	async start({services, zones, routes, slots, unstarted = 0}) {
		const hosts = services.map((_service, index) => hostOf(index));
		const [server, entry, ready, peer] = await freePorts(hosts[0], 4);
		const ports = {
			server, entry, ready, peer,
		};
		const storePort = await this.store.listen(hosts[0]);
		for (const host of hosts.slice(1)) {
			await this.store.listen(host, storePort);
		}

		this.#services = [...new Set(services)];
		this.publish(routes);
		for (const [index, service] of services.entries()) {
			const machine = new Machine({
				name: `machine-${index}`, service, zone: zones[index % zones.length], host: hosts[index], ports, storeAddress: `${hosts[index]}:${storePort}`,
			});
			this.machines.push(machine);
			if (index < services.length - unstarted) {
				await machine.server.listen(machine.host, server);
				this.publishServer(machine, slots);
			}
		}

		for (const machine of this.machines) {
			machine.start();
		}

		await Promise.all(this.machines.map(async machine => machine.waitUntilReady(startMilliseconds)));
		// The links between the nodes are opened.
		await delay(2000);
	}

	/** Writes a new version of the manifest. */
	publish(routes) {
		this.#version += 1;
		this.store.put('op/config', {
			version: `r${this.#version}`,
			resources: [
				...routes.map((spec, index) => ({type: 'routes', metadata: {name: `r-${index}`}, spec})),
				...this.#services.map(name => ({
					type: 'services', metadata: {name}, spec: {
						healthPath: '/healthz', maxConnections: 748, protocol: 'h1', tls: false,
					},
				})),
				{
					type: 'limits', metadata: {}, spec: {
						maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeout: '3000ms', idleTimeout: '15000ms',
					},
				},
			],
		});
	}

	publishServer({server, service, host, ports, zone}, slots, state = 'ready') {
		this.store.put(`servers/${server.id}`, {
			service, address: `${host}:${ports.server}`, zone, version: 'v1', slots, state, coldRemaining: '0ms', sequence: 4, born: Date.now(),
		});
	}

	/** Ends all processes at once. */
	kill() {
		for (const machine of this.machines) {
			machine.kill();
		}
	}

	async close() {
		await Promise.all(this.machines.map(async machine => machine.close()));
		this.store.close();
	}
}
