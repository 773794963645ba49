/**
 * Exchanges records with peers through announce, fetch and record frames.
 */
import type {Metrics} from '@hemlockthread/telemetry';
import type {
	AnnounceFrame, FetchFrame, Frame, PeerConnection, RecordFrame, Revisions,
} from '@hemlockthread/wire';
import type {DistributionOptions} from './distribution-options.js';
import {patchText} from './record-patch.js';
import {digestOf, type RecordStore} from './record-store.js';

/** The part of a connection that the exchange uses. @public */
export type RecordPeer = Pick<PeerConnection, 'send' | 'isControlConnection' | 'bufferedBytes'>;

type PeerRecords = {
	revisions: Map<string, number>;
	/** Records, by key and revision, that this peer failed to deliver as a full value with a matching digest. */
	corrupt: Set<string>;
};

type Fetch = {peer: RecordPeer; haveRevision: number; timer: NodeJS.Timeout};

type FrameHandlers = {[Type in Frame['type']]?: (frame: Extract<Frame, {type: Type}>, peer: RecordPeer) => void};

/**
 * Tracks which peer has which revision, fetches newer records and serves fetches. One record per key is fetched at a
 * time. A peer that does not deliver is not asked again until its next heartbeat or announcement.
 *
 * @internal
 */
export class RecordExchange {
	private readonly peers = new Map<RecordPeer, PeerRecords>();
	private readonly fetches = new Map<string, Fetch>();

	private readonly frameHandlers: FrameHandlers = {
		hello: (frame, peer) => {
			this.recordRevisions(frame.revisions, peer);
		},
		heartbeat: (frame, peer) => {
			this.recordRevisions(frame.revisions, peer);
		},
		announce: (frame, peer) => {
			this.receiveAnnounce(frame, peer);
		},
		fetch: (frame, peer) => {
			this.serveFetch(frame, peer);
		},
		record: (frame, peer) => {
			this.receiveRecord(frame, peer);
		},
	};

	constructor(
		private readonly store: RecordStore,
		private readonly metrics: Metrics,
		private readonly options: DistributionOptions,
	) {}

	/** True while no fetch is in progress. */
	get idle(): boolean {
		return this.fetches.size === 0;
	}

	receive(frame: Frame, peer: RecordPeer): void {
		const handler = this.frameHandlers[frame.type] as ((frame: Frame, peer: RecordPeer) => void) | undefined;
		handler?.(frame, peer);
	}

	removePeer(peer: RecordPeer): void {
		this.peers.delete(peer);
		for (const [key, fetch] of this.fetches) {
			if (fetch.peer === peer) {
				this.endFetch(key);
				this.fetchNewest(key);
			}
		}
	}

	/** Announces the stored record to control peers that don't have it yet. */
	announce(key: string): void {
		const record = this.store.get(key);
		if (record === undefined) {
			return;
		}

		for (const [peer, {revisions}] of this.peers) {
			if (peer.isControlConnection && (revisions.get(key) ?? 0) < record.revision) {
				peer.send({
					type: 'announce', key, revision: record.revision, digest: record.digest,
				});
			}
		}
	}

	close(): void {
		for (const key of this.fetches.keys()) {
			this.endFetch(key);
		}
	}

	private recordRevisions(revisions: Revisions, peer: RecordPeer): void {
		for (const key of this.options.keys) {
			const revision = revisions[key];
			if (Number.isSafeInteger(revision)) {
				this.recordRevision(key, revision!, peer);
			}
		}
	}

	private recordRevision(key: string, revision: number, peer: RecordPeer): void {
		const known = this.recordsOf(peer).revisions;
		if (revision >= (known.get(key) ?? 0)) {
			known.set(key, revision);
		} else {
			this.metrics.count('records.older');
		}

		if (revision > (this.store.get(key)?.revision ?? 0)) {
			this.fetchNewest(key);
		}
	}

	private receiveAnnounce(frame: AnnounceFrame, peer: RecordPeer): void {
		if (!this.options.keys.includes(frame.key)) {
			this.metrics.count('records.key.unknown');
			return;
		}

		const current = this.store.get(frame.key);
		if (current?.revision === frame.revision && current.digest !== frame.digest) {
			this.metrics.count('records.conflict');
		}

		this.recordRevision(frame.key, frame.revision, peer);
	}

	/** Fetches the newest record that a peer has, unless a fetch of the key is in progress or no record is newer. */
	private fetchNewest(key: string): void {
		if (this.fetches.has(key)) {
			return;
		}

		let best: {peer: RecordPeer; revision: number} | undefined;
		for (const [peer, {revisions, corrupt}] of this.peers) {
			const revision = revisions.get(key) ?? 0;
			const wanted = revision > (this.store.get(key)?.revision ?? 0) && !this.store.isRefused(key, revision) && !corrupt.has(`${key}\n${revision}`);
			if (wanted && (best === undefined || revision > best.revision)) {
				best = {peer, revision};
			}
		}

		if (best !== undefined) {
			this.fetch(key, best.peer, this.store.get(key)?.revision ?? 0);
		}
	}

	private fetch(key: string, peer: RecordPeer, haveRevision: number): void {
		const timer = setTimeout(() => {
			this.metrics.count('records.fetch.timeout');
			this.peers.get(peer)?.revisions.delete(key);
			this.endFetch(key);
			this.fetchNewest(key);
		}, this.options.fetchTimeoutMilliseconds);
		timer.unref();
		this.fetches.set(key, {peer, haveRevision, timer});
		this.metrics.count('records.fetch');
		peer.send({type: 'fetch', key, haveRevision});
	}

	private endFetch(key: string): void {
		clearTimeout(this.fetches.get(key)?.timer);
		this.fetches.delete(key);
	}

	private serveFetch(frame: FetchFrame, peer: RecordPeer): void {
		const record = this.store.get(frame.key);
		if (record === undefined || record.revision <= frame.haveRevision) {
			return;
		}

		if (peer.bufferedBytes > this.options.maximumBufferedBytes) {
			this.metrics.count('records.serve.refused');
			return;
		}

		const {key, revision, digest, value} = record;
		const patch = this.store.patchFrom(key, frame.haveRevision);
		this.metrics.count(patch === undefined ? 'records.served.whole' : 'records.served.patch');
		peer.send(patch === undefined
			? {
				type: 'record', key, revision, digest, value,
			}
			: {
				type: 'record', key, revision, digest, patch, baseRevision: frame.haveRevision,
			});
	}

	private receiveRecord(frame: RecordFrame, peer: RecordPeer): void {
		const {key, revision} = frame;
		if (!this.options.keys.includes(key)) {
			this.metrics.count('records.key.unknown');
			return;
		}

		const fetch = this.fetches.get(key);
		const requested = fetch?.peer === peer ? fetch : undefined;
		if (requested !== undefined) {
			this.endFetch(key);
		}

		// The delivered revision replaces the announced one. Otherwise the peer would be asked for the same record in a tight loop.
		const {revisions} = this.recordsOf(peer);
		revisions.set(key, revision);
		const current = this.store.get(key);
		if (current !== undefined && revision <= current.revision) {
			this.metrics.count('records.older');
		} else if (frame.value === undefined) {
			this.receivePatch(frame, peer, requested);
		} else if (digestOf(frame.value) === frame.digest) {
			this.accept(key, revision, frame.value, null);
		} else {
			this.metrics.count('records.digest.wrong');
			this.recordsOf(peer).corrupt.add(`${key}\n${revision}`);
		}

		this.fetchNewest(key);
	}

	private receivePatch(frame: RecordFrame, peer: RecordPeer, requested: Fetch | undefined): void {
		const {key, revision, patch, baseRevision} = frame;
		const current = this.store.get(key);
		const value = patch === undefined || current === undefined || current.revision !== baseRevision ? undefined : tryPatch(current.value, patch);
		if (value !== undefined && digestOf(value) === frame.digest) {
			this.accept(key, revision, value, {baseRevision: baseRevision!, patch: patch!});
			return;
		}

		this.metrics.count('records.patch.unusable');
		if (requested?.haveRevision === 0) {
			this.recordsOf(peer).corrupt.add(`${key}\n${revision}`);
		} else if (requested?.haveRevision === (current?.revision ?? 0)) {
			this.fetch(key, peer, 0);
		}
	}

	private accept(key: string, revision: number, value: string, step: {baseRevision: number; patch: string} | null): void {
		this.metrics.count(this.store.accept(key, revision, value, step) ? 'records.accepted' : 'records.refused');
	}

	private recordsOf(peer: RecordPeer): PeerRecords {
		let records = this.peers.get(peer);
		if (records === undefined) {
			records = {revisions: new Map(), corrupt: new Set()};
			this.peers.set(peer, records);
		}

		return records;
	}
}

function tryPatch(base: string, patch: string): string | undefined {
	try {
		return patchText(base, patch);
	} catch {
		return undefined;
	}
}
