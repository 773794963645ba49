/**
 * The settings of a node, read from a JSON file and validated at start.
 */
export {
	checkSettings, loadSettings, nodeSettingsSchema, SettingsFileError, parseSettings, type NodeSettings, type ListenAddress,
} from './lib/node-settings.js';
