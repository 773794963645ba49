/**
 * Exchanges records between nodes. A node that has read from the configuration service tells its neighbours up to which revision its
 * records are complete and since when; neighbours that lack changes fetch them, and pass the news on. The message without changes
 * also confirms that nothing changed, so a node can tell up-to-date records from those of a node that is cut off. A node passes on
 * only news that improves its own state, so each message crosses a connection of the overlay at most once in each direction.
 */
import type {Clock} from './clock.js';
import {isCompleteTo, type FleetRecords} from './fleet-records.js';
import type {CompleteTo, RecordChanges} from './fleet-model.js';

/** @public */
export const recordSpreadOptions = {
	/** Improvement of the confirmation's age that is passed on without changes of the records. */
	minimumImprovementMilliseconds: 400,
	/** Time after which changes are requested from another neighbour. */
	requestTimeoutMilliseconds: 300,
} as const;

/** State of the records of a node, as told to its neighbours. Ages are in milliseconds. @public */
export type RecordProgress = {
	completeTo: CompleteTo;
	/** Time since the records were known to be complete; undefined if never. */
	confirmedAge: number | undefined;
	/** Time since the latest known call of a node to the configuration service; undefined if none is known. */
	attemptAge: number | undefined;
};

/** A neighbour to exchange records with. @public */
export type RecordNeighbour = {
	requestChanges(after: CompleteTo): void;
	sendProgress(progress: RecordProgress): void;
};

/** @public */
export type RecordSpreadOptions = {
	records: FleetRecords;
	clock: Clock;
	/** The open neighbours. */
	neighbours(): Iterable<RecordNeighbour>;
};

/**
 * Tracks whether the records of this node are up to date, and spreads them.
 *
 * @public
 */
export class RecordSpread {
	private confirmedTime: number | undefined;
	/** Latest calls to the configuration service, of this node and of others. */
	private ownAttemptTime = Number.NEGATIVE_INFINITY;
	private peerAttemptTime = Number.NEGATIVE_INFINITY;
	private requestedAt = Number.NEGATIVE_INFINITY;
	private toldConfirmedTime = Number.NEGATIVE_INFINITY;
	private toldAttemptTime = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: RecordSpreadOptions) {}

	/** Monotonic time at which the records were known to be complete; undefined if never. */
	get confirmedAt(): number | undefined {
		return this.confirmedTime;
	}

	get peerAttemptAt(): number {
		return this.peerAttemptTime;
	}

	get ownAttemptAt(): number {
		return this.ownAttemptTime;
	}

	progress(): RecordProgress {
		const now = this.options.clock.now();
		const attemptAt = Math.max(this.ownAttemptTime, this.peerAttemptTime);
		return {
			completeTo: this.options.records.completeTo,
			confirmedAge: this.confirmedTime === undefined ? undefined : now - this.confirmedTime,
			attemptAge: Number.isFinite(attemptAt) ? now - attemptAt : undefined,
		};
	}

	/** Records that the configuration service responded to this node, after its records were updated. */
	recordOwnResponse(hasChanges: boolean): void {
		const now = this.options.clock.now();
		this.ownAttemptTime = now;
		this.confirmedTime = now;
		this.tell(undefined, hasChanges);
	}

	recordOwnFailure(): void {
		this.ownAttemptTime = this.options.clock.now();
		this.tell(undefined, false);
	}

	/** Processes the progress of a neighbour; `messageAge` is an upper bound of the time since it was sent. */
	receiveProgress(source: RecordNeighbour, {completeTo, confirmedAge, attemptAge}: RecordProgress, messageAge: number): void {
		const {records, clock} = this.options;
		const now = clock.now();
		if (attemptAge !== undefined) {
			this.peerAttemptTime = Math.max(this.peerAttemptTime, now - messageAge - attemptAge);
		}

		if (!isCompleteTo(records.completeTo, completeTo)) {
			this.requestChanges(source);
		} else if (confirmedAge !== undefined) {
			const confirmedAt = now - messageAge - confirmedAge;
			if (confirmedAt > (this.confirmedTime ?? Number.NEGATIVE_INFINITY)) {
				this.confirmedTime = confirmedAt;
				records.configurationService.recordResponseAt(confirmedAt);
			}
		}

		if (this.peerAttemptTime > (this.confirmedTime ?? Number.POSITIVE_INFINITY)) {
			records.configurationService.recordFailure(this.confirmedTime!);
		}

		this.tell(source, false);
	}

	/** Applies changes that a neighbour sent on request, and passes the news on. */
	receiveChanges(source: RecordNeighbour, changes: RecordChanges): void {
		this.requestedAt = Number.NEGATIVE_INFINITY;
		const {records} = this.options;
		const before = records.completeTo;
		records.applyChanges(changes);
		this.tell(source, !isCompleteTo(before, records.completeTo));
	}

	/** Requests the changes that this node lacks, unless it has just requested them from another neighbour. */
	requestChanges(source: RecordNeighbour): void {
		const now = this.options.clock.now();
		if (now - this.requestedAt >= recordSpreadOptions.requestTimeoutMilliseconds) {
			this.requestedAt = now;
			source.requestChanges(this.options.records.completeTo);
		}
	}

	/** Tells all neighbours but the source of the news about the progress, if there are changes or its age has improved enough. */
	private tell(source: RecordNeighbour | undefined, hasChanges: boolean): void {
		const {minimumImprovementMilliseconds} = recordSpreadOptions;
		const confirmedAt = this.confirmedTime ?? Number.NEGATIVE_INFINITY;
		const attemptAt = Math.max(this.ownAttemptTime, this.peerAttemptTime);
		const isConfirmationNews = confirmedAt - this.toldConfirmedTime >= minimumImprovementMilliseconds;
		// A successful call is told as a confirmation.
		const isAttemptNews = attemptAt > confirmedAt && attemptAt - this.toldAttemptTime >= minimumImprovementMilliseconds;
		if (!hasChanges && !isConfirmationNews && !isAttemptNews) {
			return;
		}

		this.toldConfirmedTime = confirmedAt;
		this.toldAttemptTime = attemptAt;
		const progress = this.progress();
		for (const neighbour of this.options.neighbours()) {
			if (neighbour !== source) {
				neighbour.sendProgress(progress);
			}
		}
	}
}
