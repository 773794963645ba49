/**
 * The state dump: each component registers a function that returns a summary of its state.
 */
import {redact} from './redact.js';

/**
 * Returns a plain value. The registry limits its size and redacts secrets.
 *
 * @public
 */
export type StateDumpSource = () => unknown;

/**
 * Collects the state of all components of a process on request.
 *
 * @public
 */
export class StateDumpRegistry {
	private readonly sources = new Map<string, StateDumpSource>();

	register(name: string, source: StateDumpSource): void {
		this.sources.set(name, source);
	}

	/** Runs the sources; the error of a source that fails takes the place of its state, so that the others remain readable. */
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
