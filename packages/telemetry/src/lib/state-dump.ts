/**
 * The state dump: each manager registers a function that returns a summary of its state.
 */
import {redact} from './redact.js';

/**
 * Returns a plain value. The registry bounds it and hides secrets in it.
 *
 * @public
 */
export type StateDumpSource = () => unknown;

/**
 * Collects the state of all managers of one process on request.
 *
 * @public
 */
export class StateDumpRegistry {
	private readonly sources = new Map<string, StateDumpSource>();

	register(name: string, source: StateDumpSource): void {
		this.sources.set(name, source);
	}

	/** Runs the sources; one that fails is reported in its place so that the rest can still be read. */
	collect(): Record<string, unknown> {
		const dump: Record<string, unknown> = {};
		for (const [name, source] of this.sources) {
			try {
				dump[name] = redact(source());
			} catch (error) {
				dump[name] = redact({error: String(error)});
			}
		}

		return dump;
	}
}
