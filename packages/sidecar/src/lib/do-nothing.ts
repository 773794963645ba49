/**
 * The cancel function of work that can no longer be taken back, because it has already started, ended or been refused.
 */
export function doNothing(): void {
	// There is nothing left to cancel.
}
