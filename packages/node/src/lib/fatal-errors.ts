/**
 * Handler for uncaught errors. A node in an unknown state could return a wrong verdict, so the process ends; its calls in
 * progress become `may-have-run` at their callers.
 */
import process from 'node:process';
import type {Logs, Metrics} from '@hemlockthread/telemetry';
import {exitStatus} from './exit-status.js';

/** Time for the metrics client to send its buffered metrics. */
const flushMilliseconds = 200;

/**
 * On an unhandled rejection or an uncaught exception: logs it, counts it and ends the process.
 *
 * @public
 */
export class FatalErrors {
	private ending = false;

	constructor(private readonly logs: Logs, private readonly metrics: Metrics) {}

	install(): void {
		process.on('unhandledRejection', this.onRejection);
		process.on('uncaughtException', this.onException);
	}

	remove(): void {
		process.off('unhandledRejection', this.onRejection);
		process.off('uncaughtException', this.onException);
	}

	/** Reports the error and ends the process. */
	end(event: string, error: unknown): void {
		this.metrics.count('process.fatal', {event});
		this.logs.error('node ends because of an error that nothing handled', {
			event, error: String(error), stack: error instanceof Error ? error.stack : undefined,
		});
		if (this.ending) {
			return;
		}

		this.ending = true;
		const exit = () => {
			// eslint-disable-next-line unicorn/no-process-exit -- the state of this process is unknown, so nothing may continue
			process.exit(exitStatus.internalError);
		};

		setTimeout(exit, flushMilliseconds);
		this.metrics.close().then(exit, exit);
	}

	private readonly onRejection = (error: unknown) => {
		this.end('unhandled-rejection', error);
	};

	private readonly onException = (error: unknown) => {
		this.end('uncaught-exception', error);
	};
}
