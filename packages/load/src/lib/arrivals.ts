/**
 * Computes the arrival times of an experiment before it starts, so that a slow response never delays a later arrival.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Experiment} from './experiment-file.js';

/** @public */
export type Arrival = {
	/** Milliseconds since the start of the run. */
	at: number;
	/** Index into the traffic entries of the experiment. */
	traffic: number;
};

/** Creates a seeded generator of random numbers in [0, 1). @public */
export function randomNumbers(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}

/** Returns the factor that active surges apply to the rate of a kind. @public */
export function surgeFactor(experiment: Experiment, kind: string, milliseconds: number): number {
	let factor = 1;
	for (const fault of experiment.faults) {
		if (fault.type === 'surge' && (fault.kinds?.includes(kind) ?? true)
			&& milliseconds >= fault.at * 1000 && milliseconds < (fault.at + fault.seconds) * 1000) {
			factor *= fault.factor;
		}
	}

	return factor;
}

/** Returns all arrivals in order of time. @public */
export function planArrivals(experiment: Experiment, seed: number): Arrival[] {
	const random = randomNumbers(seed);
	const endsAt = experiment.seconds * 1000;
	const arrivals: Arrival[] = [];
	for (const [index, traffic] of experiment.traffic.entries()) {
		const interArrivalFactor = experiment.arrivals === 'poisson' ? () => -Math.log(1 - random()) : () => 1;
		for (let at = random() * 1000 / traffic.rate; at < endsAt;) {
			arrivals.push({at, traffic: index});
			at += interArrivalFactor() * 1000 / (traffic.rate * surgeFactor(experiment, traffic.kind, at));
		}
	}

	return arrivals.toSorted((first, second) => first.at - second.at);
}
