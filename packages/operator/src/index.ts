/**
 * Read-only command line for operators.
 */
export {runCli} from './lib/run-cli.js';
export {exitStatus, type ExitStatus} from './lib/operator-command.js';
export {checkFleetList, fleetListSchema} from './lib/fleet-list-schema.js';
