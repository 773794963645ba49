/**
 * Tests of the promises under failure, with real processes. The oracle knows only what callers were told and what
 * targets ran.
 */
export {CallOracle} from './lib/call-oracle.js';
export {waitUntil} from './lib/wait-until.js';
