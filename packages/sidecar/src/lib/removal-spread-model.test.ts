/**
 * Property-based test of the exchange of removals between nodes that started at different times: a node that never saw a removal must
 * not make other nodes complete without it.
 */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {DecodedRecord, StoredRecord} from './fleet-model.js';
import {FleetRecords} from './fleet-records.js';

const runs = 5000;
const maximumSteps = 40;
const nodeCount = 3;
const keys = ['one', 'two', 'three', 'four'] as const;
const prefix = '';

type Step = {action: keyof Simulation['actions']; key: number; node: number; other: number; age: number};

const decode = (key: string, value: string): DecodedRecord => ({
	type: 'instance', instance: {
		name: key, service: 'racks', address: {host: key, port: 80}, failureDomain: 'a', slots: 1, state: 'ready', startedAtUnixMilliseconds: Number(value),
		reportCount: 1, coldMilliseconds: 0,
	},
});

/** A store with its history, and nodes that list it, watch it and fetch changes from each other. */
class Simulation {
	readonly actions = {
		register: ({key}: Step) => {
			this.write(keys[key]!, String(this.revision + 1));
		},
		remove: ({key}: Step) => {
			this.write(keys[key]!, undefined);
		},
		watch: ({node}: Step) => {
			const {records} = this.nodes[node]!;
			const after = records.completeTo[prefix] ?? 0;
			for (const record of this.history.slice(after)) {
				records.apply(record, 'service');
			}

			records.markComplete(prefix, this.revision);
		},
		list: ({node}: Step) => {
			this.list(node, this.revision);
		},
		/** A listing from an outdated copy of the store. */
		listOutdated: ({node, age}: Step) => {
			this.list(node, Math.max(0, this.revision - age));
		},
		/** A node fetches what it lacks from another one, as after a message about its progress. */
		fetch: ({node, other}: Step) => {
			const {records} = this.nodes[node]!;
			records.applyChanges(this.nodes[other]!.records.changesSince(records.completeTo));
		},
		restart: ({node, age}: Step) => {
			this.nodes[node] = createNode();
			this.list(node, Math.max(0, this.revision - age));
		},
	};

	readonly nodes = Array.from({length: nodeCount}, createNode);
	/** The record with revision n is at index n - 1. */
	private readonly history: StoredRecord[] = [];

	get revision(): number {
		return this.history.length;
	}

	/** Keys that the store has had at some time from a revision on. */
	keysSince(revision: number): Set<string> {
		const found = new Set(this.itemsAt(revision).keys());
		for (const {key, value} of this.history.slice(revision)) {
			if (value !== undefined) {
				found.add(key);
			}
		}

		return found;
	}

	private write(key: string, value: string | undefined): void {
		this.history.push({key, revision: this.revision + 1, value});
	}

	private list(node: number, revision: number): void {
		this.nodes[node]!.records.applyListing(prefix, [...this.itemsAt(revision).values()], revision);
	}

	private itemsAt(revision: number): Map<string, StoredRecord> {
		const items = new Map<string, StoredRecord>();
		for (const record of this.history.slice(0, revision)) {
			if (record.value === undefined) {
				items.delete(record.key);
			} else {
				items.set(record.key, record);
			}
		}

		return items;
	}
}

function createNode(): {records: FleetRecords; newestRevision: number} {
	return {records: new FleetRecords({decode, heartbeatMilliseconds: 1500, now: () => 0}), newestRevision: 0};
}

function expectNoRemovedInstance(world: Simulation): void {
	for (const node of world.nodes) {
		const completeTo = node.records.completeTo[prefix] ?? 0;
		const known = world.keysSince(completeTo);
		expect(node.records.instancesOf('racks').map(({name}) => name).filter(name => !known.has(name))).toEqual([]);
		expect(completeTo).toBeGreaterThanOrEqual(node.newestRevision);
		node.newestRevision = completeTo;
	}
}

const step: fc.Arbitrary<Step> = fc.record({
	action: fc.constantFrom(...Object.keys(new Simulation().actions) as Array<Step['action']>),
	key: fc.nat(keys.length - 1), node: fc.nat(nodeCount - 1), other: fc.nat(nodeCount - 1), age: fc.nat(6),
});

/** Guards against a fleet that goes on using a target that left, because a node without its removal vouched for all changes. */
describe('a node whose records are complete up to a revision uses no instance that was removed before it', () => {
	it('in any order of listings, watches, restarts and exchanges', () => {
		fc.assert(fc.property(fc.array(step, {maxLength: maximumSteps, size: 'max'}), steps => {
			const world = new Simulation();
			for (const current of steps) {
				world.actions[current.action](current);
				expectNoRemovedInstance(world);
			}
		}), {numRuns: runs, seed: 27});
	});

	it.each<[string, Array<[Step['action'], node: number, other?: number]>]>([
		['after fetching from a node that joined after the removal', [['register', 0], ['list', 0], ['remove', 0], ['list', 1], ['fetch', 0, 1]]],
		['after fetching from a node that restarted after the removal', [['register', 0], ['list', 0], ['list', 1], ['remove', 0], ['restart', 1], ['fetch', 0, 1]]],
		['after fetching from a node that fetched from the one that joined', [['register', 0], ['list', 0], ['remove', 0], ['list', 1], ['fetch', 2, 1], ['fetch', 0, 2]]],
		['after a fetch between nodes that all started from outdated listings', [
			['register', 0], ['restart', 0], ['remove', 0], ['restart', 1], ['register', 1], ['restart', 2], ['fetch', 0, 2], ['fetch', 1, 0],
		]],
	])('%s', (_name, steps) => {
		const world = new Simulation();
		for (const [action, node, other = 0] of steps) {
			world.actions[action]({
				action, node, other, key: 0, age: 0,
			});
			expectNoRemovedInstance(world);
		}
	});
});
