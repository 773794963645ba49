/**
 * Parses experiment files and checks them against their schema and their policy, so that a run never starts with a
 * name that does not exist.
 */
import {readFileSync} from 'node:fs';
import {parsePolicyRecord} from '@hemlockthread/policy';
import {z} from 'zod';

/** Excludes the time to start the fleet, to settle and to stop. */
const maximumDurationSeconds = 600;

const kindPlanSchema = z.strictObject({
	/** Local work of the target for one request, excluding downstream calls. */
	workMilliseconds: z.number().min(0).max(60_000),
	/** Downstream calls, made sequentially while the request holds its slot. */
	legs: z.array(z.strictObject({service: z.string(), kind: z.string()})).default([]),
});

const serviceSchema = z.strictObject({
	/** Number of target instances in each failure domain. */
	instancesPerDomain: z.int().min(1).max(20),
	/** Maximum number of concurrent requests per target. */
	slots: z.int().min(1).max(1000),
	kinds: z.record(z.string(), kindPlanSchema),
});

const retriesSchema = z.strictObject({
	/** `hard` retries immediately after every failure; `retry-after` retries only transient refusals, after their Retry-After. */
	mode: z.enum(['none', 'hard', 'retry-after']),
	/** Maximum attempts per operation, including the first. */
	attempts: z.int().min(1).max(20).default(4),
});

const trafficSchema = z.strictObject({
	service: z.string(),
	kind: z.string(),
	/** Operations started per second. */
	rate: z.number().positive().max(20_000),
	retries: retriesSchema,
	/** Time after which a caller gives up and closes its connection. */
	callerTimeoutMilliseconds: z.int().min(1).max(60_000),
});

const faultStartSchema = z.number().min(0);
const faultSchema = z.discriminatedUnion('type', [
	z.strictObject({
		type: z.literal('slow'), at: faultStartSchema, seconds: z.number().positive(), service: z.string(), factor: z.number().positive(),
	}),
	z.strictObject({
		type: z.literal('surge'), at: faultStartSchema, seconds: z.number().positive(), factor: z.number().positive(), kinds: z.array(z.string()).optional(),
	}),
	z.strictObject({
		type: z.literal('kill'), at: faultStartSchema, instance: z.string(), restartAfterSeconds: z.number().positive().optional(),
	}),
	z.strictObject({
		type: z.literal('pause'), at: faultStartSchema, seconds: z.number().positive(), instance: z.string(),
	}),
	z.strictObject({
		type: z.literal('leave'), at: faultStartSchema, instance: z.string(), publishAfterSeconds: z.number().positive().optional(),
	}),
	z.strictObject({type: z.literal('platform-down'), at: faultStartSchema, seconds: z.number().positive()}),
]);

const experimentSchema = z.strictObject({
	name: z.string().regex(/^[\w\-]+$/v),
	description: z.string(),
	seed: z.int().default(1),
	/** Seconds before the measured window, in which connections open and concurrency limits converge. */
	warmUpSeconds: z.number().min(0).default(5),
	seconds: z.number().positive().max(maximumDurationSeconds),
	arrivals: z.enum(['poisson', 'constant']).default('poisson'),
	failureDomains: z.array(z.string()).min(1).max(8),
	services: z.record(z.string(), serviceSchema),
	traffic: z.array(trafficSchema).min(1),
	faults: z.array(faultSchema).default([]),
	/** Seconds to wait for pending requests after the last arrival. */
	settleSeconds: z.number().min(0).max(60).default(4),
	/** Overrides of the default node settings, applied to all nodes. */
	nodeSettings: z.record(z.string(), z.unknown()).default({}),
	/** The published policy, validated by the policy parser of the nodes. */
	policy: z.record(z.string(), z.unknown()),
});

/** @public */
export type Experiment = z.infer<typeof experimentSchema>;

/** @public */
export type Traffic = z.infer<typeof trafficSchema>;

/** @public */
export type Fault = z.infer<typeof faultSchema>;

/** @public */
export type ServicePlan = z.infer<typeof serviceSchema>;

/** Thrown when an experiment file is invalid. @public */
export class ExperimentFileError extends Error {
	override name = 'ExperimentFileError';
}

/**
 * Parses an experiment and validates its schema, its policy and all references to kinds, services and instances.
 *
 * @throws ExperimentFileError
 * @public
 */
export function parseExperiment(text: string): Experiment {
	const result = experimentSchema.safeParse(JSON.parse(text));
	if (!result.success) {
		throw new ExperimentFileError(z.prettifyError(result.error));
	}

	const experiment = result.data;
	const policy = parsePolicyRecord(JSON.stringify(experiment.policy));
	const instances = new Set(instanceNames(experiment).map(instance => instance.name));
	const requireKind = (service: string, kind: string) => {
		if (experiment.services[service]?.kinds[kind] === undefined || policy.kind(kind) === undefined) {
			throw new ExperimentFileError(`kind ${kind} of service ${service} must be defined in both the services and the policy`);
		}
	};

	for (const {service, kind} of experiment.traffic) {
		requireKind(service, kind);
	}

	for (const {kinds} of Object.values(experiment.services)) {
		for (const {service, kind} of Object.values(kinds).flatMap(plan => plan.legs)) {
			requireKind(service, kind);
		}
	}

	for (const fault of experiment.faults) {
		if ('instance' in fault && !instances.has(fault.instance)) {
			throw new ExperimentFileError(`a fault refers to the unknown instance ${fault.instance}`);
		}

		if ('service' in fault && experiment.services[fault.service] === undefined) {
			throw new ExperimentFileError(`a fault refers to the unknown service ${fault.service}`);
		}
	}

	return experiment;
}

/** @public */
export function loadExperiment(path: string): Experiment {
	return parseExperiment(readFileSync(path, 'utf8'));
}

/** Lists the instances of an experiment, named `{service}-{domain}-{number}`. @public */
export function instanceNames(experiment: Experiment): Array<{name: string; service: string; failureDomain: string}> {
	return Object.entries(experiment.services).flatMap(([service, plan]) =>
		experiment.failureDomains.flatMap(failureDomain =>
			Array.from({length: plan.instancesPerDomain}, (_, index) =>
				({name: `${service}-${failureDomain}-${index + 1}`, service, failureDomain}))));
}

/** Returns the worth of a kind in the experiment's policy. @public */
export function worthOf(experiment: Experiment, kind: string): number {
	return parsePolicyRecord(JSON.stringify(experiment.policy)).kind(kind)?.worth ?? 0;
}

/** @public */
export function irreversibleKinds(experiment: Experiment): Set<string> {
	return new Set(parsePolicyRecord(JSON.stringify(experiment.policy)).content.kinds
		.filter(kind => kind.irreversible).map(kind => kind.name));
}
