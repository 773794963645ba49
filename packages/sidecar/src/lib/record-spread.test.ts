/**
 * Guards the spread of changes in a simulated fleet without a network: every node must receive a change within the platform's bound,
 * also when the watchers are killed or a failure domain is cut off, with a number of calls to the configuration service that does not
 * grow with the fleet.
 */
import {describe, expect, it} from 'vitest';
import type {DecodedRecord, TargetInstance} from './fleet-model.js';
import {FleetRecords} from './fleet-records.js';
import {Neighbourhood, neighbourhoodOptions} from './neighbourhood.js';
import {RecordSpread, type RecordNeighbour} from './record-spread.js';
import {millisecondsUntilCall, watchDutyOptions} from './watch-duty.js';

/** The platform's shortest bound on the time until a published change is in force. */
const boundMilliseconds = 2000;
const hopMilliseconds = 2;
const callMilliseconds = 4;
const stepMilliseconds = 2;
/** Time until all nodes are confirmed after the start. */
const settleMilliseconds = 3000;
const domains = ['a', 'b', 'c'];

type Node = {host: string; failureDomain: string; isUp: boolean; records: FleetRecords; spread: RecordSpread; neighbourhood: Neighbourhood; nextCallAt: number; randomness: number};
type Delivery = {at: number; from: Node; to: Node; deliver(): void};

const decode = (_key: string, value: string): DecodedRecord => ({
	type: 'policy', policy: {
		version: Number(value), routes: [], services: new Map(), limits: undefined as never,
	},
});

/** Random numbers that repeat in each run. */
function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = ((state * 1_103_515_245) + 12_345) % 2_147_483_648;
		return state / 2_147_483_648;
	};
}

class SimulatedFleet {
	now = 0;
	calls = 0;
	isServiceUp = true;
	readonly nodes: Node[];
	private revision = 1;
	private deliveries: Delivery[] = [];
	private readonly random: () => number;
	private readonly isCut: (first: Node, second: Node) => boolean;

	constructor(size: number, seed: number, isCut: (first: Node, second: Node) => boolean = () => false) {
		this.random = createRandom(seed);
		this.isCut = isCut;
		const instances = Array.from({length: size}, (_, index): TargetInstance => ({
			name: `i-${index}`, service: 'racks', address: {host: `${seed}-${index}`, port: 80}, failureDomain: domains[index % domains.length]!, slots: 1, state: 'ready',
			startedAtUnixMilliseconds: 1, reportCount: 1, coldMilliseconds: 0,
		}));
		const byHost = new Map<string, Node>();
		const links = new Map<Node, Set<Node>>();
		this.nodes = instances.map(({address: {host}, failureDomain}) => {
			const records = new FleetRecords({decode, heartbeatMilliseconds: 1500, now: () => this.now});
			const node: Node = {
				host, failureDomain, isUp: true, records, nextCallAt: 0, randomness: this.random(),
				neighbourhood: new Neighbourhood({host, failureDomain}, () => instances),
				spread: new RecordSpread({
					records, clock: {now: () => this.now, after: () => () => undefined}, neighbours: () => [...links.get(node)!].map(other => this.neighbour(node, other)),
				}),
			};
			byHost.set(host, node);
			links.set(node, new Set());
			return node;
		});
		for (const node of this.nodes) {
			for (const host of node.neighbourhood.exchangeHosts) {
				links.get(node)!.add(byHost.get(host)!);
				links.get(byHost.get(host)!)!.add(node);
			}
		}
	}

	publish(): void {
		this.revision += 1;
		if (this.isServiceUp) {
			for (const node of this.nodes.filter(({neighbourhood}) => neighbourhood.isWatcher)) {
				node.nextCallAt = this.now + callMilliseconds;
			}
		}
	}

	run(milliseconds: number): void {
		for (const end = this.now + milliseconds; this.now < end; this.now += stepMilliseconds) {
			const due = this.deliveries.filter(({at}) => at <= this.now);
			this.deliveries = this.deliveries.filter(({at}) => at > this.now);
			for (const {from, to, deliver} of due) {
				if (to.isUp && !this.isCut(from, to)) {
					deliver();
				}
			}

			for (const node of this.nodes) {
				if (node.isUp && this.now >= node.nextCallAt) {
					this.callIfDue(node);
				}
			}
		}
	}

	/** Time until all nodes that are up have the newest version; infinite if that takes longer than the given time. */
	timeUntilAllUpdated(maximumMilliseconds: number): number {
		const startedAt = this.now;
		while (this.nodes.some(({isUp, records}) => isUp && records.policy?.version !== this.revision)) {
			if (this.now - startedAt > maximumMilliseconds) {
				return Number.POSITIVE_INFINITY;
			}

			this.run(stepMilliseconds);
		}

		return this.now - startedAt;
	}

	private callIfDue(node: Node): void {
		const {spread, neighbourhood, randomness} = node;
		const wait = millisecondsUntilCall({
			now: this.now, isWatcher: neighbourhood.isWatcher, rank: neighbourhood.watchRank, nodeCount: this.nodes.length, confirmedAt: spread.confirmedAt ?? 0,
			peerAttemptAt: spread.peerAttemptAt, ownAttemptAt: spread.ownAttemptAt,
		}, randomness);
		if (wait > 0) {
			return;
		}

		this.calls += 1;
		node.randomness = this.random();
		// A watch of one to two seconds, or after a failure the longest delay before the next try.
		node.nextCallAt = this.now + (this.isServiceUp ? 1000 + (this.random() * 1000) : 600);
		if (this.isServiceUp) {
			node.records.configurationService.recordResponse();
			const isNew = node.records.apply({key: 'policy', revision: this.revision, value: String(this.revision)}, 'service');
			node.records.markComplete('', this.revision);
			spread.recordOwnResponse(isNew);
		} else {
			node.records.configurationService.recordFailure(this.now);
			spread.recordOwnFailure();
		}
	}

	/** The side of a link at which `node` sends to `other`. */
	private neighbour(node: Node, other: Node): RecordNeighbour {
		const send = (deliver: (sentAt: number) => void) => {
			const sentAt = this.now;
			this.deliveries.push({
				at: sentAt + hopMilliseconds, from: node, to: other, deliver() {
					deliver(sentAt);
				},
			});
		};

		return {
			sendProgress: progress => {
				send(sentAt => {
					other.spread.receiveProgress(this.neighbour(other, node), progress, this.now - sentAt);
				});
			},
			requestChanges: after => {
				send(() => {
					const changes = other.records.changesSince(after);
					const progress = other.spread.progress();
					this.deliveries.push({
						at: this.now + hopMilliseconds, from: other, to: node, deliver: () => {
							node.spread.receiveChanges(this.neighbour(node, other), changes);
							node.spread.receiveProgress(this.neighbour(node, other), progress, hopMilliseconds);
						},
					});
				});
			},
		};
	}
}

const watchersOf = (fleet: SimulatedFleet) => fleet.nodes.filter(({neighbourhood}) => neighbourhood.isWatcher);

describe.each([30, 300, 1340])('in a fleet of %i nodes', size => {
	it('a change reaches all nodes at once, and the calls do not grow with the fleet', () => {
		const fleet = new SimulatedFleet(size, 1);
		fleet.run(settleMilliseconds);
		fleet.publish();
		expect(fleet.timeUntilAllUpdated(boundMilliseconds)).toBeLessThan(200);
		fleet.calls = 0;
		fleet.run(10_000);
		// Each watcher calls at most once a second; a few substitutes may call when all watchers happen to wait for long.
		expect(fleet.calls).toBeLessThanOrEqual((neighbourhoodOptions.watchers * 10) + 10);
	});

	it('a change reaches all nodes within the bound although all watchers were just killed', () => {
		const fleet = new SimulatedFleet(size, 2);
		fleet.run(settleMilliseconds);
		for (const watcher of watchersOf(fleet)) {
			watcher.isUp = false;
		}

		fleet.publish();
		expect(fleet.timeUntilAllUpdated(boundMilliseconds)).toBeLessThan(boundMilliseconds);
	});

	it('a change reaches all nodes within the bound while each domain is cut off from the others', () => {
		let isCut = false;
		const fleet = new SimulatedFleet(size, 3, (first, second) => isCut && first.failureDomain !== second.failureDomain);
		fleet.run(settleMilliseconds);
		isCut = true;
		for (const watcher of watchersOf(fleet).slice(1)) {
			watcher.isUp = false;
		}

		fleet.publish();
		expect(fleet.timeUntilAllUpdated(boundMilliseconds)).toBeLessThan(boundMilliseconds);
	});

	it('an outage of the service costs a bounded number of calls, and changes reach all nodes after it', () => {
		const fleet = new SimulatedFleet(size, 4);
		fleet.run(settleMilliseconds);
		fleet.isServiceUp = false;
		fleet.run(1500);
		fleet.calls = 0;
		fleet.run(8000);
		const watcherCalls = neighbourhoodOptions.watchers * 8000 / 600;
		expect(fleet.calls).toBeLessThanOrEqual(Math.ceil(watcherCalls + (watchDutyOptions.fleetProbesPerSecond * 8 * 1.5)));
		fleet.isServiceUp = true;
		fleet.publish();
		expect(fleet.timeUntilAllUpdated(boundMilliseconds)).toBeLessThan(boundMilliseconds);
	});
});
