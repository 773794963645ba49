/**
 * Simulates one load against a simulated target behind an admission controller, in virtual time.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {prioritiesPerRank} from '@hemlockthread/policy';
import {AdmissionController, admissionOptions, type AdmissionOptions} from '../admission-controller.js';
import {FakeTarget, targetModels, type TargetModelName} from './fake-target.js';
import {VirtualClock} from './virtual-clock.js';

/** Kinds of the load, the most valuable first. At 10 times the capacity the first kind alone demands 80% of it. */
const kinds = [
	{
		name: 'withdrawal', worth: 100, rank: 3, share: 0.08, lifetimeMilliseconds: 1500,
	},
	{
		name: 'intake-view', worth: 20, rank: 2, share: 0.12, lifetimeMilliseconds: 1000,
	},
	{
		name: 'browse', worth: 5, rank: 1, share: 0.8, lifetimeMilliseconds: 1000,
	},
] as const;

const serviceMilliseconds = 20;
const rampMilliseconds = 1000;
const windowMilliseconds = 100;
/** Number of consecutive windows that must reach the recovered share on average, because a single window is too noisy. */
const recoveryWindows = 10;
const recoveredShare = 0.95;

/** @internal */
export const phases = [
	{
		name: 'calm', milliseconds: 3000, overloaded: false, serviceTimeFactor: 1,
	},
	{
		name: 'overload', milliseconds: 5000, overloaded: true, serviceTimeFactor: 1,
	},
	{
		name: 'slow', milliseconds: 5000, overloaded: true, serviceTimeFactor: 10,
	},
	{
		name: 'recovery', milliseconds: 5000, overloaded: true, serviceTimeFactor: 1,
	},
] as const;

/** @internal */
export type PhaseName = (typeof phases)[number]['name'];

/** @internal */
export type PhaseResult = {
	/** Worth of the complete responses in the phase, as a share of the maximum that the target could achieve. */
	goodput: number;
	/** Share of the calls of the most valuable kind started in the phase that were completed. */
	topServedShare: number;
};

/** @internal */
export type LoadResult = {
	phases: Record<PhaseName, PhaseResult>;
	/** Share of the work of the target that was spent on calls that failed. */
	wastedShare: number;
	/** Time after the slow phase until goodput reaches 95% and stays there on average; infinite if it never does. */
	recoveryMilliseconds: number;
};

/** @internal */
export type LoadPlan = {
	target: TargetModelName;
	slots: number;
	overload: number;
	seed: number;
	admission: Pick<AdmissionOptions, 'limitPolicy' | 'controls'>;
};

type Tally = {worth: number; topCalls: number; topServedCalls: number};

/** @internal */
export async function runLoad(plan: LoadPlan): Promise<LoadResult> {
	return new LoadRun(plan).run();
}

class LoadRun {
	private readonly clock = new VirtualClock();
	private readonly random: ReturnType<typeof xoroshiro128plus>;
	private readonly target: FakeTarget;
	private readonly admission: AdmissionController;
	/** Maximum throughput of the target in calls per millisecond. */
	private readonly capacity: number;
	private readonly tallies = new Map<PhaseName, Tally>();
	private readonly worthByWindow: number[] = [];
	private phase: (typeof phases)[number] = phases[0];

	constructor(private readonly plan: LoadPlan) {
		this.random = xoroshiro128plus(plan.seed);
		this.target = new FakeTarget(this.clock, targetModels[plan.target], plan.slots);
		this.capacity = this.target.usableSlots / serviceMilliseconds;
		this.admission = new AdmissionController({
			...admissionOptions, ...plan.admission, slots: plan.slots, clock: this.clock, seed: plan.seed,
			coldStartRampMilliseconds: () => rampMilliseconds,
		});
	}

	async run(): Promise<LoadResult> {
		this.scheduleArrival();
		let end = 0;
		for (const phase of phases) {
			this.phase = phase;
			this.target.serviceTimeFactor = phase.serviceTimeFactor;
			this.tallies.set(phase.name, {worth: 0, topCalls: 0, topServedCalls: 0});
			end += phase.milliseconds;
			await this.clock.runUntil(end);
		}

		const {wastedMilliseconds, usefulMilliseconds} = this.target;
		return {
			phases: Object.fromEntries(phases.map(phase => [phase.name, this.result(phase)])) as Record<PhaseName, PhaseResult>,
			wastedShare: wastedMilliseconds / (wastedMilliseconds + usefulMilliseconds),
			recoveryMilliseconds: this.recovery(),
		};
	}

	private rate(phase: (typeof phases)[number]): number {
		return this.capacity * (phase.overloaded ? this.plan.overload : 0.8);
	}

	private scheduleArrival(): void {
		const wait = -Math.log(1 - uniformFloat64(this.random)) / this.rate(this.phase);
		this.clock.schedule(wait, () => {
			void this.call();
			this.scheduleArrival();
		});
	}

	private pickKind(): (typeof kinds)[number] {
		let position = uniformFloat64(this.random);
		return kinds.find(kind => {
			position -= kind.share;
			return position < 0;
		}) ?? kinds[0];
	}

	private async call(): Promise<void> {
		const kind = this.pickKind();
		const tally = this.tallies.get(this.phase.name)!;
		const isTop = kind === kinds[0];
		tally.topCalls += isTop ? 1 : 0;
		const cancellation = new AbortController();
		const deadlineAt = this.clock.now() + kind.lifetimeMilliseconds;
		const milliseconds = serviceMilliseconds * (0.5 + uniformFloat64(this.random));
		const priority = (kind.rank * prioritiesPerRank) + Math.floor(uniformFloat64(this.random) * prioritiesPerRank);
		const admission = await this.admission.admit({
			kind: kind.name, rootKind: kind.name, priority, deadlineAt, signal: cancellation.signal,
		});
		if (!admission.admitted) {
			return;
		}

		const cancelWork = this.target.begin(milliseconds, workedMilliseconds => {
			cancelDeadline();
			admission.release('ok');
			if (this.clock.now() > deadlineAt) {
				this.target.countAsWasted(workedMilliseconds);
				return;
			}

			this.tallies.get(this.phase.name)!.worth += kind.worth;
			tally.topServedCalls += isTop ? 1 : 0;
			const window = Math.floor(this.clock.now() / windowMilliseconds);
			this.worthByWindow[window] = (this.worthByWindow[window] ?? 0) + kind.worth;
		});
		// With the controls off, calls in progress neither expire nor are cancelled.
		const cancelDeadline = this.plan.admission.controls === 'off'
			? () => undefined
			: this.clock.schedule(Math.max(0, deadlineAt - this.clock.now()), () => {
				cancelWork();
				admission.release('failed');
			});
	}

	/** Maximum worth per millisecond that the target can achieve in a phase. */
	private ideal(phase: (typeof phases)[number]): number {
		let remainingCapacity = this.capacity / phase.serviceTimeFactor;
		let worth = 0;
		for (const kind of kinds) {
			const served = Math.min(remainingCapacity, this.rate(phase) * kind.share);
			remainingCapacity -= served;
			worth += served * kind.worth;
		}

		return worth;
	}

	private result(phase: (typeof phases)[number]): PhaseResult {
		const tally = this.tallies.get(phase.name)!;
		return {goodput: tally.worth / (this.ideal(phase) * phase.milliseconds), topServedShare: tally.topServedCalls / tally.topCalls};
	}

	private recovery(): number {
		const recovery = phases.at(-1)!;
		const end = this.clock.now() / windowMilliseconds;
		const begin = end - (recovery.milliseconds / windowMilliseconds);
		const requiredWorth = this.ideal(recovery) * windowMilliseconds * recoveredShare;
		const worthOf = (first: number, last?: number) => this.worthByWindow.slice(first, last).reduce((sum, worth) => sum + worth, 0);
		for (let window = begin; window <= end - recoveryWindows; window += 1) {
			if (worthOf(window, window + recoveryWindows) >= requiredWorth * recoveryWindows && worthOf(window) >= requiredWorth * (end - window)) {
				return (window - begin) * windowMilliseconds;
			}
		}

		return Number.POSITIVE_INFINITY;
	}
}
