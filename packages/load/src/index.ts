/**
 * Runs load experiments against real nodes and reports their results.
 */
export {
	loadExperiment, parseExperiment, ExperimentFileError, type Experiment,
} from './lib/experiment-file.js';
export {idealGoodput, offeredLoad} from './lib/ideal.js';
export {processUsage, type ProcessUsage} from './lib/process-usage.js';
export {runExperiment, type ExperimentResult} from './lib/run-experiment.js';
