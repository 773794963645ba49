/**
 * Command `explain`, which reports whether a node would admit or shed a call now, and why.
 */
import {Command, Option} from 'clipanion';
import {
	exitStatus, isAddress, OperatorCommand, statusHelp, type CommandResult,
} from './operator-command.js';
import {readNode} from './readers.js';

type Explanation = {
	node: string;
	outcome: string;
	reason?: string;
	admittedShare: number;
	checks: Array<{check: string; passed: boolean; detail: string}>;
};

/** @internal */
export class ExplainCommand extends OperatorCommand {
	static override paths = [['explain']];
	static override usage = Command.Usage({
		description: 'Explain why a node would admit or shed a call now.',
		details: 'No call is made. The admitted share is the fraction of the kind\'s requests, from 0 to 1, whose priority is at or above the '
			+ 'lowest known admission level. Exit status 0 means that all of them would be admitted, 1 that some or all would be shed or '
			+ `refused. ${statusHelp}`,
		examples: [['A call of kind stock-view to the service racks', '$0 explain --address 127.0.1.1:7104 --service racks --kind stock-view']],
	});

	address = Option.String('--address', {required: true, validator: isAddress, description: 'IP number and port of the node\'s operators listener.'});
	service = Option.String('--service', {required: true, description: 'Service that would be called.'});
	kind = Option.String('--kind', {required: true, description: 'Kind of the request.'});

	protected async run(): Promise<CommandResult> {
		const query = new URLSearchParams({service: this.service, kind: this.kind});
		const explanation = await readNode<Explanation>(this.address, `/explain?${query.toString()}`);
		const {node, outcome, reason, admittedShare, checks} = explanation;
		return {
			status: outcome === 'admitted' ? exitStatus.ok : exitStatus.negative,
			lines: [
				`${this.service}/${this.kind} at ${node}: ${outcome}${reason === undefined ? '' : ` (${reason})`}, admitted share ${admittedShare}`,
				...checks.map(({check, passed, detail}) => `${passed ? 'pass' : 'FAIL'} ${check}: ${detail}`),
			],
			json: explanation,
		};
	}
}
