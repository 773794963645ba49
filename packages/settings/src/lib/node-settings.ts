/**
 * The schema of a node's settings.
 */
import {readFileSync} from 'node:fs';
import {SettingsError} from '@hemlockthread/verdict';
import {z} from 'zod';

const addressSchema = z.strictObject({
	/** IP number to listen on. */
	host: z.union([z.ipv4(), z.ipv6()]),
	port: z.int().min(1).max(65_535),
});

const nodeSettingsSchema = z.strictObject({
	instance: z.string().min(1),
	service: z.string().min(1),
	failureDomain: z.string().min(1),
	region: z.string().min(1),
	listen: z.strictObject({
		callers: addressSchema, target: addressSchema, peers: addressSchema, operators: addressSchema,
	}),
	/** Base URL of the target beside this node. */
	targetUrl: z.url(),
	/** Requests that the target works on at once. */
	targetSlots: z.int().min(1).max(100_000),
	/** Base URL of the configuration service. */
	platformUrl: z.url(),
	/** First reads of the configuration service are spread over this time; a small fleet can do with less. */
	startSpreadMilliseconds: z.int().min(0).max(60_000).default(2000),
	/** Peer listeners of other nodes, asked at start until a fleet list is known. */
	bootstrapPeers: z.array(addressSchema).max(64).default([]),
	identityKeys: z.array(z.strictObject({id: z.string().min(1), secret: z.string().min(32)})).min(1),
	statsd: z.strictObject({host: z.union([z.ipv4(), z.ipv6()]), port: z.int().min(1).max(65_535)}).optional(),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
	/** Time for which calls in progress may go on after SIGTERM. */
	shutdownGraceMilliseconds: z.int().min(0).max(600_000).default(30_000),
	/** Switches admission, levels and retry limits off, as the baseline in measurements. */
	controls: z.enum(['on', 'off']).default('on'),
});

/** @public */
export type NodeSettings = z.infer<typeof nodeSettingsSchema>;

/** @public */
export type ListenAddress = z.infer<typeof addressSchema>;

/**
 * Checks settings. Unknown keys are errors.
 *
 * @throws SettingsError listing each fault with its path.
 * @public
 */
export function parseSettings(text: string): NodeSettings {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		throw new SettingsError('settings are not JSON', {cause: error});
	}

	const result = nodeSettingsSchema.safeParse(value);
	if (!result.success) {
		throw new SettingsError(z.prettifyError(result.error));
	}

	return result.data;
}

/**
 * Reads settings from a file.
 *
 * @public
 */
export function loadSettings(path: string): NodeSettings {
	let text: string;
	try {
		text = readFileSync(path, 'utf8');
	} catch (error) {
		throw new SettingsError(`settings file ${path} can't be read`, {cause: error});
	}

	return parseSettings(text);
}
