/**
 * Tests of the retry budget: all nodes together never exceed the total in any window, whatever each of them observes.
 */
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {FakeClock} from './fake-clock.js';
import {RetryBudget} from './retry-budget.js';

const ratio = 0.2;
const slack = 50;
const windowMilliseconds = 10_000;

type Event = {node: number; kind: 'request' | 'repeat' | 'ask'; pause: number; delay: number; lost: boolean};

const event = fc.record<Event>({
	node: fc.integer({min: 0, max: 4}), kind: fc.constantFrom('request', 'request', 'repeat', 'repeat', 'repeat', 'ask', 'ask'), pause: fc.integer({min: 0, max: 400}),
	delay: fc.integer({min: 0, max: 1500}), lost: fc.boolean(),
});

const bookings = (count = 1) => new Map([['bookings', count]]);

describe('the retry budget', () => {
	it('holds in every window for all nodes together, with grants late, lost or on time', () => {
		fc.assert(fc.property(fc.array(event, {maxLength: 400}), fc.integer({min: 5, max: 9}), fc.integer({min: 1, max: 9}), (events, believedNodes, count) => {
			const clock = new FakeClock();
			const nodes = Array.from({length: 5}, () => new RetryBudget({
				ratio, slack, windowMilliseconds, nodeCount: () => believedNodes, clock,
			}));
			const requests: number[] = [];
			const retries: number[] = [];
			for (const {node, kind, pause, delay, lost} of events) {
				clock.advance(pause);
				const budget = nodes[node]!;
				if (kind === 'request') {
					budget.recordRequest('bookings');
					requests.push(clock.now());
				} else if (kind === 'repeat') {
					if (budget.take(bookings(count), node % 2)) {
						retries.push(...Array.from({length: count}, () => clock.now()));
					}
				} else {
					const shortfall = budget.shortfall();
					for (const peer of shortfall === undefined ? [] : nodes.filter(other => other !== budget)) {
						const granted = peer.grant(shortfall!);
						if (granted !== undefined && !lost) {
							clock.after(delay, () => {
								budget.receiveGrant(granted, delay);
							});
						}
					}
				}
			}

			for (const end of retries) {
				const within = (times: number[], length: number) => times.filter(time => time > end - length && time <= end).length;
				// Retries in a window may be earned by requests of the same window or of the previous one.
				expect(within(retries, windowMilliseconds)).toBeLessThanOrEqual((ratio * within(requests, 2 * windowMilliseconds)) + slack);
			}
		}), {numRuns: 300});
	});

	it('lets a node with failing calls use the budget of other nodes', () => {
		const clock = new FakeClock();
		const [failing, ...others] = Array.from({length: 5}, () => new RetryBudget({
			ratio, slack, windowMilliseconds, nodeCount: () => 5, clock,
		}));
		for (const other of others) {
			for (let request = 0; request < 100; request += 1) {
				other.recordRequest('bookings');
			}
		}

		let taken = 0;
		for (let step = 0; step < 100; step += 1) {
			taken += failing!.take(bookings(), 0) ? 1 : 0;
			clock.advance(50);
			for (const peer of failing!.shortfall() === undefined ? [] : others) {
				failing!.receiveGrant(peer.grant(failing!.shortfall()!) ?? {}, 1);
			}
		}

		// Alone, the node may spend 70% of its part of the slack: 7. With grants it spends at least half of 70% of the total of 80 + 50.
		expect(taken).toBeGreaterThanOrEqual(65 * 0.7);
	});

	it('leaves part of the budget to more urgent requests that also need retries', () => {
		const clock = new FakeClock();
		const budget = new RetryBudget({
			ratio, slack: 100, windowMilliseconds, nodeCount: () => 1, clock,
		});
		expect(budget.take(bookings(), 0)).toBe(true);
		let lessUrgent = 0;
		while (budget.take(bookings(), 2)) {
			lessUrgent += 1;
		}

		expect(lessUrgent).toBeLessThan(70 * 0.65);
		expect(budget.take(bookings(), 0)).toBe(true);
	});

	it('charges a retry for its downstream calls', () => {
		const clock = new FakeClock();
		const budget = new RetryBudget({
			ratio, slack: 20, windowMilliseconds, nodeCount: () => 1, clock,
		});
		const work = new Map([['provenance', 1], ['releases', 1], ['intake', 1], ['racks', 4]]);
		let taken = 0;
		while (budget.take(work, 1)) {
			taken += 1;
		}

		// 70% of 20 retries at `racks`, four for each retry of the request.
		expect(taken).toBe(3);
		expect(budget.take(new Map([['racks', 1]]), 1)).toBe(true);
	});

	it('is available again after its window', () => {
		const clock = new FakeClock();
		const budget = new RetryBudget({
			ratio, slack: 10, windowMilliseconds, nodeCount: () => 1, clock,
		});
		const work = new Map([['racks', 1]]);
		while (budget.take(work, 1)) {
			// Spends the whole budget.
		}

		clock.advance(9000);
		expect(budget.take(work, 1)).toBe(false);
		clock.advance(3000);
		expect(budget.take(work, 1)).toBe(true);
	});
});
