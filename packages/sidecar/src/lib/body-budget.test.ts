/**
 * Tests of the limit for large bodies: the order in which bytes are reserved, and that each reservation ends.
 */
import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {BodyBudget, bodyBudgetOptions} from './body-budget.js';
import {FakeClock} from './fake-clock.js';

const {maximumBytes, maximumWaitMilliseconds} = bodyBudgetOptions;
const half = maximumBytes / 2;

let clock: FakeClock;
let budget: BodyBudget;
let settled: string[];

beforeEach(() => {
	clock = new FakeClock();
	budget = new BodyBudget(clock);
	settled = [];
});

const reserve = (name: string, bytes: number) => budget.reserve(bytes, isReserved => {
	settled.push(`${name} ${isReserved ? 'reserved' : 'refused'}`);
});

describe('bytes for large bodies', () => {
	it('are reserved up to the limit, then in the order of the requests', () => {
		const first = reserve('first', half);
		reserve('second', half);
		reserve('third', half);
		reserve('fourth', 1);
		expect(settled).toEqual(['first reserved', 'second reserved']);
		first();
		expect(settled).toEqual(['first reserved', 'second reserved', 'third reserved']);
		expect(budget.reservedBytes).toBe(maximumBytes);
	});

	it('are reserved for a body over the limit once no other is held', () => {
		const first = reserve('first', 1);
		const second = reserve('second', maximumBytes * 2);
		expect(settled).toEqual(['first reserved']);
		first();
		second();
		expect(settled).toEqual(['first reserved', 'second reserved']);
		expect(budget.reservedBytes).toBe(0);
	});

	it('are refused after the time for which a caller waits', () => {
		const first = reserve('first', maximumBytes);
		const second = reserve('second', maximumBytes);
		clock.advance(maximumWaitMilliseconds);
		expect(settled).toEqual(['first reserved', 'second refused']);
		second();
		first();
		expect(budget.reservedBytes).toBe(0);
	});

	it('are freed once, also if the release is called twice or before they are reserved', () => {
		const first = reserve('first', maximumBytes);
		const second = reserve('second', maximumBytes);
		second();
		first();
		first();
		reserve('third', maximumBytes);
		clock.advance(maximumWaitMilliseconds);
		expect(settled).toEqual(['first reserved', 'third reserved']);
		expect(budget.reservedBytes).toBe(maximumBytes);
	});
});
