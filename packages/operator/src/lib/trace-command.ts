/**
 * Command `trace`, which reconstructs the path of a request through the nodes from their logs, with the reason at each step.
 */
import {Command, Option} from 'clipanion';
import {
	exitStatus, OperatorCommand, statusHelp, type CommandResult,
} from './operator-command.js';
import {readInputFile} from './readers.js';

type LogLine = Readonly<Record<string, unknown>> & {time: string; event: string; node: string; id?: string};

/** Fields that are printed in front of the others. */
const leadingFields = new Set(['time', 'event', 'node', 'id']);
/** Events that can explain a lost request when they occur close to it in time. */
const contextEvents = new Set(['dependency-lost', 'dependency-regained', 'start', 'stop-requested', 'stop', 'fatal-error', 'reload', 'lines-omitted']);
/** Time before and after a request in which context events are shown; longer than any inactivity timeout of a link. */
const contextWindowMilliseconds = 3000;

/** Explanations of reasons, by the part of the reason before its first colon, without trailing digits. */
const reasonMeanings: Readonly<Record<string, string>> = {
	'no-policy': 'the node had no policy yet; it had just started or reached neither the configuration service nor a peer',
	'unknown-route': 'no route of the policy in force matches the host and path',
	'overloaded-below': 'a service needed by the downstream calls had no free capacity; the entry node refused the request, and it did not run',
	'unreachable-below': 'no instance of a service needed by the downstream calls was reachable; the request did not run',
	overloaded: 'the queues of the instances tried could not start the request in time; it did not run',
	'no-instance': 'no ready instance of the service was reachable; the request did not run',
	'peer-unreachable': 'the node beside the instance was unreachable; the request did not run',
	'link-full': 'the send buffer of the link to the node beside the instance was full; the request did not run',
	leaving: 'the node beside the instance was stopping; the request did not run',
	'instance-leaving': 'the instance was leaving the fleet; the request did not run there',
	'link-lost': 'the link to the node beside the instance closed before the outcome arrived; the request may have run',
	'deadline-exceeded': 'the deadline of the caller or the route passed while the request was at an instance; it may have run',
	'target-unreachable': 'the target accepted no connection; the request did not run',
	'target-lost': 'the connection to the target closed before a complete response; the request may have run',
	'target-answered-': 'the target responded with this status',
	'target-refused-': 'the target declared that it did not run the request',
	'another-instance': 'a different instance responded at the address; the request did not run there',
	'answer-unsigned-': 'the response was not signed by the target; the request may have run',
	'answer-encoded': 'the response body was encoded, so it was not the target\'s original; the request may have run',
	'caller-left': 'the caller closed its connection',
};

/** @internal */
export class TraceCommand extends OperatorCommand {
	static override paths = [['trace']];
	static override usage = Command.Usage({
		description: 'Show the path of a request through the nodes, from their logs.',
		details: 'Reads logs of one or more nodes, in any order, and prints every line about the request and its downstream calls by time, '
			+ 'other events of these nodes close to it, and what the final reason means. Exit status 1 means that no line names the '
			+ `request. ${statusHelp}`,
		examples: [['A request that got status 503', '$0 trace --request 6b6438b3b5e07c37 node-1.log node-2.log']],
	});

	request = Option.String('--request', {required: true, description: 'Id of the request\'s attempt.'});
	files = Option.Rest({required: 1, name: 'logs'});

	protected async run(): Promise<CommandResult> {
		const lines = this.files.flatMap(file => readLogLines(file)).toSorted((first, second) => first.time.localeCompare(second.time));
		const timeline = lines.filter(({id}) => id === this.request || id?.startsWith(`${this.request}.`) === true);
		if (timeline.length === 0) {
			const omitted = lines.filter(({event}) => event === 'lines-omitted').length;
			return {
				status: exitStatus.negative,
				lines: [`no line names ${this.request}; ${omitted} reports of omitted lines`],
				json: {
					request: this.request, timeline, around: [], reason: undefined,
				},
			};
		}

		const around = lines.filter(line => isAround(line, timeline));
		const finalLine = timeline.find(({event, id}) => event === 'request' && id === this.request);
		const reason = typeof finalLine?.reason === 'string' && finalLine.reason !== '' ? finalLine.reason : undefined;
		const meaning = reason === undefined ? undefined : meaningOf(reason);
		return {
			status: exitStatus.ok,
			lines: [
				...timeline.map(line => formatLine(line)),
				...(around.length === 0 ? [] : ['around it:', ...around.map(line => formatLine(line))]),
				...(finalLine === undefined ? ['no final line: the entry node omitted it, or its log is missing'] : []),
				...(reason === undefined ? [] : [`reason ${reason}: ${meaning ?? 'see docs/OPERATIONS.md'}`]),
			],
			json: {
				request: this.request, timeline, around, reason, meaning,
			},
		};
	}
}

/** Skips lines that are not JSON objects with time, event and node; other programs may write to the same log. */
function readLogLines(file: string): LogLine[] {
	return readInputFile(file).split('\n').flatMap(text => {
		try {
			const value: unknown = JSON.parse(text);
			return isLogLine(value) ? [value] : [];
		} catch {
			return [];
		}
	});
}

function isLogLine(value: unknown): value is LogLine {
	const {time, event, node, id} = (value ?? {}) as Record<string, unknown>;
	return typeof time === 'string' && typeof event === 'string' && typeof node === 'string' && (id === undefined || typeof id === 'string');
}

function isAround(line: LogLine, timeline: readonly LogLine[]): boolean {
	return contextEvents.has(line.event)
		&& timeline.some(({time}) => Math.abs(Date.parse(time) - Date.parse(line.time)) <= contextWindowMilliseconds);
}

function meaningOf(reason: string): string | undefined {
	const start = reason.split(':', 1)[0]!;
	return reasonMeanings[start] ?? reasonMeanings[start.replace(/(?<!\d)\d+$/v, '')];
}

function formatLine(line: LogLine): string {
	const fields = Object.entries(line).filter(([name]) => !leadingFields.has(name)).map(([name, value]) => `${name}=${String(value)}`);
	return `${line.time} ${line.node} ${line.event}${line.id === undefined ? '' : ` ${line.id}`} ${fields.join(' ')}`;
}
