/**
 * The policy in force, independent of the schema version that it was published in.
 */
import {createHash} from 'node:crypto';

/** One kind of request. @public */
export type PolicyKind = {
	name: string;
	/** Value of one whole answer; higher is served first. */
	worth: number;
	/** Shed after every kind that is not protected. */
	protected: boolean;
	/** Must run at most once, so calls need an identity. */
	irreversible: boolean;
	/** Retries that one request may cause in its whole call chain. */
	retries: number;
	/** Longest life of a request. */
	lifetimeMilliseconds: number;
};

/** @public */
export type PolicyContent = {
	schemaVersion: number;
	kinds: PolicyKind[];
	/** Time for which an operation identity is valid. */
	identityLifetimeMilliseconds: number;
	/** Time over which a cold target's limit rises to its published slots. */
	coldStartRampMilliseconds: number;
};

const prioritiesPerRank = 128;

/**
 * Answers questions about the policy in force.
 *
 * @public
 */
export class PolicyRecord {
	private readonly kinds: Map<string, PolicyKind>;
	private readonly ranks: Map<string, number>;

	constructor(readonly content: PolicyContent) {
		this.kinds = new Map(content.kinds.map(kind => [kind.name, kind]));
		const worths = [...new Set(content.kinds.map(kind => kind.worth))].toSorted((first, second) => first - second);
		this.ranks = new Map(content.kinds.map(kind => [kind.name, worths.indexOf(kind.worth) + 1]));
	}

	get shortestLifetimeMilliseconds(): number {
		return Math.min(...this.content.kinds.map(kind => kind.lifetimeMilliseconds));
	}

	kind(name: string): PolicyKind | undefined {
		return this.kinds.get(name);
	}

	/**
	 * Priority of a request: the worth rank of its root kind, then a hash of the root identifier, so that partial
	 * shedding sheds the same requests at every depth.
	 */
	priorityOf(rootKind: string, rootIdentifier: string): number {
		const position = createHash('sha1').update(rootIdentifier).digest().readUInt8(0) % prioritiesPerRank;
		return ((this.ranks.get(rootKind) ?? 0) * prioritiesPerRank) + position;
	}
}
