/**
 * Structured logs, metrics, and the registry for the state dump.
 */
export {Logs, type LogFields, type LogLevelName} from './lib/logs.js';
export {Metrics, type MetricsOptions, type MetricTags} from './lib/metrics.js';
export {redact, redactOptions} from './lib/redact.js';
export {StateDumpRegistry, type StateDumpSource} from './lib/state-dump.js';
