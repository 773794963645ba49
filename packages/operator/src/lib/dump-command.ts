/**
 * Command `dump`, which prints the state of one node or of every live node.
 */
import {Command, Option} from 'clipanion';
import limitConcurrency from 'p-limit';
import {
	exitStatus, InputError, isAddress, isPlatformUrl, OperatorCommand, statusHelp, type CommandResult,
} from './operator-command.js';
import {readLiveInstances, readNode} from './readers.js';

/** Limits concurrent reads, so that a fleet of 1,300 nodes is not queried in one burst. */
const maximumConcurrentReads = 16;

type NodeState = Record<string, unknown>;
type Unreachable = {name: string; address: string; error: string};

/** @internal */
export class DumpCommand extends OperatorCommand {
	static override paths = [['dump']];
	static override usage = Command.Usage({
		description: 'Show the state of one node or of every live node.',
		details: 'Give either --address or --platform. With --platform, nodes that can\'t be reached are listed at the end and the exit '
			+ `status is 3. Times are in milliseconds, sizes in bytes. ${statusHelp}`,
		examples: [
			['One node', '$0 dump --address 127.0.1.1:7104'],
			['Every live node of the fleet list', '$0 dump --platform http://127.0.1.9:7100 --json'],
		],
	});

	address = Option.String('--address', {validator: isAddress, description: 'IP number and port of the node\'s operators listener.'});
	platform = Option.String('--platform', {validator: isPlatformUrl, description: 'Base URL of the configuration service.'});

	protected async run(): Promise<CommandResult> {
		if ((this.address === undefined) === (this.platform === undefined)) {
			throw new InputError('give either --address or --platform');
		}

		return this.address === undefined ? this.dumpAll(this.platform!) : this.dumpOne(this.address);
	}

	private async dumpOne(address: string): Promise<CommandResult> {
		const state = await readNode(address, '/state');
		return {status: exitStatus.ok, lines: stateLines(state), json: state};
	}

	private async dumpAll(platform: string): Promise<CommandResult> {
		const instances = await readLiveInstances(platform);
		const limit = limitConcurrency(maximumConcurrentReads);
		const nodes: Record<string, NodeState> = {};
		const unreachable: Unreachable[] = [];
		await Promise.all(instances.map(async ({name, operatorAddress: address}) => limit(async () => {
			try {
				nodes[name] = await readNode(address, '/state');
			} catch (error) {
				unreachable.push({name, address, error: (error as Error).message});
			}
		})));
		return {
			status: unreachable.length === 0 ? exitStatus.ok : exitStatus.unreachable,
			lines: [
				...Object.entries(nodes).flatMap(([name, state]) => [name, ...stateLines(state).map(line => `  ${line}`)]),
				...unreachable.map(({name, address, error}) => `${name} at ${address} is unreachable: ${error}`),
			],
			json: {nodes, unreachable},
		};
	}
}

function stateLines(state: NodeState): string[] {
	return Object.entries(state).map(([source, value]) => `${source}: ${JSON.stringify(value)}`);
}
