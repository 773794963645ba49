/**
 * Structured log lines, one JSON object per line. Only changes of state are logged.
 */
import process from 'node:process';
import loglevel, {type Logger} from 'loglevel';
import {redact} from './redact.js';

/** @public */
export type LogLevelName = 'debug' | 'info' | 'warn' | 'error';

/** @public */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/**
 * Writes structured log lines to standard error. Secrets and tokens are redacted.
 *
 * @public
 */
export class Logs {
	private readonly logger: Logger;

	constructor(name: string, level: LogLevelName, fields: LogFields = {}) {
		this.logger = loglevel.getLogger(name);
		this.logger.methodFactory = methodName => (event: string, lineFields?: LogFields) => {
			const line = {
				time: new Date().toISOString(), level: methodName, event, ...fields, ...lineFields,
			};
			process.stderr.write(JSON.stringify(redact(line)) + '\n');
		};

		this.logger.setLevel(level, false);
	}

	debug(event: string, fields?: LogFields): void {
		this.logger.debug(event, fields);
	}

	info(event: string, fields?: LogFields): void {
		this.logger.info(event, fields);
	}

	warn(event: string, fields?: LogFields): void {
		this.logger.warn(event, fields);
	}

	error(event: string, fields?: LogFields): void {
		this.logger.error(event, fields);
	}
}
