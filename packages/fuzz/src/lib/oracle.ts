/**
 * The oracle. It knows what callers sent and were told, and what targets received and ran; nothing of the nodes' state.
 */
import type {VerdictName} from '@hemlockthread/verdict';

/** @public */
export const Breach = {
	ranTwice: 'irreversible operation ran twice',
	falseDidNotRun: 'did-not-run was told and a run was or is caused by what was sent before',
	tooManyAttempts: 'attempts beyond the first exceed the retry total',
	wrongAnswer: 'answer is not the whole answer of the operation',
} as const;

/** @public */
export type BreachName = (typeof Breach)[keyof typeof Breach];

/** A broken promise, with what led to it. @public */
export class BreachError extends Error {
	constructor(readonly breach: BreachName, detail: string) {
		super(`${breach}: ${detail}`);
	}
}

/** The operation id and generation of the identity that an attempt carried, as its caller knows them. @public */
export type KnownIdentity = {operation: string; generation: number};

/** One call as a caller or a target sent it. @public */
export type Attempt = {
	readonly identifier: string;
	/** Names the operation: the caller's intent, then the legs below it. */
	readonly path: string;
	/** Names the leg in the whole operation, whichever run of its parent made it. */
	readonly leg: string;
	readonly irreversible: boolean;
	readonly sentAt: number;
	readonly identity?: KnownIdentity;
	/** The run at a target that made this call; undefined for a caller. */
	readonly parent?: Run;
	/** False for a downstream call without context, which the node can't tie to its parent. */
	readonly tied: boolean;
	/** Retry total of the kind, for an attempt of a caller. */
	readonly retries: number;
};

/** One arrival at a target. @public */
export type Run = {readonly identifier: string; readonly attempt: Attempt};

type Told = {verdict: VerdictName; body: string; nextGeneration?: number};

type Operation = {attempts: Attempt[]; closedBelow: number; effects: Run[]; answers: Set<string>};

type Account = {retries: number; arrivals: Map<string, number>; extra: number};

/**
 * Checks the promises after each event. Breaches are collected, since they happen inside of simulated processes.
 *
 * @public
 */
export class Oracle {
	readonly breaches: BreachError[] = [];
	readonly attempts = new Map<string, Attempt>();
	/** Arrivals at targets. */
	arrivals = 0;
	private readonly operations = new Map<string, Operation>();
	private readonly accounts = new Map<string, Account>();
	/** Legs told as not run: attempts of the key sent before the time are closed. */
	private readonly closedLegs = new Map<string, number>();
	private readonly closedAttempts = new Set<Attempt>();
	/** Irreversible runs below an attempt, and the attempt's own. */
	private readonly effectsOf = new Map<Attempt, number>();
	private nextRun = 0;

	sent(attempt: Attempt): void {
		this.attempts.set(attempt.identifier, attempt);
		this.operation(attempt.path).attempts.push(attempt);
		if (attempt.identity !== undefined) {
			this.operation(identityKeyOf(attempt.identity)).attempts.push(attempt);
		}
	}

	/** A target received an attempt; it may still refuse it. */
	arrived(identifier: string): Run {
		const attempt = this.attempts.get(identifier)!;
		this.arrivals += 1;
		this.charge(attempt);
		return {identifier: `r${this.nextRun++}`, attempt};
	}

	/** A target did the work of a run. */
	ran(run: Run): void {
		const {attempt} = run;
		for (const key of [attempt.path, ...(attempt.identity === undefined ? [] : [identityKeyOf(attempt.identity)])]) {
			const {effects} = this.operation(key);
			effects.push(run);
			if (attempt.irreversible && effects.length > 1) {
				this.report(Breach.ranTwice, `${key} by ${effects.map(effect => effect.attempt.identifier).join(' and ')}`);
			}
		}

		for (let cause: Attempt | undefined = attempt; cause !== undefined; cause = cause.parent?.attempt) {
			if (cause !== attempt && !attempt.irreversible) {
				continue;
			}

			this.effectsOf.set(cause, (this.effectsOf.get(cause) ?? 0) + 1);
			if (this.isClosed(cause)) {
				this.report(Breach.falseDidNotRun, `${attempt.path} runs by ${attempt.identifier} after ${cause.identifier} was closed`);
			}
		}
	}

	/** A target gave its whole answer. */
	answered(run: Run, body: string): void {
		this.operation(run.attempt.path).answers.add(body);
	}

	/** The sender of an attempt got an answer. */
	told(attempt: Attempt, told: Told, now: number): void {
		if (told.verdict === 'ran' && !this.operation(attempt.path).answers.has(told.body)) {
			this.report(Breach.wrongAnswer, `${attempt.identifier} of ${attempt.path} got "${told.body}"`);
		}

		if (told.verdict === 'did-not-run') {
			this.close(attempt, told, now);
			const key = attempt.identity === undefined ? attempt.path : identityKeyOf(attempt.identity);
			for (const covered of this.operation(key).attempts) {
				if (this.isClosed(covered) && (this.effectsOf.get(covered) ?? 0) > 0) {
					this.report(Breach.falseDidNotRun, `${attempt.identifier} is told that ${attempt.path} did not run, which ${covered.identifier} did`);
				}
			}
		}
	}

	private close(attempt: Attempt, told: Told, now: number): void {
		if (attempt.identity === undefined) {
			this.closedAttempts.add(attempt);
			if (attempt.parent !== undefined) {
				this.closedLegs.set(legKeyOf(attempt), now);
			}

			return;
		}

		// The statement is about what was sent with older generations than the one that the answer carries, and about the
		// attempt that it answers.
		const operation = this.operation(identityKeyOf(attempt.identity));
		operation.closedBelow = Math.max(operation.closedBelow, told.nextGeneration ?? Number.POSITIVE_INFINITY, attempt.identity.generation + 1);
	}

	private isClosed(attempt: Attempt): boolean {
		if (attempt.identity !== undefined) {
			return attempt.identity.generation < this.operation(identityKeyOf(attempt.identity)).closedBelow;
		}

		return this.closedAttempts.has(attempt) || attempt.sentAt < (this.closedLegs.get(legKeyOf(attempt)) ?? Number.NEGATIVE_INFINITY);
	}

	/** The first arrival of a leg is free; each further one, also under another run of its parent, is a retry of the root operation. */
	private charge(attempt: Attempt): void {
		let root = attempt;
		while (root.parent !== undefined) {
			root = root.parent.attempt;
		}

		const key = root.identity?.operation ?? root.identifier;
		let account = this.accounts.get(key);
		if (account === undefined) {
			account = {retries: root.retries, arrivals: new Map(), extra: 0};
			this.accounts.set(key, account);
		}

		const leg = attempt.parent === undefined ? 'root' : (attempt.tied ? attempt.leg : attempt.identifier);
		const earlier = account.arrivals.get(leg) ?? 0;
		account.arrivals.set(leg, earlier + 1);
		if (earlier > 0) {
			account.extra += 1;
			if (account.extra > account.retries) {
				this.report(Breach.tooManyAttempts, `${key} made ${account.extra} of ${account.retries} at ${attempt.path}`);
			}
		}
	}

	private operation(path: string): Operation {
		let operation = this.operations.get(path);
		if (operation === undefined) {
			operation = {
				attempts: [], closedBelow: Number.NEGATIVE_INFINITY, effects: [], answers: new Set(),
			};
			this.operations.set(path, operation);
		}

		return operation;
	}

	private report(breach: BreachName, detail: string): void {
		this.breaches.push(new BreachError(breach, detail));
	}
}

/** Equal for calls that are the same leg of the same run. */
function legKeyOf(attempt: Attempt): string {
	return attempt.parent === undefined || !attempt.tied ? attempt.identifier : `${attempt.parent.identifier} ${attempt.path}`;
}

function identityKeyOf(identity: KnownIdentity): string {
	return `identity ${identity.operation}`;
}
