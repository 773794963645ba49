/**
 * Exit statuses of the node process.
 */

/** Statuses follow sysexits.h, so that they can't be confused with those of Node.js itself. @public */
export const exitStatus = {
	stopped: 0,
	usage: 64,
	settingsUnreadable: 66,
	addressUnavailable: 69,
	internalError: 70,
	settingsInvalid: 78,
} as const;
