/**
 * The records in force and how they reach every node.
 */
export {RecordStore, type PublishedRecord, type RecordChange} from './lib/record-store.js';
export {PlatformClient, type PlatformRecord} from './lib/platform-client.js';
export {RecordDistributor, distributionOptions} from './lib/record-distributor.js';
