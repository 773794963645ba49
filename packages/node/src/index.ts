/**
 * The node process that runs beside each target instance.
 */
export {startNode, type RunningNode} from './lib/start-node.js';
