/**
 * Test oracle that checks the guarantees from outside: it knows what callers sent and received and what targets received and
 * ran, and nothing of the state of nodes.
 */
import type {VerdictName} from '@hemlockthread/verdict';

/** @public */
export const Violation = {
	ranTwice: 'irreversible operation ran twice',
	falseDidNotRun: 'did-not-run was reported, but an attempt sent before ran or runs later',
	tooManyAttempts: 'attempts beyond the first exceed the retry total',
	wrongResponse: 'response is not the complete response of the operation',
} as const;

/** @public */
export type ViolationName = (typeof Violation)[keyof typeof Violation];

/** A violated guarantee with its cause. @public */
export class ViolationError extends Error {
	constructor(readonly violation: ViolationName, detail: string) {
		super(`${violation}: ${detail}`);
	}
}

/** Operation id and generation of an identity that a caller sent with an attempt. @public */
export type KnownIdentity = {operation: string; generation: number};

/** A call that a caller or a target sent. @public */
export type Attempt = {
	readonly identifier: string;
	/** Identifies the operation: the caller's operation, followed by the downstream calls that led to this one. */
	readonly path: string;
	/** Identifies the downstream call within the root operation, independent of the run of its parent. */
	readonly callPath: string;
	readonly irreversible: boolean;
	readonly sentAt: number;
	readonly identity?: KnownIdentity;
	/** The run at a target that made this call; undefined for a caller. */
	readonly parent?: Run;
	/** False for a downstream call without context, which the node can't attach to its parent. */
	readonly attached: boolean;
	/** Retry total of the kind, for an attempt of a caller. */
	readonly retries: number;
};

/** An attempt that arrived at a target. @public */
export type Run = {readonly identifier: string; readonly attempt: Attempt};

type ReceivedResponse = {verdict: VerdictName; body: string; nextGeneration?: number};

type Operation = {attempts: Attempt[]; closedBelowGeneration: number; runs: Run[]; completeResponses: Set<string>};

type RetryAccount = {retries: number; arrivals: Map<string, number>; extraAttempts: number};

/**
 * Checks the guarantees after each event. Violations are collected instead of thrown, because they are found inside simulated
 * processes.
 *
 * @public
 */
export class Oracle {
	readonly violations: ViolationError[] = [];
	readonly attempts = new Map<string, Attempt>();
	/** Number of attempts that arrived at targets. */
	arrivals = 0;
	private readonly operations = new Map<string, Operation>();
	private readonly accounts = new Map<string, RetryAccount>();
	/** Times of did-not-run responses to downstream calls; attempts of the same call sent before that time must not run. */
	private readonly closedCalls = new Map<string, number>();
	private readonly closedAttempts = new Set<Attempt>();
	/** Number of runs caused by an attempt: its run and the irreversible runs of its downstream calls. */
	private readonly runCounts = new Map<Attempt, number>();
	private nextRun = 0;

	recordSent(attempt: Attempt): void {
		this.attempts.set(attempt.identifier, attempt);
		this.operation(attempt.path).attempts.push(attempt);
		if (attempt.identity !== undefined) {
			this.operation(identityKeyOf(attempt.identity)).attempts.push(attempt);
		}
	}

	/** Records that a target received an attempt, which it may still refuse. */
	recordArrival(identifier: string): Run {
		const attempt = this.attempts.get(identifier)!;
		this.arrivals += 1;
		this.chargeRetries(attempt);
		return {identifier: `r${this.nextRun++}`, attempt};
	}

	/** Records that a target processed a run. */
	recordRun(run: Run): void {
		const {attempt} = run;
		for (const key of [attempt.path, ...(attempt.identity === undefined ? [] : [identityKeyOf(attempt.identity)])]) {
			const {runs} = this.operation(key);
			runs.push(run);
			if (attempt.irreversible && runs.length > 1) {
				this.report(Violation.ranTwice, `${key} by ${runs.map(otherRun => otherRun.attempt.identifier).join(' and ')}`);
			}
		}

		for (let ancestor: Attempt | undefined = attempt; ancestor !== undefined; ancestor = ancestor.parent?.attempt) {
			if (ancestor !== attempt && !attempt.irreversible) {
				continue;
			}

			this.runCounts.set(ancestor, (this.runCounts.get(ancestor) ?? 0) + 1);
			if (this.isClosed(ancestor)) {
				this.report(Violation.falseDidNotRun, `${attempt.path} runs by ${attempt.identifier} after ${ancestor.identifier} was closed`);
			}
		}
	}

	/** Records the complete response of a target. */
	recordCompleteResponse(run: Run, body: string): void {
		this.operation(run.attempt.path).completeResponses.add(body);
	}

	/** Records the response that the sender of an attempt received. */
	recordResponse(attempt: Attempt, response: ReceivedResponse, now: number): void {
		if (response.verdict === 'ran' && !this.operation(attempt.path).completeResponses.has(response.body)) {
			this.report(Violation.wrongResponse, `${attempt.identifier} of ${attempt.path} got "${response.body}"`);
		}

		if (response.verdict === 'did-not-run') {
			this.close(attempt, response, now);
			const key = attempt.identity === undefined ? attempt.path : identityKeyOf(attempt.identity);
			for (const covered of this.operation(key).attempts) {
				if (this.isClosed(covered) && (this.runCounts.get(covered) ?? 0) > 0) {
					this.report(Violation.falseDidNotRun, `${attempt.identifier} received did-not-run for ${attempt.path}, but ${covered.identifier} ran it`);
				}
			}
		}
	}

	private close(attempt: Attempt, response: ReceivedResponse, now: number): void {
		if (attempt.identity === undefined) {
			this.closedAttempts.add(attempt);
			if (attempt.parent !== undefined) {
				this.closedCalls.set(callKeyOf(attempt), now);
			}

			return;
		}

		// The verdict covers this attempt and all attempts with a generation older than the one in the response.
		const operation = this.operation(identityKeyOf(attempt.identity));
		operation.closedBelowGeneration = Math.max(operation.closedBelowGeneration, response.nextGeneration ?? Number.POSITIVE_INFINITY, attempt.identity.generation + 1);
	}

	private isClosed(attempt: Attempt): boolean {
		if (attempt.identity !== undefined) {
			return attempt.identity.generation < this.operation(identityKeyOf(attempt.identity)).closedBelowGeneration;
		}

		return this.closedAttempts.has(attempt) || attempt.sentAt < (this.closedCalls.get(callKeyOf(attempt)) ?? Number.NEGATIVE_INFINITY);
	}

	/** Counts each arrival of a call after the first as a retry of the root operation, even from another run of its parent. */
	private chargeRetries(attempt: Attempt): void {
		let root = attempt;
		while (root.parent !== undefined) {
			root = root.parent.attempt;
		}

		const key = root.identity?.operation ?? root.identifier;
		let account = this.accounts.get(key);
		if (account === undefined) {
			account = {retries: root.retries, arrivals: new Map(), extraAttempts: 0};
			this.accounts.set(key, account);
		}

		const countedCall = attempt.parent === undefined ? 'root' : (attempt.attached ? attempt.callPath : attempt.identifier);
		const earlier = account.arrivals.get(countedCall) ?? 0;
		account.arrivals.set(countedCall, earlier + 1);
		if (earlier > 0) {
			account.extraAttempts += 1;
			if (account.extraAttempts > account.retries) {
				this.report(Violation.tooManyAttempts, `${key} made ${account.extraAttempts} of ${account.retries} at ${attempt.path}`);
			}
		}
	}

	private operation(path: string): Operation {
		let operation = this.operations.get(path);
		if (operation === undefined) {
			operation = {
				attempts: [], closedBelowGeneration: Number.NEGATIVE_INFINITY, runs: [], completeResponses: new Set(),
			};
			this.operations.set(path, operation);
		}

		return operation;
	}

	private report(violation: ViolationName, detail: string): void {
		this.violations.push(new ViolationError(violation, detail));
	}
}

/** Returns equal keys for attempts of the same downstream call of the same run. */
function callKeyOf(attempt: Attempt): string {
	return attempt.parent === undefined || !attempt.attached ? attempt.identifier : `${attempt.parent.identifier} ${attempt.path}`;
}

function identityKeyOf(identity: KnownIdentity): string {
	return `identity ${identity.operation}`;
}
