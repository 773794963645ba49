/**
 * Searches for a sequence of commands that violates a guarantee, and shrinks it.
 */
import fc from 'fast-check';
import {worldCommands, type StepCounter} from './commands.js';
import type {ViolationName} from './oracle.js';
import {World, type WorldOptions} from './world.js';

/** @public */
export type SearchOptions = {
	seed: number;
	/** Number of worlds to run. */
	runs: number;
	/** Maximum number of commands in one world. */
	maximumCommands?: number;
	/** Reports the first case without shrinking it. */
	firstOnly?: boolean;
	/** Replays one case of an earlier search with the same seed. */
	path?: string;
	/** Replays the shrunk commands of an earlier search. */
	replayPath?: string;
	world?: Omit<WorldOptions, 'seed'>;
};

/** @public */
export type SearchResult = {
	worlds: number;
	/** Number of commands run, including those run while shrinking. */
	steps: number;
	/** Number of attempts that arrived at targets. */
	arrivals: number;
	failure?: {
		/** Violations found when the world stopped; empty for an error of another kind. */
		violations: ViolationName[];
		message: string;
		/** Shrunk world seed and commands. */
		counterexample: string;
		path: string;
		replayPath: string | undefined;
	};
};

const defaultMaximumCommands = 80;
const replayPathPattern = /replayPath="(?<replayPath>[^"]+)"/v;

/** @public */
export async function search(options: SearchOptions): Promise<SearchResult> {
	const counter: StepCounter = {steps: 0};
	let arrivals = 0;
	let violations: ViolationName[] = [];
	const commands = fc.commands(worldCommands, {
		maxCommands: options.maximumCommands ?? defaultMaximumCommands, size: 'max',
		...(options.replayPath === undefined ? {} : {replayPath: options.replayPath}),
	});
	const property = fc.asyncProperty(fc.integer({min: 1}), commands, async (seed, steps) => {
		const world = new World({...options.world, seed});
		try {
			await fc.asyncModelRun(() => ({model: counter, real: world}), steps);
			await world.finish();
		} catch (error) {
			violations = world.oracle.violations.map(violation => violation.violation);
			throw error;
		} finally {
			arrivals += world.oracle.arrivals;
		}
	});
	const details = await fc.check(property, {
		seed: options.seed, numRuns: options.runs, endOnFailure: options.firstOnly ?? false, ...(options.path === undefined ? {} : {path: options.path}),
	});
	const result: SearchResult = {worlds: details.numRuns, steps: counter.steps, arrivals};
	if (details.failed) {
		const counterexample = String(details.counterexample?.map(String).join('; '));
		result.failure = {
			violations, message: String(details.errorInstance), counterexample, path: details.counterexamplePath ?? '',
			replayPath: replayPathPattern.exec(counterexample)?.groups?.replayPath,
		};
	}

	return result;
}
