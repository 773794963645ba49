/**
 * Guards against documentation whose commands fail, or that omits a refusal reason or a setting. Runs all blocks of a page
 * that are marked `sh run`, in order and in one shell, against a separate fleet per page.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {fileURLToPath} from 'node:url';
import {nodeSettingsSchema} from '@hemlockthread/settings';
import {cellarNetPlan, FleetDriver} from '@hemlockthread/test-driver';
import {refusalRules} from '@hemlockthread/verdict';
import {
	describe, expect, it,
} from 'vitest';

const root = fileURLToPath(new URL('../../../../', import.meta.url));
const read = (page: string) => readFileSync(`${root}docs/${page}`, 'utf8');

const pages = [
	'operators/install-and-run.md',
	'operators/settings.md',
	'operators/command-line.md',
	'operators/metrics-and-logs.md',
	'operators/policy-change.md',
	'operators/graceful-stop.md',
	'policy-reference.md',
	'caller-guide.md',
];

/** Matches URLs other than 127.0.0.0/8; pages must not use them, so that the test needs no network. */
const outsideAddresses = /https?:\/\/(?!127\.)(?=\d|[a-z])/v;

function runnableBlocks(page: string): string[] {
	return [...read(page).matchAll(/^ *```sh run\n(?<code>.*?)^ *```$/gmsv)].map(match => match.groups!.code!);
}

/** Shell setup that the pages assume, as described in docs/operators/install-and-run.md. */
const prelude = `
set -euo pipefail
hemlockthread() { node packages/operator/dist/bin/hemlockthread.js "$@"; }
trap 'kill $(jobs -p) 2> /dev/null || true' EXIT
`;

describe.each(pages)('docs/%s', page => {
	const blocks = runnableBlocks(page);

	it('has commands that work', async () => {
		expect(blocks.length).toBeGreaterThan(0);
		expect(blocks.join('')).not.toMatch(outsideAddresses);
		const driver = new FleetDriver();
		try {
			await driver.start(cellarNetPlan());
			const {callerUrl, operatorUrl, targetListenerUrl, process: node} = driver.instance('racks-1');
			const shell = spawn('bash', ['-c', prelude + blocks.join('\n')], {
				cwd: root,
				env: {
					...process.env, PLATFORM: driver.platformUrl, CALLERS: callerUrl, OPERATORS: new URL(operatorUrl).host,
					TARGET_LISTENER: targetListenerUrl, NODE_PID: String(node.pid),
				},
				stdio: ['ignore', 'pipe', 'pipe'],
			});
			const [output, errors, exit] = await Promise.all([text(shell.stdout), text(shell.stderr), once(shell, 'exit')]);
			expect(exit[0], `${output}\n${errors}`).toBe(0);
		} finally {
			await driver.stop();
		}
	});
});

it('docs/caller-guide.md lists every refusal reason with its status', () => {
	const rows = [...read('caller-guide.md').matchAll(/^\| `(?<reason>[a-z\-]+)` \| (?<status>\d{3}) \|/gmv)].map(match => [match.groups!.reason, Number(match.groups!.status)]);
	expect(Object.fromEntries(rows)).toEqual(Object.fromEntries(Object.entries(refusalRules).map(([reason, rule]) => [reason, rule.status])));
});

it('docs/operators/settings.md lists every setting', () => {
	const page = read('operators/settings.md');
	for (const name of Object.keys(nodeSettingsSchema.shape)) {
		expect(page).toContain(`| \`${name}`);
	}
});

it('docs/operators/README.md links every operators page of the test', () => {
	const index = read('operators/README.md');
	for (const page of pages.filter(name => name.startsWith('operators/'))) {
		expect(index).toContain(`(${page.replace('operators/', '')})`);
	}
});
