/**
 * Simulates root admission with a model of a downstream service: requests of three ranks call one service that cannot serve all of
 * them. The load reports are as old as those of peers.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {describe, expect, it} from 'vitest';
import {RootAdmission, rootAdmissionOptions} from './root-admission.js';

/** Requests of one rank per second, and calls of the downstream service per request. */
type Load = {perSecond: number; calls: number};

/** Based on the load of the first site's deepest downstream service, at twice its usual rate. */
const doubleLoad: Load[] = [{perSecond: 180, calls: 8}, {perSecond: 200, calls: 1}, {perSecond: 510, calls: 4}];
const usualLoad: Load[] = doubleLoad.map(({perSecond, calls}) => ({perSecond: perSecond / 2, calls}));

const slots = 182;
const callMilliseconds = 55;
const stepMilliseconds = 10;
const reportMilliseconds = 1000;
/** Time between the arrival of a request and its downstream calls. */
const delayMilliseconds = 250;

type Result = {offered: number; admitted: number};

function simulate(loads: Load[], seconds: number) {
	const generator = xoroshiro128plus(42);
	const random = () => uniformFloat64(generator);
	const admission = new RootAdmission(random);
	const results: Result[] = loads.map(() => ({offered: 0, admitted: 0}));
	const arriving = new Map<number, number>();
	let work = 0;
	let done = 0;
	let report = {active: 0, waiting: 0, limit: slots};
	let longestQueue = 0;
	for (let now = 0; now < seconds * 1000; now += stepMilliseconds) {
		for (const [rank, {perSecond, calls}] of loads.entries()) {
			const expected = perSecond * stepMilliseconds / 1000;
			const count = Math.floor(expected + random());
			for (let index = 0; index < count; index += 1) {
				results[rank]!.offered += 1;
				if (admission.overloadedService(rank, ['deep']) === undefined) {
					results[rank]!.admitted += 1;
					const at = now + delayMilliseconds;
					arriving.set(at, (arriving.get(at) ?? 0) + calls);
				}
			}
		}

		work += arriving.get(now) ?? 0;
		const finished = Math.min(work, slots) * stepMilliseconds / callMilliseconds;
		work -= finished;
		done += finished;
		longestQueue = now > seconds * 500 ? Math.max(longestQueue, work - slots) : 0;
		if (now % reportMilliseconds === 0) {
			report = {active: Math.min(work, slots), waiting: Math.max(0, work - slots), limit: slots};
		}

		if (now % 100 === 0) {
			admission.update(now, new Map([['deep', report]]));
		}
	}

	const capacity = seconds * 1000 * slots / callMilliseconds;
	return {shares: results.map(({offered, admitted}) => admitted / offered), utilization: done / capacity, longestQueue};
}

describe('under twice the usual load', () => {
	const {shares, utilization, longestQueue} = simulate(doubleLoad, 30);

	it('the least urgent rank is refused and the others are not', () => {
		expect(shares[0]).toBeGreaterThan(0.99);
		expect(shares[1]).toBeGreaterThan(0.98);
		expect(shares[2]).toBeLessThan(0.9);
	});

	it('the downstream service stays busy', () => {
		expect(utilization).toBeGreaterThan(0.85);
	});

	it('its queue stays short in the second half', () => {
		expect(longestQueue * callMilliseconds / slots).toBeLessThan(300);
	});
});

it('under the usual load nothing is refused', () => {
	expect(simulate(usualLoad, 20).shares).toEqual([1, 1, 1]);
});

it('the next rank is refused only once the least urgent one is refused completely', () => {
	const admission = new RootAdmission(() => 0.5);
	const ranks = [0, 3, 7];
	for (const rank of ranks) {
		admission.overloadedService(rank, []);
	}

	for (let now = 0; now <= 10_000; now += 100) {
		admission.update(now, new Map([['deep', {active: 100, waiting: 100, limit: 100}]]));
		if (admission.overloadedService(3, ['deep']) !== undefined) {
			expect(admission.overloadedService(7, ['deep'])).toBe('deep');
		}
	}

	expect(admission.levelOf('deep')).toBeLessThanOrEqual(3 + rootAdmissionOptions.proportionalGain);
	expect(admission.overloadedService(0, ['deep'])).toBe('deep');
	expect(admission.overloadedService(7, ['other'])).toBeUndefined();
});

it('a service without reports causes no refusals', () => {
	const admission = new RootAdmission(() => 0);
	admission.overloadedService(0, []);
	admission.update(0, new Map([['deep', {active: 9, waiting: 9, limit: 9}]]));
	admission.update(400, new Map([['deep', {active: 9, waiting: 9, limit: 9}]]));
	expect(admission.overloadedService(0, ['deep'])).toBe('deep');
	admission.update(500, new Map());
	expect(admission.overloadedService(0, ['deep'])).toBeUndefined();
});

it('short bursts at a service with free capacity on average cause almost no refusals', () => {
	const generator = xoroshiro128plus(7);
	const random = () => uniformFloat64(generator);
	const admission = new RootAdmission(random);
	let refused = 0;
	for (let now = 0; now < 30_000; now += 100) {
		// The service is overloaded for 0.2 s of each second; the mean utilization is 0.72.
		const isOverloaded = now % 1000 < 200;
		admission.update(now, new Map([['deep', {active: isOverloaded ? 100 : 50, waiting: isOverloaded ? 60 : 0, limit: 100}]]));
		for (let index = 0; index < 10; index += 1) {
			refused += admission.overloadedService(2, ['deep']) === undefined ? 0 : 1;
		}
	}

	expect(refused / 3000).toBeLessThan(0.005);
});
