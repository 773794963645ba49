/**
 * Schema, parsing and validation of a node's settings file.
 */
import {readFileSync} from 'node:fs';
import {isIP, isIPv6} from 'node:net';
import {
	checkDocument, createIssue, formatFaults, type DocumentCheck,
} from '@hemlockthread/documents';
import {SettingsError} from '@hemlockthread/verdict';
import {z} from 'zod';

/**
 * Thrown when a settings file can't be read.
 *
 * @public
 */
export const SettingsFileError = SettingsError.subclass('SettingsFileError');

const maximumSettingsBytes = 100_000;

const host = z.union([z.ipv4(), z.ipv6()], 'an IP number');
const port = z.int().min(1).max(65_535);
const addressSchema = z.strictObject({host, port});

const name = (description: string) => z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9_.\-]{0,127}$/v, 'a name of 1 to 128 letters, digits, "_", "." and "-"')
	.meta({description});

const httpUrl = (description: string) => z.string().refine(isHttpUrl, {error: 'an http URL whose host is an IP number', abort: true})
	.meta({description, format: 'uri'});

const listener = (description: string) => addressSchema.meta({description});

const fieldsSchema = z.strictObject({
	instance: name('Name of this instance, as in the fleet list.'),
	service: name('Service that the target beside this node belongs to.'),
	failureDomain: name('Failure domain of this instance.'),
	region: name('Region of this instance.'),
	listen: z.strictObject({
		callers: listener('HTTP for callers.'),
		target: listener('HTTP for the own target only; a loopback address.'),
		peers: listener('WebSocket for other nodes; the address in the fleet list, so not a wildcard.'),
		operators: listener('HTTP for operators: state dump, readiness and explanations.'),
	}),
	targetUrl: httpUrl('Base URL of the target beside this node.'),
	targetSlots: z.int().min(1).max(100_000).meta({description: 'Requests that the target works on at once.'}),
	platformUrl: httpUrl('Base URL of the configuration service.'),
	bootstrapPeers: z.array(addressSchema).max(64).default([])
		.meta({description: 'Peer listeners of other nodes, asked at start until a fleet list is known.'}),
	startSpreadMilliseconds: z.int().min(0).max(60_000).default(2000)
		.meta({description: 'Longest random wait of a starting node before it reads the configuration service itself. Milliseconds.'}),
	identityKeys: z.array(z.strictObject({
		id: name('Key id, sent in identities.'),
		secret: z.string().min(32).max(1024).meta({description: 'Shared secret, the same at every node for the same id.'}),
	})).min(1).max(16).meta({description: 'Keys of operation identities; the first one signs, all verify.'}),
	statsd: addressSchema.optional().meta({description: 'UDP address of the StatsD receiver; without it no metrics are sent.'}),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info').meta({description: 'Least severe log lines written.'}),
	shutdownGraceMilliseconds: z.int().min(0).max(600_000).default(30_000)
		.meta({description: 'Time for which calls in progress may go on after SIGTERM. Milliseconds.'}),
	controls: z.enum(['on', 'off']).default('on')
		.meta({description: 'Switches admission, levels and retry limits off, as the baseline in measurements.'}),
});

type Fields = z.output<typeof fieldsSchema>;
type IssueContext = {addIssue(issue: ReturnType<typeof createIssue>): void};
type UsedAddress = {path: Array<string | number>; host: string; port: number};

const wildcards = new Set(['0.0.0.0', '::']);

/** @public */
export const nodeSettingsSchema = fieldsSchema.superRefine((settings, context) => {
	checkListeners(settings, context);
	checkAddressConflicts(settings, context);
	checkKeyIds(settings, context);
}).meta({title: 'hemlockthread node settings'});

/** @public */
export type NodeSettings = Fields;

/** @public */
export type ListenAddress = z.infer<typeof addressSchema>;

/**
 * Validates settings and returns every fault. Unknown keys are faults.
 *
 * @public
 */
export function checkSettings(text: string): DocumentCheck<NodeSettings> {
	return checkDocument(text, {maximumBytes: maximumSettingsBytes, schema: nodeSettingsSchema});
}

/**
 * Parses settings.
 *
 * @throws SettingsError with each fault and its path.
 * @public
 */
export function parseSettings(text: string): NodeSettings {
	const check = checkSettings(text);
	if (!check.valid) {
		throw new SettingsError(`settings are invalid\n${formatFaults(check.faults)}`);
	}

	return check.value;
}

/**
 * Reads settings from a file.
 *
 * @throws SettingsFileError when the file can't be read, SettingsError when its content is invalid.
 * @public
 */
export function loadSettings(path: string): NodeSettings {
	let text: string;
	try {
		text = readFileSync(path, 'utf8');
	} catch (error) {
		throw new SettingsFileError(`settings file ${path} can't be read: ${(error as Error).message}`);
	}

	return parseSettings(text);
}

function isHttpUrl(text: string): boolean {
	const url = URL.parse(text);
	return url?.protocol === 'http:' && isIP(hostOf(url)) !== 0;
}

function hostOf(url: URL): string {
	return url.hostname.replaceAll(/[\[\]]/gv, '');
}

function checkListeners({listen}: Fields, context: IssueContext): void {
	if (wildcards.has(listen.peers.host)) {
		context.addIssue(createIssue(['listen', 'peers', 'host'], 'the address at which peers reach this node', `the wildcard ${listen.peers.host}`));
	}

	if (!listen.target.host.startsWith('127.') && listen.target.host !== '::1') {
		context.addIssue(createIssue(['listen', 'target', 'host'], 'a loopback address', listen.target.host));
	}
}

/** Rejects addresses that are used twice, by two listeners or by a listener and a URL that this node calls. */
function checkAddressConflicts(settings: Fields, context: IssueContext): void {
	const addresses: UsedAddress[] = Object.entries(settings.listen).map(([key, address]) => ({path: ['listen', key], ...address}));
	addresses.push({path: ['targetUrl'], ...addressOf(settings.targetUrl)}, {path: ['platformUrl'], ...addressOf(settings.platformUrl)});
	for (const [index, address] of addresses.entries()) {
		const earlier = addresses.slice(0, index).find(other => isConflict(other, address));
		if (earlier !== undefined) {
			context.addIssue(createIssue(address.path, `an address other than that of /${earlier.path.join('/')}`, `${address.host} port ${address.port}`));
		}
	}
}

function isConflict(first: UsedAddress, second: UsedAddress): boolean {
	return first.port === second.port && (first.host === second.host || coversAddress(first.host, second.host) || coversAddress(second.host, first.host));
}

/** The IPv6 wildcard also accepts IPv4 connections. */
function coversAddress(wildcard: string, address: string): boolean {
	return wildcard === '::' || (wildcard === '0.0.0.0' && !isIPv6(address));
}

function addressOf(url: string): {host: string; port: number} {
	const parsed = new URL(url);
	return {host: hostOf(parsed), port: parsed.port === '' ? 80 : Number(parsed.port)};
}

function checkKeyIds({identityKeys}: Fields, context: IssueContext): void {
	for (const [index, key] of identityKeys.entries()) {
		if (identityKeys.findIndex(other => other.id === key.id) < index) {
			context.addIssue(createIssue(['identityKeys', index, 'id'], 'each key id once', `"${key.id}" again`));
		}
	}
}
