/**
 * The arrival times of an experiment, worked out before it starts, so that a slow answer never delays a later arrival.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Experiment} from './experiment-file.js';

/** @public */
export type Arrival = {
	/** Milliseconds after the start. */
	at: number;
	/** Index of the traffic entry. */
	traffic: number;
};

/** Random numbers in [0, 1) from a seed. @public */
export function randomNumbers(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}

/** Factor on the rate of a kind at a time, from the surges of the experiment. @public */
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

/** Works out all arrivals in order of time. @public */
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
