/**
 * Tests of the target queue under overload: the concurrency limit, the start order and the refusal of work that would start too late.
 */
import {describe, expect, it} from 'vitest';
import {FakeClock} from './fake-clock.js';
import {rankOfCall} from './request-flow.js';
import {TargetQueue} from './target-queue.js';

type Outcome = {name: string; result: 'started' | 'refused'; at: number};

function createQueue(slots: number) {
	const clock = new FakeClock();
	const queue = new TargetQueue(slots, clock);
	const outcomes: Outcome[] = [];
	const submit = (name: string, rank: number, startTimeoutMilliseconds: number, workMilliseconds = 50, instance = 'i-1') => queue.submit({
		instance, rank,
		latestStartAt: clock.now() + startTimeoutMilliseconds,
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
		clock, queue, outcomes, submit,
	};
}

describe('the queue', () => {
	it('never exceeds the concurrency limit of the target', () => {
		const {clock, queue, submit} = createQueue(20);
		let maximumActive = 0;
		for (let step = 0; step < 400; step += 1) {
			submit(String(step), step % 3, 1000);
			maximumActive = Math.max(maximumActive, queue.load.active);
			clock.advance(1);
		}

		expect(maximumActive).toBeLessThanOrEqual(20);
		expect(maximumActive).toBe(queue.load.limit);
	});

	it('starts lower ranks first and equal ranks by arrival', () => {
		const {clock, outcomes, submit} = createQueue(1);
		submit('running', 3, 1000);
		submit('browse', 3, 1000);
		submit('booking 1', 1, 1000);
		submit('call', 0, 1000);
		submit('booking 2', 1, 1000);
		clock.advance(1000);
		expect(outcomes.map(({name}) => name)).toEqual(['running', 'call', 'booking 1', 'booking 2', 'browse']);
	});

	it('immediately refuses work that would start too late', () => {
		const {outcomes, submit} = createQueue(1);
		submit('running', 1, 1000);
		submit('soon', 1, 1000);
		submit('late', 1, 60);
		expect(outcomes.at(-1)).toEqual({name: 'late', result: 'refused', at: 0});
	});

	it('refuses queued work that more urgent work delays too much, before its latest start', () => {
		const {clock, outcomes, submit} = createQueue(1);
		submit('running', 1, 1000);
		submit('browse', 3, 120);
		for (let index = 0; index < 5; index += 1) {
			submit(`booking ${index}`, 1, 1000);
		}

		clock.advance(20);
		expect(outcomes.find(({name}) => name === 'browse')).toMatchObject({result: 'refused'});
	});

	it('removes cancelled work', () => {
		const {clock, outcomes, submit} = createQueue(1);
		submit('running', 1, 1000);
		submit('left', 1, 1000)();
		clock.advance(1000);
		expect(outcomes.map(({name}) => name)).toEqual(['running']);
	});

	it('refuses the queued work of an instance that accepts no more, and keeps the order of the rest', () => {
		const {clock, queue, outcomes, submit} = createQueue(1);
		submit('running', 1, 1000);
		for (let index = 0; index < 4; index += 1) {
			submit(`work ${index}`, 1, 1000, 50, index % 2 === 0 ? 'i-1' : 'i-2');
		}

		queue.refuseWaiting('i-1');
		expect(outcomes.slice(1)).toEqual([{name: 'work 0', result: 'refused', at: 0}, {name: 'work 2', result: 'refused', at: 0}]);
		clock.advance(1000);
		expect(outcomes.slice(3).map(({name}) => name)).toEqual(['work 1', 'work 3']);
	});

	it('starts or refuses all submitted work exactly once, whatever the load', () => {
		const {clock, outcomes, submit} = createQueue(4);
		for (let step = 0; step < 1000; step += 1) {
			submit(String(step), step % 4, 20 + (step % 7 * 30), 10 + (step % 5 * 20));
			clock.advance(step % 3);
		}

		clock.advance(5000);
		expect(new Set(outcomes.map(({name}) => name)).size).toBe(1000);
		expect(outcomes).toHaveLength(1000);
	});
});

it('under overload, urgent requests start before downstream calls of less urgent ones, and those before new requests of their rank', () => {
	const {clock, outcomes, submit} = createQueue(1);
	submit('running', 0, 1000);
	submit('browse', 2, 1000);
	submit('call of browse', rankOfCall(2), 1000);
	submit('call of a call of browse', rankOfCall(rankOfCall(2)), 1000);
	submit('look-up', 1, 1000);
	submit('call of booking', rankOfCall(0), 1000);
	clock.advance(1000);
	expect(outcomes.map(({name}) => name)).toEqual([
		'running', 'call of booking', 'look-up', 'call of browse', 'call of a call of browse', 'browse',
	]);
});
