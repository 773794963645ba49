/**
 * A small deployment on loopback addresses: the node processes of the deploy file, one beside each stand-in server, and a stand-in
 * store. Like the platform, it restarts a process that ended.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request as sendRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {SoundServer} from './server.js';
import {Store} from './store.js';

const repository = fileURLToPath(new URL('../..', import.meta.url));
/** Delay after which an ended process is started again. */
const restartMilliseconds = 500;
/** Bounds of a small deployment, as in the pages' example of a settings file. */
const bounds = {
	grace: '6s', retryBudgetRatio: 0.2, budgetWindow: '10s', budgetSlack: 50,
};
const limits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeout: '3000ms', idleTimeout: '15000ms',
};

export const hostName = 'hulo84.example';

export class Deployment {
	store = new Store();
	machines = [];
	/** Ends of node processes that the script did not cause. */
	unexpectedEnds = [];
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	#isStopping = false;
	#ports;
	#storeHost;
	#version = 5;

	/** `machines` holds the service and the zone of each machine, and whether it joins later; `routes` the specifications of the manifest's routes. */
	constructor({machines, routes}) {
		// No process outlives the script, however it ends.
		process.on('exit', () => {
			for (const {process: node} of this.machines) {
				node?.kill('SIGKILL');
			}
		});
		const network = `127.${80 + Math.floor(Math.random() * 40)}.${1 + Math.floor(Math.random() * 250)}`;
		this.#storeHost = `${network}.5`;
		this.routes = routes;
		this.machines = machines.map(({service, zone, joinsLater = false}, index) => ({
			index, service, zone, joinsLater, host: `${network}.${20 + index}`, server: new SoundServer(`i-${index}`),
			process: undefined, startedAt: 0, isEndExpected: false,
		}));
	}

	async start() {
		const [server, entry, ready, peer, store] = await freePorts([this.#storeHost, ...this.machines.map(({host}) => host)], 5);
		this.#ports = {
			server, entry, ready, peer, store,
		};
		await this.store.listen(this.#storeHost, store);
		this.publishManifest();
		const machines = this.machines.filter(({joinsLater}) => !joinsLater);
		for (const machine of this.machines) {
			await machine.server.listen(machine.host, server);
		}

		for (const machine of machines) {
			this.publishServer(machine);
			this.startNode(machine);
		}

		await this.waitUntilReady(machines);
		// The nodes open their links.
		await delay(1500);
	}

	get entryPort() {
		return this.#ports.entry;
	}

	publishManifest() {
		this.#version += 2;
		const services = [...new Set(this.machines.map(({service}) => service))];
		this.store.put('op/config', {
			version: `r${this.#version}`,
			resources: [
				...this.routes.map((spec, index) => ({type: 'routes', metadata: {name: `r-${index}`}, spec})),
				...services.map(name => ({
					type: 'services', metadata: {name}, spec: {
						healthPath: '/healthz', maxConnections: 484, protocol: 'h1', tls: false,
					},
				})),
				{type: 'limits', metadata: {}, spec: limits},
			],
		});
	}

	publishServer({host, server, service, zone}) {
		this.store.put(`servers/${server.id}`, {
			service, address: `${host}:${this.#ports.server}`, zone, version: 'v1', slots: 64, state: 'ready', coldRemaining: '0ms', sequence: 4, born: 1_700_000_000_000,
		});
	}

	/** Starts the node of a machine with the command of the deploy file. */
	startNode(machine) {
		const settings = path.join(this.#folder, `settings-${machine.index}.json`);
		writeFileSync(settings, this.#renderSettings(machine));
		const [program, ...words] = runCommand();
		const log = openSync(path.join(this.#folder, `node-${machine.index}.log`), 'a');
		const node = spawn(program, words, {
			cwd: repository, stdio: ['ignore', log, log], env: {PATH: process.env.PATH, HOME: process.env.HOME ?? '/', HEMLOCKTHREAD_SETTINGS: settings},
		});
		closeSync(log);
		machine.process = node;
		machine.isEndExpected = false;
		machine.startedAt = performance.now();
		node.on('exit', (code, signal) => {
			if (machine.process !== node || this.#isStopping) {
				return;
			}

			machine.process = undefined;
			if (!machine.isEndExpected) {
				this.unexpectedEnds.push({
					machine: machine.index, at: performance.now(), code, signal,
				});
			}

			setTimeout(() => {
				if (!this.#isStopping) {
					this.startNode(machine);
				}
			}, restartMilliseconds);
		});
	}

	/** Sends a signal to the node of a machine. */
	signal(machine, name) {
		machine.isEndExpected = true;
		machine.process?.kill(name);
	}

	async waitUntilReady(machines, milliseconds = 20_000) {
		const endAt = performance.now() + milliseconds;
		for (const machine of machines) {
			while (await this.status(machine, this.#ports.ready, '/hemlockthread/readyz') !== 200) {
				if (performance.now() > endAt) {
					throw new Error(`machine ${machine.index} is not ready`);
				}

				await delay(50);
			}
		}
	}

	/** Returns the state that a node shows to operators. */
	async stateOf(machine) {
		return new Promise((resolve, reject) => {
			const request = sendRequest({
				host: machine.host, port: 9464, path: '/state', agent: false,
			}, response => {
				let text = '';
				response.on('data', chunk => {
					text += chunk;
				});
				response.on('end', () => {
					resolve(JSON.parse(text));
				});
			});
			request.on('error', reject);
			request.end();
		});
	}

	async status({host}, port, requestPath) {
		return new Promise(resolve => {
			const request = sendRequest({
				host, port, path: requestPath, agent: false, timeout: 1000,
			}, response => {
				response.resume();
				resolve(response.statusCode);
			});
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve(0);
			});
			request.end();
		});
	}

	/** Text that a node has written. */
	logOf({index}) {
		return readFileSync(path.join(this.#folder, `node-${index}.log`), 'utf8');
	}

	/** Ends all processes and stand-ins. */
	async stop() {
		this.#isStopping = true;
		for (const {process: node} of this.machines) {
			if (node !== undefined && node.exitCode === null && node.signalCode === null) {
				node.kill('SIGKILL');
				await once(node, 'exit');
			}
		}

		for (const {server} of this.machines) {
			server.close();
		}

		this.store.close();
		rmSync(this.#folder, {recursive: true, force: true});
	}

	#renderSettings({index, host, service, zone}) {
		const {server, entry, ready, peer, store} = this.#ports;
		const fields = {
			node: `sidecar-${zone}-${index}`, service, zone, ip: host, appAddress: `${host}:${server}`, listen: {outbound: `${host}:${entry}`, ready: `${host}:${ready}`},
			portRange: [peer, peer + 15], provider: {address: `${this.#storeHost}:${store}`}, bounds, heartbeat: '1500ms',
		};
		const template = readFileSync(path.join(repository, 'deploy/node-settings.json'), 'utf8');
		return template.replaceAll(/\{\{(?<name>[\w.]+)\|json\}\}/gv, (_match, name) => {
			let value = fields;
			for (const part of name.split('.')) {
				value = value[part];
			}

			return JSON.stringify(value);
		});
	}
}

/** The words of the command that the deploy file names. */
function runCommand() {
	const text = readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<command>[^"]+)"$/mv.exec(text).groups.command.split(' ');
}

/** Returns consecutive groups of ports that are free on all hosts. */
async function freePorts(hosts, count) {
	for (;;) {
		const first = 20_000 + (Math.floor(Math.random() * 500) * 20);
		const ports = Array.from({length: count}, (_value, index) => first + index);
		const isFree = await Promise.all(hosts.flatMap(host => ports.map(async port => canListen(host, port))));
		if (!isFree.includes(false)) {
			return ports;
		}
	}
}

async function canListen(host, port) {
	return new Promise(resolve => {
		const server = createServer();
		server.on('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
