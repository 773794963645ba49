/**
 * Tests of the buffer for bodies: the bytes and their order for all sizes of pieces, and the memory for small ones.
 */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {describe, expect, it} from 'vitest';
import {BodyBuffer} from './body-buffer.js';

const pieceOf = (size: number, seed: number) => Buffer.alloc(size, String.fromCodePoint(97 + (seed % 26)));

describe('a body is the concatenation of its pieces', () => {
	it.each<[string, number[], number?]>([
		['without pieces', []],
		['of one piece', [10]],
		['of small pieces', Array.from({length: 3000}, (_, index) => index % 40)],
		['of small and large pieces', [16, 5000, 16, 16, 70_000, 1, 4095, 4096, 1]],
		['of large pieces', [5000, 5000, 5000]],
		['of a known length', [700_000, 3, 400_000], 1_100_003],
		['that ends before its known length', [700_000], 2_000_000],
		['of a small known length', [3, 4], 7],
	])('%s', (_name, sizes, expectedBytes) => {
		const body = new BodyBuffer(expectedBytes);
		const pieces = sizes.map((size, index) => pieceOf(size, index));
		for (const piece of pieces) {
			body.append(piece);
		}

		expect(body.toBuffer().equals(Buffer.concat(pieces))).toBe(true);
		expect(body.length).toBe(sizes.reduce((sum, size) => sum + size, 0));
	});
});

/** Guards against a process that runs out of memory because of a body in small chunks: each chunk was an object of its own. */
it('small pieces take little more memory than their bytes', () => {
	const count = 500_000;
	const piece = Buffer.alloc(16 * count);
	const body = new BodyBuffer();
	const before = process.memoryUsage();
	for (let index = 0; index < count; index += 1) {
		body.append(piece.subarray(index * 16, (index + 1) * 16));
	}

	const after = process.memoryUsage();
	expect(after.heapUsed - before.heapUsed).toBeLessThan(32 * 1024 * 1024);
	expect(body.length).toBe(16 * count);
});
