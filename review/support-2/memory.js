/**
 * The memory of a process, as the platform limits it: only pages that no other process has, without those of the program file.
 */
import {readFileSync} from 'node:fs';

/** `memoryMb` of the settings of a machine. */
export const memoryMegabytes = 350;

export function ownMegabytes(processId) {
	try {
		return Number(/^RssAnon:\s+(?<kilobytes>\d+)/mv.exec(readFileSync(`/proc/${processId}/status`, 'utf8')).groups.kilobytes) / 1024;
	} catch {
		// The process has just ended.
		return 0;
	}
}
