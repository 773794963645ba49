/**
 * Aggregates `node --cpu-prof` files by package and by function.
 */
import {readFileSync} from 'node:fs';
import path from 'node:path';

type ProfileNode = {id: number; callFrame: {functionName: string; url: string}};
type Profile = {nodes: ProfileNode[]; samples: number[]; timeDeltas: number[]};

/** @public */
export type SelfTime = {name: string; microseconds: number};

/** @public */
export type ProfileSummary = {totalMicroseconds: number; packages: SelfTime[]; functions: SelfTime[]};

const idleFrames = new Set(['(idle)', '(program)', '(root)']);

/** Returns the self times in a profile in descending order, excluding idle time. @public */
export function summarizeProfile(file: string): ProfileSummary {
	const profile = JSON.parse(readFileSync(file, 'utf8')) as Profile;
	const nodes = new Map(profile.nodes.map(node => [node.id, node.callFrame]));
	const packages = new Map<string, number>();
	const functions = new Map<string, number>();
	let totalMicroseconds = 0;
	for (const [index, sample] of profile.samples.entries()) {
		const frame = nodes.get(sample);
		const microseconds = profile.timeDeltas[index] ?? 0;
		if (frame === undefined || idleFrames.has(frame.functionName)) {
			continue;
		}

		totalMicroseconds += microseconds;
		const packageName = packageOf(frame.url, frame.functionName);
		const functionName = `${frame.functionName || '(anonymous)'} ${path.basename(frame.url)}`;
		packages.set(packageName, (packages.get(packageName) ?? 0) + microseconds);
		functions.set(functionName, (functions.get(functionName) ?? 0) + microseconds);
	}

	return {totalMicroseconds, packages: largestFirst(packages), functions: largestFirst(functions)};
}

function packageOf(url: string, functionName: string): string {
	if (functionName === '(garbage collector)') {
		return 'garbage collector';
	}

	const workspacePackage = /\/packages\/(?<name>[^\/]+)\//v.exec(url)?.groups?.name;
	const installedPackage = /node_modules\/(?<name>(?:@[^\/]+\/)?[^\/]+)/v.exec(url)?.groups?.name;
	return installedPackage ?? (workspacePackage === undefined ? 'Node.js' : `@hemlockthread/${workspacePackage}`);
}

function largestFirst(times: ReadonlyMap<string, number>): SelfTime[] {
	return [...times].map(([name, microseconds]) => ({name, microseconds})).toSorted((first, second) => second.microseconds - first.microseconds);
}
