/**
 * What can happen in a world, as commands that fast-check generates and shrinks.
 */
import fc from 'fast-check';
import {
	retryHows, rootPlans, type RetryHow, type World,
} from './world.js';

/** Counts steps over all worlds of a search. @public */
export type StepCounter = {steps: number};

type Model = StepCounter;

type WorldCommand = fc.AsyncCommand<Model, World>;

const longestWaitMilliseconds = 6000;
const longestClockStepMilliseconds = 60_000;

function command(name: string, act: (world: World) => void, waitMilliseconds = 1): WorldCommand {
	return {
		check: () => true,
		async run(model, world) {
			model.steps += 1;
			act(world);
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

const repeat = fc.tuple(pick, node, fc.constantFrom<RetryHow>(...retryHows), wait).map(([which, entry, how, milliseconds]) =>
	command(`repeat(${which}, ${entry}, ${how}, ${milliseconds})`, world => {
		world.repeat(which, entry, how);
	}, milliseconds));

const pass = wait.map(milliseconds => command(`wait(${milliseconds})`, () => undefined, milliseconds));
const expire = fc.integer({min: 20_000, max: 30_000}).map(milliseconds => command(`expire(${milliseconds})`, () => undefined, milliseconds));

const weather = fc.nat(2).map(index => command(`weather(${index})`, world => {
	world.setWeather(index);
}));

const cut = fc.tuple(node, node).map(([first, second]) => command(`cut(${first}, ${second})`, world => {
	world.cut(first, second);
}));

const heal = fc.constant(undefined).map(() => command('heal', world => {
	world.heal();
}));

const freeze = node.map(index => command(`freeze(${index})`, world => {
	world.freeze(index);
}));

const wake = node.map(index => command(`wake(${index})`, world => {
	world.wake(index);
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

/** All commands; those that make traffic are listed more often. @public */
export const worldCommands: Array<fc.Arbitrary<WorldCommand>> = [
	begin,
	begin,
	begin,
	repeat,
	repeat,
	repeat,
	repeat,
	pass,
	pass,
	weather,
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
