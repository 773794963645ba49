/**
 * Target selection with a manual clock and a fixed seed: ejection and readmission of instances, admission levels, and the
 * choice between candidates.
 */
import {FleetView, type FleetInstance} from '@hemlockthread/membership';
import {describe, expect, it} from 'vitest';
import {healthOptions, type CallOutcome} from './candidate-health.js';
import {statisticsOptions} from './candidate-statistics.js';
import {routingOptions, TargetSelector, type Selection} from './target-selector.js';

const self = {instance: 'entry-1', failureDomain: 'here'};
const seed = 3;
const priority = 200;
const none: ReadonlySet<string> = new Set();

function instance(name: string, failureDomain = 'here'): FleetInstance {
	return {
		name, service: 'racks', failureDomain, region: 'test', peerAddress: '', callerAddress: '', operatorAddress: '', slots: 10, state: 'live',
	};
}

/** A selector over a fleet, with a clock that the test sets. */
class Bench {
	time = 0;
	readonly fleet = new FleetView(self);
	readonly counts: string[] = [];
	readonly selector: TargetSelector;

	constructor(instances: FleetInstance[], controls: 'on' | 'off' = 'on') {
		this.publish(instances);
		this.selector = new TargetSelector(self, this.fleet, {
			now: () => this.time, seed, controls, metrics: {
				count: name => {
					this.counts.push(name);
				},
			},
		});
	}

	publish(instances: FleetInstance[]): void {
		this.fleet.replace({schemaVersion: 1, instances});
	}

	choose(options: {exclude?: ReadonlySet<string>; priority?: number; allowTrial?: boolean} = {}): Selection | 'overloaded' | 'no-target' {
		return this.selector.choose({
			service: 'racks', rootKind: 'browse', priority, exclude: none, ...options,
		});
	}

	/** Reports the outcomes of calls to one instance. */
	report(name: string, outcomes: CallOutcome[], latency = 5, level?: number): void {
		for (const outcome of outcomes) {
			this.selector.begin(this.fleet.instance(name)!, 'browse').finish(outcome, latency, level);
		}
	}

	/** Selects an instance for many calls that complete at once. Returns the number of calls per instance or refusal. */
	spread(calls = 400, latency = 5): Record<string, number> {
		const spread: Record<string, number> = {};
		for (let call = 0; call < calls; call += 1) {
			const selection = this.choose();
			const key = typeof selection === 'string' ? selection : selection.instance.name;
			spread[key] = (spread[key] ?? 0) + 1;
			if (typeof selection !== 'string') {
				selection.finish('answered', latency);
			}
		}

		return spread;
	}

	state(name: string): string {
		return (this.selector.dump() as Record<string, {health: {state: string}}>)[name]!.health.state;
	}
}

const four = ['a', 'b', 'c', 'd'].map(name => instance(name));
const times = (count: number, outcome: CallOutcome): CallOutcome[] => Array.from({length: count}, () => outcome);

describe('ejection', () => {
	const cases: Array<{failure: string; outcomes: CallOutcome[]; state: string}> = [
		{failure: 'failures in a row don\'t eject an instance', outcomes: times(5, 'failed'), state: 'ejected'},
		{failure: 'timeouts in a row don\'t eject an instance', outcomes: times(3, 'timed-out'), state: 'ejected'},
		{failure: 'lost connections don\'t eject an instance', outcomes: times(2, 'connection-lost'), state: 'ejected'},
		{failure: 'one lost connection ejects an instance', outcomes: ['connection-lost'], state: 'healthy'},
		{failure: 'failures with a success between them eject an instance', outcomes: [...times(4, 'failed'), 'answered', ...times(4, 'failed')], state: 'healthy'},
		{failure: 'refusals count as failures', outcomes: times(50, 'refused'), state: 'healthy'},
		{failure: 'cancellations by callers count as failures', outcomes: times(50, 'abandoned'), state: 'healthy'},
	];

	it.each(cases)('guards against: $failure', ({outcomes, state}) => {
		const bench = new Bench(four);
		bench.spread();
		bench.report('a', outcomes);
		expect(bench.state('a')).toBe(state);
		expect(bench.spread().a === undefined).toBe(state === 'ejected');
	});

	it.each([
		[1, 0], [2, 1], [3, 1], [4, 2],
	])('of %i failing candidates at most %i are ejected', (size, ejected) => {
		const bench = new Bench(four.slice(0, size));
		bench.spread();
		for (const {name} of four.slice(0, size)) {
			bench.report(name, times(20, 'failed'));
		}

		expect(four.slice(0, size).filter(({name}) => bench.state(name) === 'ejected')).toHaveLength(ejected);
		expect(bench.choose()).not.toBe('no-target');
	});

	it('uses an ejected instance if no other candidate is left for a call', () => {
		const bench = new Bench(four.slice(0, 2));
		bench.spread();
		bench.report('a', times(5, 'failed'));
		expect(bench.choose({exclude: new Set(['b'])})).toMatchObject({instance: {name: 'a'}});
	});

	it('ignores failures of calls that were in progress during a pause of this process', () => {
		const bench = new Bench(four);
		const calls = [0, 1, 2].map(() => bench.selector.begin(bench.fleet.instance('a')!, 'browse'));
		bench.time = 20_000;
		bench.selector.recordPause();
		for (const call of calls) {
			call.finish('timed-out', 20_000);
		}

		expect(bench.state('a')).toBe('healthy');
	});
});

describe('readmission', () => {
	/** Ejects instance `a` and advances the clock to its first trial call. */
	function trialDue(): Bench {
		const bench = new Bench(four);
		bench.spread();
		bench.report('a', times(5, 'failed'));
		bench.time += healthOptions.initialEjectionMilliseconds;
		return bench;
	}

	it('sends only one trial call at a time', () => {
		const bench = trialDue();
		expect(bench.choose()).toMatchObject({instance: {name: 'a'}});
		expect(bench.spread().a).toBeUndefined();
	});

	it('waits before the trial call, with jitter', () => {
		const bench = new Bench(four);
		bench.report('a', times(5, 'failed'));
		bench.time += (healthOptions.initialEjectionMilliseconds * (1 - healthOptions.jitter)) - 1;
		expect(bench.state('a')).toBe('ejected');
	});

	const outcomes: Array<{outcome: CallOutcome; state: string}> = [
		{outcome: 'answered', state: 'healthy'},
		{outcome: 'refused', state: 'healthy'},
		{outcome: 'failed', state: 'ejected'},
		{outcome: 'connection-lost', state: 'ejected'},
		{outcome: 'abandoned', state: 'trial-due'},
	];

	it.each(outcomes)('after a trial call that was $outcome the instance is $state', ({outcome, state}) => {
		const bench = trialDue();
		(bench.choose() as Selection).finish(outcome, 1);
		expect(bench.state('a')).toBe(state);
	});

	it('doubles the wait after each failed trial call, up to the maximum', () => {
		const bench = trialDue();
		for (let trial = 1; trial < 12; trial += 1) {
			(bench.choose() as Selection).finish('failed', 1);
			const full = Math.min(healthOptions.maximumEjectionMilliseconds, healthOptions.initialEjectionMilliseconds * (2 ** trial));
			bench.time += (full * (1 - healthOptions.jitter)) - 1;
			expect(bench.state('a')).toBe('ejected');
			bench.time += (full * healthOptions.jitter) + 1;
			expect(bench.state('a')).toBe('trial-due');
		}
	});

	it('sends no trial call if the call does not allow it', () => {
		const bench = trialDue();
		expect(bench.choose({allowTrial: false})).not.toMatchObject({instance: {name: 'a'}});
	});
});

describe('levels', () => {
	const cases: Array<{failure: string; run: (bench: Bench) => void; controls?: 'off'; refused: boolean}> = [
		{failure: 'a call below the known level is sent', run: bench => undefined, refused: true},
		{
			failure: 'a level outlives its lifetime', refused: false,
			run(bench) {
				bench.time += statisticsOptions.levelLifetimeMilliseconds + 1;
			},
		},
		{
			failure: 'a level that fell to zero keeps refusing calls', refused: false,
			run(bench) {
				bench.report('a', ['answered'], 5, 0);
			},
		},
		{
			failure: 'a failure without a level removes the known level', refused: true,
			run(bench) {
				bench.report('a', ['refused', 'failed', 'timed-out'], 5, 0);
			},
		},
		{
			failure: 'levels apply with the controls off', run: bench => undefined, controls: 'off', refused: false,
		},
	];

	it.each(cases)('guards against: $failure', ({run, controls, refused}) => {
		const bench = new Bench([four[0]!], controls);
		bench.report('a', ['refused'], 5, priority + 1);
		run(bench);
		expect((bench.spread().overloaded ?? 0) > 0).toBe(refused);
	});

	it('tracks the level of each root kind separately', () => {
		const bench = new Bench([four[0]!]);
		bench.selector.begin(four[0]!, 'intake').finish('refused', 5, 1000);
		expect(bench.choose()).not.toBe('overloaded');
		expect(bench.selector.levelOf('racks', 'intake')).toBe(1000);
	});

	it('sends no probe while the level is fresh, then one per interval until a new level is received', () => {
		const bench = new Bench([four[0]!]);
		bench.report('a', ['refused'], 5, priority + 1);
		const probesIn = (milliseconds: number) => {
			let probes = 0;
			for (const endAt = bench.time + milliseconds; bench.time < endAt; bench.time += 10) {
				probes += bench.choose() === 'overloaded' ? 0 : 1;
			}

			return probes;
		};

		expect(probesIn(statisticsOptions.levelFreshMilliseconds)).toBe(0);
		expect(probesIn(4 * statisticsOptions.probeIntervalMilliseconds)).toBe(4);
		bench.report('a', ['refused'], 5, priority + 1);
		expect(probesIn(statisticsOptions.levelFreshMilliseconds)).toBe(0);
	});

	it('spills over to another domain when the local one refuses the priority', () => {
		const bench = new Bench([four[0]!, instance('far', 'there')]);
		bench.report('a', ['refused'], 5, priority + 1);
		expect(bench.spread(50)).toEqual({far: 50});
	});
});

describe('choice', () => {
	it('stays in the local domain while it is not loaded', () => {
		const bench = new Bench([...four, instance('far', 'there')]);
		expect(bench.spread().far).toBeUndefined();
	});

	it('spills over when the local domain became slow and the other one is better', () => {
		const bench = new Bench([four[0]!, instance('far', 'there')]);
		bench.report('a', times(20, 'answered'), 5);
		bench.report('far', times(20, 'answered'), 8);
		bench.report('a', times(50, 'answered'), 200);
		expect(bench.spread(10, 8).far).toBe(10);
	});

	it('stays in the local domain when both became slow', () => {
		const bench = new Bench([four[0]!, instance('far', 'there')]);
		for (const name of ['a', 'far']) {
			bench.report(name, times(20, 'answered'), 5);
			bench.report(name, times(50, 'answered'), 200);
		}

		expect(bench.spread(10, 200).far).toBeUndefined();
	});

	it('prefers the faster of two instances, and the less loaded of two equally fast ones', () => {
		const bench = new Bench(four.slice(0, 2));
		bench.report('a', times(20, 'answered'), 50);
		bench.report('b', times(20, 'answered'), 5);
		expect(bench.spread(100, 5).b).toBe(100);
		const busy = Array.from({length: 30}, () => bench.selector.begin(four[1]!, 'browse'));
		expect(bench.choose()).toMatchObject({instance: {name: 'a'}});
		expect(busy).toHaveLength(30);
	});

	it('does not send every call to an instance without a response yet', () => {
		const bench = new Bench(four);
		for (const name of ['a', 'b', 'c']) {
			bench.report(name, ['answered'], 5);
		}

		const chosen = Array.from({length: 40}, () => (bench.choose() as Selection).instance.name);
		expect(chosen.filter(name => name === 'd').length).toBeLessThan(20);
	});

	it('makes the same choices with the same seed', () => {
		const choices = () => {
			const bench = new Bench(four);
			return Array.from({length: 50}, () => (bench.choose() as Selection).instance.name);
		};

		expect(choices()).toEqual(choices());
	});

	it('uses at most 4 instances of the local domain and 2 of other domains', () => {
		const many = Array.from({length: 200}, (_, index) => instance(`i${index}`, index % 2 === 0 ? 'here' : 'there'));
		expect(new Bench(many).selector.view('racks', 'browse').map(member => member.failureDomain).toSorted())
			.toEqual(['here', 'here', 'here', 'here', 'there', 'there']);
	});

	const changes: Array<{failure: string; change: (bench: Bench) => void; chosen: unknown}> = [
		{
			failure: 'an instance that is no longer in the fleet list is chosen', chosen: {instance: {name: 'b'}},
			change(bench) {
				bench.publish([four[1]!]);
			},
		},
		{
			failure: 'a leaving instance is chosen after the cached subset has expired', chosen: {instance: {name: 'b'}},
			change(bench) {
				bench.publish([{...four[0]!, state: 'leaving'}, four[1]!]);
				bench.time += routingOptions.subsetLifetimeMilliseconds;
			},
		},
		{
			failure: 'an empty fleet list still yields a target', chosen: 'no-target',
			change(bench) {
				bench.publish([]);
			},
		},
	];

	it.each(changes)('guards against: $failure', ({change, chosen}) => {
		const bench = new Bench(four.slice(0, 1));
		bench.spread(10);
		change(bench);
		if (typeof chosen === 'string') {
			expect(bench.choose()).toBe(chosen);
		} else {
			expect(bench.choose()).toMatchObject(chosen as object);
		}
	});

	it('removes the statistics of instances that are no longer in the fleet list', () => {
		const bench = new Bench(four);
		bench.spread();
		bench.publish([four[0]!]);
		bench.time += routingOptions.pruneMilliseconds;
		bench.choose();
		expect(Object.keys(bench.selector.dump() as object)).toEqual(['a']);
	});
});
