/**
 * The policy in force, independent of the schema version that it was published in.
 */
import xxhash from 'xxhash-wasm';

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
	/** Text for readers; it has no effect. */
	notes?: string;
};

/** @public */
export type PolicyContent = {
	schemaVersion: number;
	kinds: PolicyKind[];
	/** Time for which an operation identity is valid. */
	identityLifetimeMilliseconds: number;
	/** Time over which a cold target's limit rises to its published slots. */
	coldStartRampMilliseconds: number;
	/** Text for readers; it has no effect. */
	notes?: string;
};

/** Priorities that the requests of one worth rank are spread over. @public */
export const prioritiesPerRank = 128;

const {h32} = await xxhash();

/**
 * Answers questions about the policy in force.
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
	 * Priority of a request: the worth rank of its root kind, then a hash of the root identifier, so that partial
	 * shedding sheds the same requests at every depth.
	 */
	priorityOf(rootKind: string, rootIdentifier: string): number {
		return this.lowestPriorityOf(rootKind) + (h32(rootIdentifier) % prioritiesPerRank);
	}

	/** Lowest priority that a request of the root kind can have; the highest is `prioritiesPerRank - 1` above. */
	lowestPriorityOf(rootKind: string): number {
		return this.lowestPriorities.get(rootKind) ?? 0;
	}

	/** Worth rank of a kind: 1 is shed first, 0 is unknown. */
	rankOf(kind: string): number {
		return this.lowestPriorityOf(kind) / prioritiesPerRank;
	}
}

/** Names of the kinds of equal worth, lowest rank first. Protected kinds rank above all others whatever their worth. */
function rankKinds(kinds: readonly PolicyKind[]): string[][] {
	return [false, true].flatMap(isProtected => {
		const members = kinds.filter(kind => kind.protected === isProtected);
		const worths = [...new Set(members.map(kind => kind.worth))].toSorted((first, second) => first - second);
		return worths.map(worth => members.filter(kind => kind.worth === worth).map(kind => kind.name));
	});
}
