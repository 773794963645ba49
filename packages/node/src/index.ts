/**
 * The node process that runs beside each target instance, and its components that decide the outcomes of calls.
 */
export {startNode, type RunningNode} from './lib/start-node.js';
export {CallExecutor} from './lib/call-executor.js';
export {CallForwarder, forwarderOptions, type MintResult} from './lib/call-forwarder.js';
export {
	CallInProgress, CallRegistry, callRegistryOptions, type DownstreamCallState,
} from './lib/call-registry.js';
export {
	refusal, type Call, type CallMessage, type CallResult,
} from './lib/call.js';
export {
	processTiming, type AdmissionApi, type MetricsApi, type FleetLookup, type NodeTiming, type PeerPoolApi, type PeerConnectionApi, type PolicySource,
	type LocalNode, type TargetSelectorApi, type TargetClientApi,
} from './lib/dependencies.js';
export {DownstreamCalls, type DownstreamCall} from './lib/downstream-calls.js';
export {NodePeerHandlers} from './lib/peer-handlers.js';
export {PeerPool, peerPoolOptions} from './lib/peer-pool.js';
export {RootCalls, type RootCall} from './lib/root-calls.js';
export {type TargetResponse} from './lib/target-client.js';
