/**
 * The records in force and how they reach every node.
 */
export {
	RecordStore, type PublishedRecord, type RecordChange, type RecordStoreOptions,
} from './lib/record-store.js';
export {
	PlatformClient, type PlatformAnswer, type PlatformRead, type PlatformRecord,
} from './lib/platform-client.js';
export {RecordDistributor, type RecordDistributorParts} from './lib/record-distributor.js';
export type {ConnectPeer} from './lib/control-overlay.js';
export {distributionOptions, type DistributionOptions} from './lib/distribution-options.js';
