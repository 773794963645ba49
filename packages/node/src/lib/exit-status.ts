/**
 * How the node process ends.
 */

/** Exit statuses after sysexits.h, so that they can't be mistaken for those of Node.js itself. @public */
export const exitStatus = {
	stopped: 0,
	usage: 64,
	settingsUnreadable: 66,
	addressUnavailable: 69,
	internalError: 70,
	settingsInvalid: 78,
} as const;
