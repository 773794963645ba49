/**
 * Rendezvous hashing (highest random weight): every node computes the same stable choices without coordination.
 */
import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/**
 * Returns the `count` candidates with the highest hash of `key` and candidate name. Adding or removing a candidate changes
 * the choice only if that candidate is involved.
 *
 * @public
 */
export function highestWeighted<Candidate>(
	key: string,
	candidates: Iterable<Candidate>,
	name: (candidate: Candidate) => string,
	count: number,
): Candidate[] {
	return selectHighest(candidates, name, count, candidate => h32(`${key}\n${candidate}`));
}

/**
 * Returns the `count` candidates with the highest hash of the unordered pair with `self`. Both nodes of a pair compute the
 * same weight, so a choice is often mutual and needs one connection instead of two.
 *
 * @public
 */
export function highestWeightedPairs<Candidate>(
	self: string,
	candidates: Iterable<Candidate>,
	name: (candidate: Candidate) => string,
	count: number,
): Candidate[] {
	return selectHighest(candidates, name, count, candidate =>
		h32(self < candidate ? `${self}\n${candidate}` : `${candidate}\n${self}`));
}

/** Selects the highest weights in one pass, because `count` is small compared with the number of candidates. */
function selectHighest<Candidate>(
	candidates: Iterable<Candidate>,
	name: (candidate: Candidate) => string,
	count: number,
	weigh: (name: string) => number,
): Candidate[] {
	if (count === 0) {
		return [];
	}

	const best: Array<{candidate: Candidate; name: string; weight: number}> = [];
	for (const candidate of candidates) {
		const ranked = {candidate, name: name(candidate), weight: weigh(name(candidate))};
		const last = best.at(count - 1);
		if (last === undefined || isBefore(ranked, last)) {
			const position = best.findIndex(other => isBefore(ranked, other));
			best.splice(position === -1 ? best.length : position, 0, ranked);
			best.length = Math.min(best.length, count);
		}
	}

	return best.map(ranked => ranked.candidate);
}

function isBefore(first: {name: string; weight: number}, second: {name: string; weight: number}): boolean {
	return first.weight === second.weight ? first.name < second.name : first.weight > second.weight;
}
