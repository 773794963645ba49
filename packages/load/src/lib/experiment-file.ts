/**
 * The schema of an experiment file.
 */
import {readFileSync} from 'node:fs';
import {parsePolicyRecord} from '@hemlockthread/policy';
import {z} from 'zod';

/** Longest run of one experiment in seconds, start and end not counted. */
const maximumDurationSeconds = 600;

const kindPlanSchema = z.strictObject({
	/** Time for which a target works on one request itself, without its downstream calls. */
	workMilliseconds: z.number().min(0).max(60_000),
	/** Downstream calls, made one after the other while the slot is held. */
	legs: z.array(z.strictObject({service: z.string(), kind: z.string()})).default([]),
});

const serviceSchema = z.strictObject({
	/** Target instances in each failure domain. */
	instancesPerDomain: z.int().min(1).max(20),
	/** Requests that one target works on at once. */
	slots: z.int().min(1).max(1000),
	kinds: z.record(z.string(), kindPlanSchema),
});

const retriesSchema = z.strictObject({
	/** `hard` repeats at once after every failure; `retry-after` repeats transient refusals after the time they name. */
	mode: z.enum(['none', 'hard', 'retry-after']),
	/** Requests sent for one operation, the first included. */
	attempts: z.int().min(1).max(20).default(4),
});

const trafficSchema = z.strictObject({
	service: z.string(),
	kind: z.string(),
	/** Operations that callers begin per second. */
	rate: z.number().positive().max(20_000),
	retries: retriesSchema,
	/** Time after which a caller closes its connection. */
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
	/** Seconds before measuring starts, in which connections open and limits settle. */
	warmUpSeconds: z.number().min(0).default(5),
	seconds: z.number().positive().max(maximumDurationSeconds),
	arrivals: z.enum(['poisson', 'constant']).default('poisson'),
	failureDomains: z.array(z.string()).min(1).max(8),
	services: z.record(z.string(), serviceSchema),
	traffic: z.array(trafficSchema).min(1),
	faults: z.array(faultSchema).default([]),
	/** Time given to requests in progress after the last arrival. */
	settleSeconds: z.number().min(0).max(60).default(4),
	/** Settings that differ from the tool's, for all nodes. */
	nodeSettings: z.record(z.string(), z.unknown()).default({}),
	/** The published policy, checked by the product's own parser. */
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

/** A fault of an experiment file. @public */
export class ExperimentFileError extends Error {
	override name = 'ExperimentFileError';
}

/**
 * Checks an experiment: its shape, its policy and that every kind, service and instance that it names exists.
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
			throw new ExperimentFileError(`kind ${kind} of service ${service} is not in both the services and the policy`);
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
			throw new ExperimentFileError(`a fault names the unknown instance ${fault.instance}`);
		}

		if ('service' in fault && experiment.services[fault.service] === undefined) {
			throw new ExperimentFileError(`a fault names the unknown service ${fault.service}`);
		}
	}

	return experiment;
}

/** @public */
export function loadExperiment(path: string): Experiment {
	return parseExperiment(readFileSync(path, 'utf8'));
}

/** Instances of an experiment: `{service}-{domain}-{number}`. @public */
export function instanceNames(experiment: Experiment): Array<{name: string; service: string; failureDomain: string}> {
	return Object.entries(experiment.services).flatMap(([service, plan]) =>
		experiment.failureDomains.flatMap(failureDomain =>
			Array.from({length: plan.instancesPerDomain}, (_, index) =>
				({name: `${service}-${failureDomain}-${index + 1}`, service, failureDomain}))));
}

/** Worth of a kind in the experiment's policy. @public */
export function worthOf(experiment: Experiment, kind: string): number {
	return parsePolicyRecord(JSON.stringify(experiment.policy)).kind(kind)?.worth ?? 0;
}

/** Names of irreversible kinds. @public */
export function irreversibleKinds(experiment: Experiment): Set<string> {
	return new Set(parsePolicyRecord(JSON.stringify(experiment.policy)).content.kinds
		.filter(kind => kind.irreversible).map(kind => kind.name));
}
