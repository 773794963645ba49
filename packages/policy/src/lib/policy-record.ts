/**
 * A policy, independent of the schema version that it was published in. It gives each request its kind's settings and a
 * priority.
 */
import xxhash from 'xxhash-wasm';

/** One kind of request. @public */
export type PolicyKind = {
	name: string;
	/** Value of one complete response; higher is served first. */
	worth: number;
	/** Shed only after every kind that is not protected. */
	protected: boolean;
	/** Must run at most once, so calls need an identity. */
	irreversible: boolean;
	/** Retries that one request may cause in its whole call chain. */
	retries: number;
	/** Longest lifetime of a request. */
	lifetimeMilliseconds: number;
	/** Text for readers; it has no effect. */
	notes?: string;
};

/** @public */
export type PolicyContent = {
	schemaVersion: number;
	kinds: PolicyKind[];
	/** Time for which an operation identity is valid. */
	identityLifetimeMilliseconds: number;
	/** Time over which a cold target's concurrency limit rises to its published slots. */
	coldStartRampMilliseconds: number;
	/** Text for readers; it has no effect. */
	notes?: string;
};

/** Number of priorities among which the requests of one worth rank are distributed. @public */
export const prioritiesPerRank = 128;

const {h32} = await xxhash();

/**
 * Looks up the kinds of a policy and computes priorities and ranks.
 *
 * @public
 */
export class PolicyRecord {
	/** Shortest lifetime of all kinds. */
	readonly shortestLifetimeMilliseconds: number;
	private readonly kinds: Map<string, PolicyKind>;
	/** Lowest priority of each kind. */
	private readonly lowestPriorities: Map<string, number>;

	constructor(readonly content: PolicyContent) {
		this.kinds = new Map(content.kinds.map(kind => [kind.name, kind]));
		this.shortestLifetimeMilliseconds = Math.min(...content.kinds.map(kind => kind.lifetimeMilliseconds));
		this.lowestPriorities = new Map(rankKinds(content.kinds).flatMap((names, index) =>
			names.map(name => [name, (index + 1) * prioritiesPerRank])));
	}

	kind(name: string): PolicyKind | undefined {
		return this.kinds.get(name);
	}

	/**
	 * Priority of a request: the worth rank of its root kind, then a hash of the root identifier, so that the same requests
	 * are shed at every depth when only a part of a rank is shed.
	 */
	priorityOf(rootKind: string, rootIdentifier: string): number {
		return this.lowestPriorityOf(rootKind) + (h32(rootIdentifier) % prioritiesPerRank);
	}

	/** Lowest priority of requests with this root kind; the highest is greater by `prioritiesPerRank - 1`. */
	lowestPriorityOf(rootKind: string): number {
		return this.lowestPriorities.get(rootKind) ?? 0;
	}

	/** Worth rank of a kind; rank 1 is shed first among known kinds, and unknown kinds have rank 0. */
	rankOf(kind: string): number {
		return this.lowestPriorityOf(kind) / prioritiesPerRank;
	}
}

/** Groups the names of kinds of equal worth, lowest rank first. Protected kinds rank above all others, whatever their worth. */
function rankKinds(kinds: readonly PolicyKind[]): string[][] {
	return [false, true].flatMap(isProtected => {
		const members = kinds.filter(kind => kind.protected === isProtected);
		const worths = [...new Set(members.map(kind => kind.worth))].toSorted((first, second) => first - second);
		return worths.map(worth => members.filter(kind => kind.worth === worth).map(kind => kind.name));
	});
}
