/**
 * Mints and verifies operation identities. An identity is a signed token that names the only instance that may execute
 * an irreversible operation.
 */
import {Buffer} from 'node:buffer';
import {createSecretKey, randomUUID, type KeyObject} from 'node:crypto';
import jsonwebtoken from 'jsonwebtoken';

/** @public */
export type IdentityKey = {
	/** Key id, sent in the token's header. */
	id: string;
	/** Shared secret of at least 32 characters. */
	secret: string;
};

/**
 * The claims of an identity. Times are in milliseconds since the Unix epoch.
 *
 * @public
 */
export type OperationIdentity = {
	operation: string;
	service: string;
	kind: string;
	executor: string;
	executorAddress: string;
	incarnation: string;
	failureDomain: string;
	issuedAt: number;
	expiresAt: number;
	generation: number;
};

/** @public */
export type MintRequest = {
	/** Operation id; random by default. */
	operation?: string;
	service: string;
	kind: string;
	executor: string;
	executorAddress: string;
	incarnation: string;
	failureDomain: string;
	lifetimeMilliseconds: number;
};

/** @public */
export type IdentityCheck = {valid: true; identity: OperationIdentity} | {valid: false};

const algorithm = 'HS256';

/**
 * Signs with the first key and verifies with any key, so that keys can be rotated node by node.
 *
 * @public
 */
export class IdentityAuthority {
	/** Key objects, because jsonwebtoken tries to parse a string secret as a PEM key on each call, which takes about 1 ms. */
	private readonly secrets: Map<string, KeyObject>;

	constructor(private readonly keys: readonly IdentityKey[]) {
		this.secrets = new Map(keys.map(key => [key.id, createSecretKey(Buffer.from(key.secret))]));
	}

	mint(request: MintRequest, now: number): string {
		const {lifetimeMilliseconds, operation = randomUUID(), ...claims} = request;
		return this.sign({
			...claims, operation, issuedAt: now, expiresAt: now + lifetimeMilliseconds, generation: 0,
		});
	}

	/** Signs an identity of the same operation with another generation. */
	renew(identity: OperationIdentity, generation: number): string {
		return this.sign({...identity, generation});
	}

	/** Checks the signature and the claims. Expiry is left to the executor, whose clock is authoritative. */
	verify(token: string): IdentityCheck {
		try {
			const decoded = jsonwebtoken.decode(token, {complete: true});
			const secret = this.secrets.get(decoded?.header.kid ?? '');
			if (secret === undefined) {
				return {valid: false};
			}

			const payload = jsonwebtoken.verify(token, secret, {algorithms: [algorithm]});
			return isIdentity(payload) ? {valid: true, identity: payload} : {valid: false};
		} catch {
			return {valid: false};
		}
	}

	private sign(identity: OperationIdentity): string {
		const key = this.keys[0];
		const secret = this.secrets.get(key?.id ?? '');
		if (key === undefined || secret === undefined) {
			throw new RangeError('no identity key is configured');
		}

		return jsonwebtoken.sign(identity, secret, {algorithm, keyid: key.id, noTimestamp: true});
	}
}

const textClaims = ['operation', 'service', 'kind', 'executor', 'executorAddress', 'incarnation', 'failureDomain'] as const;
const timeClaims = ['issuedAt', 'expiresAt'] as const;

function isIdentity(payload: unknown): payload is OperationIdentity {
	if (typeof payload !== 'object' || payload === null) {
		return false;
	}

	const claims = payload as Record<string, unknown>;
	return textClaims.every(name => typeof claims[name] === 'string')
		&& timeClaims.every(name => Number.isFinite(claims[name]))
		&& Number.isSafeInteger(claims.generation) && Number(claims.generation) >= 0;
}
