/**
 * The queue in front of a target, under the loads that it answers.
 */
import {describe, expect, it} from 'vitest';
import {FakeClock} from './fake-clock.js';
import {rankOfCall} from './request-flow.js';
import {TargetQueue} from './target-queue.js';

type Outcome = {name: string; result: 'started' | 'refused'; at: number};

function play(slots: number) {
	const clock = new FakeClock();
	const queue = new TargetQueue(slots, clock);
	const outcomes: Outcome[] = [];
	const offer = (name: string, rank: number, usefulMilliseconds: number, workMilliseconds = 50, instance = 'i-1') => queue.submit({
		instance, rank,
		latestStartAt: clock.now() + usefulMilliseconds,
		start() {
			outcomes.push({name, result: 'started', at: clock.now()});
			clock.after(workMilliseconds, () => {
				queue.release(workMilliseconds);
			});
		},
		refuse() {
			outcomes.push({name, result: 'refused', at: clock.now()});
		},
	});
	return {
		clock, queue, outcomes, offer,
	};
}

describe('the queue', () => {
	it('never has more at the target than it works on at once', () => {
		const {clock, queue, offer} = play(20);
		let most = 0;
		for (let step = 0; step < 400; step += 1) {
			offer(String(step), step % 3, 1000);
			most = Math.max(most, queue.load.active);
			clock.advance(1);
		}

		expect(most).toBeLessThanOrEqual(20);
		expect(most).toBe(queue.load.limit);
	});

	it('starts lower ranks first and equal ranks by arrival', () => {
		const {clock, outcomes, offer} = play(1);
		offer('running', 3, 1000);
		offer('browse', 3, 1000);
		offer('booking 1', 1, 1000);
		offer('call', 0, 1000);
		offer('booking 2', 1, 1000);
		clock.advance(1000);
		expect(outcomes.map(({name}) => name)).toEqual(['running', 'call', 'booking 1', 'booking 2', 'browse']);
	});

	it('refuses at once what would start too late', () => {
		const {outcomes, offer} = play(1);
		offer('running', 1, 1000);
		offer('soon', 1, 1000);
		offer('late', 1, 60);
		expect(outcomes.at(-1)).toEqual({name: 'late', result: 'refused', at: 0});
	});

	it('refuses waiting work that work of a higher rank pushes too far back, before its time is over', () => {
		const {clock, outcomes, offer} = play(1);
		offer('running', 1, 1000);
		offer('browse', 3, 120);
		for (let index = 0; index < 5; index += 1) {
			offer(`booking ${index}`, 1, 1000);
		}

		clock.advance(20);
		expect(outcomes.find(({name}) => name === 'browse')).toMatchObject({result: 'refused'});
	});

	it('forgets work that is taken back', () => {
		const {clock, outcomes, offer} = play(1);
		offer('running', 1, 1000);
		offer('left', 1, 1000)();
		clock.advance(1000);
		expect(outcomes.map(({name}) => name)).toEqual(['running']);
	});

	it('refuses what waits for an instance that takes no more, and keeps the rest in its order', () => {
		const {clock, queue, outcomes, offer} = play(1);
		offer('running', 1, 1000);
		for (let index = 0; index < 4; index += 1) {
			offer(`work ${index}`, 1, 1000, 50, index % 2 === 0 ? 'i-1' : 'i-2');
		}

		queue.refuseWaiting('i-1');
		expect(outcomes.slice(1)).toEqual([{name: 'work 0', result: 'refused', at: 0}, {name: 'work 2', result: 'refused', at: 0}]);
		clock.advance(1000);
		expect(outcomes.slice(3).map(({name}) => name)).toEqual(['work 1', 'work 3']);
	});

	it('settles everything that was offered, whatever the load', () => {
		const {clock, outcomes, offer} = play(4);
		for (let step = 0; step < 1000; step += 1) {
			offer(String(step), step % 4, 20 + (step % 7 * 30), 10 + (step % 5 * 20));
			clock.advance(step % 3);
		}

		clock.advance(5000);
		expect(new Set(outcomes.map(({name}) => name)).size).toBe(1000);
		expect(outcomes).toHaveLength(1000);
	});
});

it('under overload, urgent requests come before calls of less urgent ones, and those before new requests of their rank', () => {
	const {clock, outcomes, offer} = play(1);
	offer('running', 0, 1000);
	offer('browse', 2, 1000);
	offer('call of browse', rankOfCall(2), 1000);
	offer('call of a call of browse', rankOfCall(rankOfCall(2)), 1000);
	offer('look-up', 1, 1000);
	offer('call of booking', rankOfCall(0), 1000);
	clock.advance(1000);
	expect(outcomes.map(({name}) => name)).toEqual([
		'running', 'call of booking', 'look-up', 'call of browse', 'call of a call of browse', 'browse',
	]);
});
