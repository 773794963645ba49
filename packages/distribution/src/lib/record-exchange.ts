/**
 * Exchange of records with peers: announce, fetch, record.
 */
import type {Metrics} from '@hemlockthread/telemetry';
import type {
	AnnounceFrame, FetchFrame, Frame, PeerConnection, RecordFrame, Revisions,
} from '@hemlockthread/wire';
import type {DistributionOptions} from './distribution-options.js';
import {patchText} from './record-patch.js';
import {digestOf, type RecordStore} from './record-store.js';

/** What the exchange needs of a connection. @public */
export type RecordPeer = Pick<PeerConnection, 'send' | 'isControlConnection' | 'bufferedBytes'>;

type PeerRecords = {
	revisions: Map<string, number>;
	/** Records of this peer that failed their digest although they came whole. */
	broken: Set<string>;
};

type Fetch = {peer: RecordPeer; haveRevision: number; timer: NodeJS.Timeout};

type FrameHandlers = {[Type in Frame['type']]?: (frame: Extract<Frame, {type: Type}>, peer: RecordPeer) => void};

/**
 * Learns which peer holds which revision, fetches what is newer and serves what is asked for. One record per key is
 * fetched at a time; a peer that does not deliver is forgotten until its next heartbeat.
 *
 * @internal
 */
export class RecordExchange {
	private readonly peers = new Map<RecordPeer, PeerRecords>();
	private readonly fetches = new Map<string, Fetch>();

	private readonly frameHandlers: FrameHandlers = {
		hello: (frame, peer) => {
			this.noteRevisions(frame.revisions, peer);
		},
		heartbeat: (frame, peer) => {
			this.noteRevisions(frame.revisions, peer);
		},
		announce: (frame, peer) => {
			this.receiveAnnounce(frame, peer);
		},
		fetch: (frame, peer) => {
			this.serve(frame, peer);
		},
		record: (frame, peer) => {
			this.take(frame, peer);
		},
	};

	constructor(
		private readonly store: RecordStore,
		private readonly metrics: Metrics,
		private readonly options: DistributionOptions,
	) {}

	/** True while no peer is known to hold a newer record that could still be fetched. */
	get idle(): boolean {
		return this.fetches.size === 0;
	}

	receive(frame: Frame, peer: RecordPeer): void {
		const handler = this.frameHandlers[frame.type] as ((frame: Frame, peer: RecordPeer) => void) | undefined;
		handler?.(frame, peer);
	}

	forget(peer: RecordPeer): void {
		this.peers.delete(peer);
		for (const [key, fetch] of this.fetches) {
			if (fetch.peer === peer) {
				this.endFetch(key);
				this.consider(key);
			}
		}
	}

	/** Tells the control peers about the record held, except those that hold it already. */
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

	private noteRevisions(revisions: Revisions, peer: RecordPeer): void {
		for (const key of this.options.keys) {
			const revision = revisions[key];
			if (Number.isSafeInteger(revision)) {
				this.noteRevision(key, revision!, peer);
			}
		}
	}

	private noteRevision(key: string, revision: number, peer: RecordPeer): void {
		const known = this.recordsOf(peer).revisions;
		if (revision >= (known.get(key) ?? 0)) {
			known.set(key, revision);
		} else {
			this.metrics.count('records.older');
		}

		if (revision > (this.store.get(key)?.revision ?? 0)) {
			this.consider(key);
		}
	}

	private receiveAnnounce(frame: AnnounceFrame, peer: RecordPeer): void {
		if (!this.options.keys.includes(frame.key)) {
			this.metrics.count('records.key.unknown');
			return;
		}

		const held = this.store.get(frame.key);
		if (held?.revision === frame.revision && held.digest !== frame.digest) {
			this.metrics.count('records.conflict');
		}

		this.noteRevision(frame.key, frame.revision, peer);
	}

	/** Starts a fetch when a peer holds a newer record and none is under way. */
	private consider(key: string): void {
		if (this.fetches.has(key)) {
			return;
		}

		let best: {peer: RecordPeer; revision: number} | undefined;
		for (const [peer, {revisions, broken}] of this.peers) {
			const revision = revisions.get(key) ?? 0;
			const wanted = revision > (this.store.get(key)?.revision ?? 0) && !this.store.isRefused(key, revision) && !broken.has(`${key}\n${revision}`);
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
			this.consider(key);
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

	private serve(frame: FetchFrame, peer: RecordPeer): void {
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

	private take(frame: RecordFrame, peer: RecordPeer): void {
		const {key, revision} = frame;
		if (!this.options.keys.includes(key)) {
			this.metrics.count('records.key.unknown');
			return;
		}

		const fetch = this.fetches.get(key);
		const asked = fetch?.peer === peer ? fetch : undefined;
		if (asked !== undefined) {
			this.endFetch(key);
		}

		// What a peer delivers corrects what it announced; else it would be asked for the same again without a pause.
		const {revisions} = this.recordsOf(peer);
		revisions.set(key, revision);
		const held = this.store.get(key);
		if (held !== undefined && revision <= held.revision) {
			this.metrics.count('records.older');
		} else if (frame.value === undefined) {
			this.takePatch(frame, peer, asked);
		} else if (digestOf(frame.value) === frame.digest) {
			this.accept(key, revision, frame.value, null);
		} else {
			this.metrics.count('records.digest.wrong');
			this.recordsOf(peer).broken.add(`${key}\n${revision}`);
		}

		this.consider(key);
	}

	private takePatch(frame: RecordFrame, peer: RecordPeer, asked: Fetch | undefined): void {
		const {key, revision, patch, baseRevision} = frame;
		const held = this.store.get(key);
		const value = patch === undefined || held === undefined || held.revision !== baseRevision ? undefined : tryPatch(held.value, patch);
		if (value !== undefined && digestOf(value) === frame.digest) {
			this.accept(key, revision, value, {baseRevision: baseRevision!, patch: patch!});
			return;
		}

		this.metrics.count('records.patch.unusable');
		if (asked?.haveRevision === 0) {
			this.recordsOf(peer).broken.add(`${key}\n${revision}`);
		} else if (asked?.haveRevision === (held?.revision ?? 0)) {
			this.fetch(key, peer, 0);
		}
	}

	private accept(key: string, revision: number, value: string, step: {baseRevision: number; patch: string} | null): void {
		this.metrics.count(this.store.accept(key, revision, value, step) ? 'records.accepted' : 'records.refused');
	}

	private recordsOf(peer: RecordPeer): PeerRecords {
		let records = this.peers.get(peer);
		if (records === undefined) {
			records = {revisions: new Map(), broken: new Set()};
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
