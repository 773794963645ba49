/**
 * The allowance never grows over all of its holders.
 */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RetryAllowance} from './retry-allowance.js';

describe('retry allowance', () => {
	it.each([
		['more than was handed out', 2, 5, 2],
		['nothing', 2, 0, 0],
		['a negative number', 2, -3, 0],
		['a fraction', 2, 1.5, 0],
		['not a number', 2, Number.NaN, 0],
		['infinity', 2, Number.POSITIVE_INFINITY, 0],
	])('a peer that returns %s does not raise the total', (_name, share, returned, expected) => {
		const allowance = new RetryAllowance(0);
		allowance.returnUnused(share, returned);
		expect(allowance.remaining).toBe(expected);
	});

	it.each([Number.NaN, -1, Number.POSITIVE_INFINITY])('a share of %s from a frame gives no retry', retries => {
		expect(new RetryAllowance(retries).tryConsume()).toBe(false);
	});

	it('spent and held retries stay within the total over any chain of holders', () => {
		fc.assert(fc.property(fc.nat(100), fc.array(fc.tuple(fc.constantFrom('take', 'split', 'return', 'forfeit'), fc.nat()), {maxLength: 100}), (total, steps) => {
			const holders = [{allowance: new RetryAllowance(total), share: total}];
			let spent = 0;
			for (const [step, pick] of steps) {
				const holder = holders[pick % holders.length]!;
				if (step === 'take') {
					spent += holder.allowance.tryConsume() ? 1 : 0;
				} else if (step === 'split') {
					const share = holder.allowance.split();
					holders.push({allowance: new RetryAllowance(share), share});
				} else if (holders.length > 1) {
					const last = holders.pop()!;
					if (step === 'return') {
						holders[pick % holders.length]!.allowance.returnUnused(last.share, last.allowance.remaining);
					}
				}
			}

			const held = holders.reduce((sum, holder) => sum + holder.allowance.remaining, 0);
			expect(spent + held).toBeLessThanOrEqual(total);
		}), {seed: 1});
	});
});
