/**
 * Command `follow`, which prints changes of published records and of the revisions in force at nodes as they happen.
 */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Command, Option} from 'clipanion';
import limitConcurrency from 'p-limit';
import * as t from 'typanion';
import {
	exitStatus, isDuration, isPlatformUrl, OperatorCommand, statusHelp, toMilliseconds, type CommandResult,
} from './operator-command.js';
import {
	liveInstances, readNode, readPublished, recordKeys,
} from './readers.js';
import {summarize} from './published-command.js';

const maximumConcurrentReads = 16;
/** Duration of one long-poll read, which the configuration service counts as a single read. */
const watchMilliseconds = 20_000;
const retryMilliseconds = 1000;

type FollowEvent = {time: string; event: string; key?: string; node?: string; revision?: number; previous?: number; detail?: string};
type NodeState = {policy?: {revision?: number}; records?: Record<string, {revision?: number}>};

/** @internal */
export class FollowCommand extends OperatorCommand {
	static override paths = [['follow']];
	static override usage = Command.Usage({
		description: 'Follow changes of published records and of the revisions in force at nodes.',
		details: 'Prints one line (with --json one JSON object) per change until SIGINT, --timeout, --changes or --until-in-force ends it. '
			+ 'Durations are whole numbers with ms, s, m or h. The exit status is 1 when the timeout expires before --changes or '
			+ `--until-in-force is reached. ${statusHelp}`,
		examples: [['Wait until what is published is in force at every live node', '$0 follow --platform http://127.0.1.9:7100 --until-in-force --timeout 30s']],
	});

	platform = Option.String('--platform', {required: true, validator: isPlatformUrl, description: 'Base URL of the configuration service.'});
	every = Option.String('--every', '2s', {validator: isDuration, description: 'Time between two reads of each node (default 2s).'});
	timeout = Option.String('--timeout', {validator: isDuration, description: 'Longest time to follow.'});
	changes = Option.String('--changes', {validator: t.cascade(t.isNumber(), t.isInteger(), t.isPositive()), description: 'Stop after this many changes.'});
	untilInForce = Option.Boolean('--until-in-force', false, {description: 'Stop when every live node has what is published.'});

	private readonly published = new Map<string, {revision: number; value: string}>();
	/** Revisions in force by node and key; undefined for an unreachable node. */
	private readonly inForce = new Map<string, Record<string, number> | undefined>();
	private readonly stop = new AbortController();
	private changeCount = 0;
	private reached = false;

	protected async run(): Promise<CommandResult> {
		// The first reads are not retried, so that an unreachable platform fails the command.
		for (const key of recordKeys) {
			this.updatePublished(key, await readPublished(this.platform, key));
		}

		const end = () => {
			this.stop.abort();
		};

		process.once('SIGINT', end);
		process.once('SIGTERM', end);
		const timer = this.timeout === undefined ? undefined : setTimeout(end, toMilliseconds(this.timeout));
		await Promise.all([...recordKeys.map(async key => this.watch(key)), this.pollNodes()]);
		clearTimeout(timer);
		process.off('SIGINT', end);
		process.off('SIGTERM', end);
		const expected = this.changes !== undefined || this.untilInForce;
		return {
			status: expected && !this.reached ? exitStatus.negative : exitStatus.ok,
			lines: [this.untilInForce && this.reached ? 'in force at every live node' : `${this.changeCount} changes`],
			json: {event: 'end', changes: this.changeCount, reached: this.reached},
		};
	}

	private async watch(key: string): Promise<void> {
		let reachable = true;
		while (!this.stop.signal.aborted) {
			try {
				const after = this.published.get(key)?.revision ?? 0;
				const record = await readPublished(this.platform, key, {after, waitMilliseconds: watchMilliseconds, signal: this.stop.signal});
				if (!reachable) {
					reachable = true;
					this.report({event: 'platform reachable', key});
				}

				if (record !== undefined && record.revision > after) {
					this.updatePublished(key, record);
				} else {
					// The service responds immediately for a key that was never published, so the loop has to wait.
					await this.pause(after === 0 ? retryMilliseconds : 0);
				}
			} catch (error) {
				if (reachable && !this.stop.signal.aborted) {
					reachable = false;
					this.report({event: 'platform unreachable', key, detail: (error as Error).message});
				}

				await this.pause(retryMilliseconds);
			}
		}
	}

	private async pollNodes(): Promise<void> {
		const limit = limitConcurrency(maximumConcurrentReads);
		while (!this.stop.signal.aborted) {
			const instances = liveInstances(this.published.get('fleet')?.value ?? '{"schemaVersion":1,"instances":[]}');
			const names = new Set(instances.map(instance => instance.name));
			for (const name of this.inForce.keys()) {
				if (!names.has(name)) {
					this.inForce.delete(name);
				}
			}

			await Promise.all(instances.map(async instance => limit(async () => this.pollNode(instance.name, instance.operatorAddress))));
			if (this.untilInForce && instances.length > 0 && instances.every(instance => this.isUpToDate(instance.name))) {
				this.finish();
			}

			await this.pause(toMilliseconds(this.every));
		}
	}

	private async pollNode(name: string, address: string): Promise<void> {
		const known = this.inForce.has(name);
		const previous = this.inForce.get(name);
		try {
			const state = await readNode<NodeState>(address, '/state');
			const revisions: Record<string, number> = {
				policy: state.policy?.revision ?? 0, fleet: state.records?.fleet?.revision ?? 0,
			};
			this.inForce.set(name, revisions);
			for (const key of recordKeys.filter(key => revisions[key] !== previous?.[key])) {
				this.report({
					event: 'in force', node: name, key, revision: revisions[key], previous: previous?.[key],
				});
			}
		} catch (error) {
			this.inForce.set(name, undefined);
			if (!known || previous !== undefined) {
				this.report({event: 'node unreachable', node: name, detail: (error as Error).message});
			}
		}
	}

	private updatePublished(key: string, record: {revision: number; value: string} | undefined): void {
		if (record === undefined) {
			return;
		}

		const previous = this.published.get(key)?.revision;
		this.published.set(key, record);
		const {bytes, valid} = summarize({key, ...record});
		this.report({
			event: 'published', key, revision: record.revision, previous, detail: `${bytes} bytes, ${valid ? 'valid' : 'invalid'}`,
		});
	}

	private isUpToDate(name: string): boolean {
		return [...this.published].every(([key, {revision}]) => (this.inForce.get(name)?.[key] ?? -1) >= revision);
	}

	private report(change: Omit<FollowEvent, 'time'>): void {
		const line = {time: new Date().toISOString(), ...change};
		const {event, key, node, revision, previous, detail} = change;
		const words = [node === undefined ? undefined : `${node}:`,
			key,
			event,
			revision === undefined ? undefined : `revision ${revision}`,
			previous === undefined ? undefined : `(was ${previous})`,
			detail === undefined ? undefined : `(${detail})`];
		this.print([`${line.time} ${words.filter(word => word !== undefined).join(' ')}`], line);
		this.changeCount += 1;
		if (this.changes !== undefined && this.changeCount >= this.changes) {
			this.finish();
		}
	}

	private finish(): void {
		this.reached = true;
		this.stop.abort();
	}

	private async pause(wait: number): Promise<void> {
		try {
			await delay(wait, undefined, {signal: this.stop.signal});
		} catch {
			// The wait was aborted; the caller's loop checks the signal.
		}
	}
}
