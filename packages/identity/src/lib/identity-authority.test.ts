/**
 * Guards against accepting tokens that were altered, not signed with a key of this fleet, or lack a claim.
 */
import {Buffer} from 'node:buffer';
import jsonwebtoken from 'jsonwebtoken';
import {describe, expect, it} from 'vitest';
import {IdentityAuthority} from './identity-authority.js';
import {ProcessClock} from './process-clock.js';

const first = {id: 'first', secret: 'the first secret with 32 characters or more'};
const second = {id: 'second', secret: 'the second secret with 32 characters or more'};
const authority = new IdentityAuthority([first]);
const request = {
	service: 'releases', kind: 'withdrawal', executor: 'releases-1', executorAddress: '127.0.0.1:1', incarnation: 'i',
	failureDomain: 'akl-a', lifetimeMilliseconds: 1000,
};
const token = authority.mint(request, 5);
const claims = jsonwebtoken.decode(token) as Record<string, unknown>;
const encode = (value: unknown) => Buffer.from(JSON.stringify(value)).toString('base64url');
const [header, payload, signature] = token.split('.') as [string, string, string];
const signed = (value: Record<string, unknown>, options: jsonwebtoken.SignOptions = {}) =>
	jsonwebtoken.sign(value, first.secret, {keyid: 'first', noTimestamp: true, ...options});

describe('identity authority', () => {
	it('verifies the identities that it mints and renews', () => {
		const check = authority.verify(token);
		expect(check).toMatchObject({valid: true, identity: {issuedAt: 5, expiresAt: 1005, generation: 0}});
		const renewed = authority.verify(check.valid ? authority.renew(check.identity, 4) : '');
		expect(renewed).toEqual({valid: true, identity: {...claims, generation: 4}});
	});

	it('accepts tokens of both keys during a key rotation, and of known keys only', () => {
		const rotated = new IdentityAuthority([second, first]);
		expect(rotated.verify(token).valid).toBe(true);
		expect(authority.verify(rotated.mint(request, 5)).valid).toBe(false);
	});

	it.each([
		['an altered generation', `${header}.${encode({...claims, generation: 1})}.${signature}`],
		['an altered operation', `${header}.${encode({...claims, operation: 'other'})}.${signature}`],
		['no signature', `${header}.${payload}.`],
		['the algorithm none', `${encode({alg: 'none', kid: 'first'})}.${payload}.`],
		['another algorithm', signed(claims, {algorithm: 'HS512'})],
		['no key id', jsonwebtoken.sign(claims, first.secret, {noTimestamp: true})],
		['a missing claim', signed({...claims, executor: undefined})],
		['a generation that is no integer', signed({...claims, generation: 0.5})],
		['a negative generation', signed({...claims, generation: -1})],
		['a string in place of a number', signed({...claims, issuedAt: '5'})],
		['text that is not a JWT', 'withdrawal-7'],
		['no content', ''],
	])('refuses a token with %s', (_name, altered) => {
		expect(authority.verify(altered)).toEqual({valid: false});
	});
});

describe('process clock', () => {
	it('does not follow steps of the wall clock after the start', () => {
		let wall = 1000;
		let monotonic = 50;
		const clock = new ProcessClock(() => wall, () => monotonic);
		wall = 10;
		monotonic += 5;
		expect(clock.now()).toBe(1005);
	});
});
