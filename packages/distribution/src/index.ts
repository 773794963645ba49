/**
 * The records in force and how they reach every node.
 */
export {
	RecordStore, type PublishedRecord, type RecordListener, type RecordStoreOptions,
} from './lib/record-store.js';
export {
	PlatformClient, type PlatformResponse, type PlatformRead, type PlatformRecord,
} from './lib/platform-client.js';
export {RecordDistributor, type RecordDistributorDependencies} from './lib/record-distributor.js';
export type {ConnectPeer} from './lib/control-overlay.js';
export {distributionOptions, type DistributionOptions} from './lib/distribution-options.js';
