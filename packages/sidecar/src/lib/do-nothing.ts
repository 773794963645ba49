/**
 * The cancel function of work that cannot be cancelled any more, because it has started, ended or been refused.
 */
export function doNothing(): void {
	// There is nothing left to cancel.
}
