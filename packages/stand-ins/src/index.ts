/**
 * Stand-ins for what lies outside the system: the configuration service, targets and the network between processes.
 */
export {freePorts, processLoopbackHost} from './lib/loopback.js';
export {readBody} from './lib/read-body.js';
export {SlotQueue} from './lib/slot-queue.js';
export {PlatformStandIn} from './lib/platform.js';
export {StatsDStandIn, type StatsDLine} from './lib/statsd.js';
export {
	TargetStandIn, type TargetPlan, type TargetFault, type TargetRun, type TargetKindPlan, type TargetLegPlan,
} from './lib/target.js';
export {TcpRelayStandIn, type RelayAddress, type RelayDirection} from './lib/tcp-relay.js';
