/**
 * The retry budget: no fleet of nodes exceeds the total in any window, whatever each of them sees.
 */
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {FakeClock} from './fake-clock.js';
import {RetryBudget} from './retry-budget.js';

const ratio = 0.2;
const slack = 50;
const windowMilliseconds = 10_000;

type Event = {node: number; kind: 'request' | 'repeat'; pause: number};

const event = fc.record<Event>({
	node: fc.integer({min: 0, max: 4}), kind: fc.constantFrom('request', 'repeat', 'repeat'), pause: fc.integer({min: 0, max: 400}),
});

describe('the retry budget', () => {
	it('holds in every window for all nodes together', () => {
		fc.assert(fc.property(fc.array(event, {maxLength: 400}), fc.integer({min: 5, max: 9}), (events, believedNodes) => {
			const clock = new FakeClock();
			const nodes = Array.from({length: 5}, () => new RetryBudget({
				ratio, slack, windowMilliseconds, nodes: () => believedNodes, clock,
			}));
			const requests: number[] = [];
			const repeats: number[] = [];
			for (const {node, kind, pause} of events) {
				clock.advance(pause);
				if (kind === 'request') {
					nodes[node]!.noteRequest('bookings');
					requests.push(clock.now());
				} else if (nodes[node]!.take(new Map([['bookings', 1]]))) {
					repeats.push(clock.now());
				}
			}

			for (const end of repeats) {
				const within = (times: number[], length: number) => times.filter(time => time > end - length && time <= end).length;
				// A window counts the requests of itself or of the one before it.
				expect(within(repeats, windowMilliseconds)).toBeLessThanOrEqual((ratio * within(requests, 2 * windowMilliseconds)) + slack);
			}
		}), {numRuns: 200});
	});

	it('charges a repeat for the calls below it', () => {
		const clock = new FakeClock();
		const budget = new RetryBudget({
			ratio, slack: 20, windowMilliseconds, nodes: () => 1, clock,
		});
		const work = new Map([['provenance', 1], ['releases', 1], ['intake', 1], ['racks', 4]]);
		let taken = 0;
		while (budget.take(work)) {
			taken += 1;
		}

		// 70% of 20 repeats at the racks, four for each repeat at the top.
		expect(taken).toBe(3);
		expect(budget.take(new Map([['racks', 1]]))).toBe(true);
	});

	it('is free again after its window', () => {
		const clock = new FakeClock();
		const budget = new RetryBudget({
			ratio, slack: 10, windowMilliseconds, nodes: () => 1, clock,
		});
		const work = new Map([['racks', 1]]);
		while (budget.take(work)) {
			// Takes all.
		}

		clock.advance(9000);
		expect(budget.take(work)).toBe(false);
		clock.advance(3000);
		expect(budget.take(work)).toBe(true);
	});
});
