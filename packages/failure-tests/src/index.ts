/**
 * Tests of the guarantees under failure, with real processes. The oracle compares only the responses that callers received
 * with the runs at targets.
 */
export {CallOracle} from './lib/call-oracle.js';
export {waitUntil} from './lib/wait-until.js';
