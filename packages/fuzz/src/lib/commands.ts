/**
 * Commands that fast-check generates and shrinks to drive a simulated world.
 */
import fc from 'fast-check';
import {
	retryVariants, rootPlans, type RetryVariant, type World,
} from './world.js';

/** Number of commands run over all worlds of a search. @public */
export type StepCounter = {steps: number};

type Model = StepCounter;

type WorldCommand = fc.AsyncCommand<Model, World>;

const longestWaitMilliseconds = 6000;
const longestClockStepMilliseconds = 60_000;

function command(name: string, action: (world: World) => void, waitMilliseconds = 1): WorldCommand {
	return {
		check: () => true,
		async run(model, world) {
			model.steps += 1;
			action(world);
			await world.advance(waitMilliseconds);
		},
		toString: () => name,
	};
}

const node = fc.nat(5);
const pick = fc.nat(5);
const wait = fc.oneof({weight: 3, arbitrary: fc.nat(5)}, {weight: 3, arbitrary: fc.nat(50)}, {weight: 1, arbitrary: fc.nat(longestWaitMilliseconds)});

const begin = fc.tuple(fc.nat(rootPlans.length - 1), node, fc.boolean(), wait).map(([plan, entry, eager, milliseconds]) =>
	command(`begin(${rootPlans[plan]!.kind}, ${entry}, ${eager ? 'eager' : 'mint'}, ${milliseconds})`, world => {
		world.begin(rootPlans[plan]!, entry, eager);
	}, milliseconds));

const retry = fc.tuple(pick, node, fc.constantFrom<RetryVariant>(...retryVariants), wait).map(([which, entry, variant, milliseconds]) =>
	command(`retry(${which}, ${entry}, ${variant}, ${milliseconds})`, world => {
		world.retry(which, entry, variant);
	}, milliseconds));

const idle = wait.map(milliseconds => command(`wait(${milliseconds})`, () => undefined, milliseconds));
const expire = fc.integer({min: 20_000, max: 30_000}).map(milliseconds => command(`expire(${milliseconds})`, () => undefined, milliseconds));

const conditions = fc.nat(2).map(index => command(`conditions(${index})`, world => {
	world.setNetworkConditions(index);
}));

const cut = fc.tuple(node, node).map(([first, second]) => command(`cut(${first}, ${second})`, world => {
	world.partition(first, second);
}));

const heal = fc.constant(undefined).map(() => command('heal', world => {
	world.heal();
}));

const freeze = node.map(index => command(`freeze(${index})`, world => {
	world.pause(index);
}));

const wake = node.map(index => command(`wake(${index})`, world => {
	world.resume(index);
}));

const restart = fc.tuple(node, fc.boolean()).map(([index, keepTarget]) => command(`restart(${index}, ${keepTarget ? 'node only' : 'with target'})`, world => {
	world.restart(index, keepTarget);
}));

const stepClock = fc.tuple(node, fc.integer({min: -longestClockStepMilliseconds, max: longestClockStepMilliseconds})).map(([index, milliseconds]) =>
	command(`stepClock(${index}, ${milliseconds})`, world => {
		world.stepClock(index, milliseconds);
	}));

const fillTables = fc.nat(2).map(index => command(`fillTables(${index})`, world => {
	world.fillTables(index);
}));

const cancel = pick.map(index => command(`cancel(${index})`, world => {
	world.cancel(index);
}));

/** All commands; those that create traffic are repeated to raise their frequency. @public */
export const worldCommands: Array<fc.Arbitrary<WorldCommand>> = [
	begin,
	begin,
	begin,
	retry,
	retry,
	retry,
	retry,
	idle,
	idle,
	conditions,
	cut,
	heal,
	freeze,
	wake,
	wake,
	restart,
	stepClock,
	fillTables,
	cancel,
	expire,
];
