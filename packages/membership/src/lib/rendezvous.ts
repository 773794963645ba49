/**
 * Rendezvous hashing (highest random weight): stable choices that every node computes alike without coordination.
 */
import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/**
 * Returns the `count` candidates with the highest hash together with `key`. Adding or removing a candidate changes the
 * choice only where that candidate is involved.
 *
 * @public
 */
export function highestRanked<Candidate>(
	key: string,
	candidates: Iterable<Candidate>,
	name: (candidate: Candidate) => string,
	count: number,
): Candidate[] {
	return [...candidates]
		.map(candidate => ({candidate, weight: h32(`${key}\n${name(candidate)}`)}))
		.toSorted((first, second) => second.weight - first.weight || (name(first.candidate) < name(second.candidate) ? -1 : 1))
		.slice(0, count)
		.map(ranked => ranked.candidate);
}
