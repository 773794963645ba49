/**
 * Runs the real binary in a child process, for tests.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {fileURLToPath} from 'node:url';

const binary = fileURLToPath(new URL('../../dist/bin/hemlockthread.js', import.meta.url));

/** @internal */
export type BinaryResult = {status: number | null; output: string; errors: string};

/** @internal */
export function exampleFile(name: string): string {
	return fileURLToPath(new URL(`../../../../examples/${name}`, import.meta.url));
}

/** @internal */
export async function runBinary(arguments_: string[]): Promise<BinaryResult> {
	const child = spawn(process.execPath, [binary, ...arguments_], {stdio: ['ignore', 'pipe', 'pipe']});
	const [output, errors, exit] = await Promise.all([text(child.stdout), text(child.stderr), once(child, 'exit')]);
	return {status: exit[0] as number | null, output, errors};
}
