/**
 * The settings of a node, read from a JSON file and checked at start.
 */
export {
	loadSettings, parseSettings, type NodeSettings, type ListenAddress,
} from './lib/node-settings.js';
