/**
 * One member of the control overlay without calls: the record store, the distributor and the peer server of a node.
 */
import {randomUUID} from 'node:crypto';
import {
	PlatformClient, RecordDistributor, RecordStore, distributionOptions, type DistributionOptions,
} from '@hemlockthread/distribution';
import {FleetView, parseFleetList, type FleetInstance} from '@hemlockthread/membership';
import {PeerPool} from '@hemlockthread/node';
import {Metrics} from '@hemlockthread/telemetry';
import {
	PeerServer, type LocalPeer, type PeerConnection, type PeerHandlers, type PeerTraffic,
} from '@hemlockthread/wire';

/** @public */
export type RecordMemberPlan = {
	instance: FleetInstance;
	platformUrl: string;
	bootstrapPeers?: string[];
	options?: Partial<DistributionOptions>;
};

/**
 * Runs what a node runs to spread records.
 *
 * @public
 */
export class RecordMember {
	readonly store = new RecordStore({deferredKeys: distributionOptions.deferredKeys});
	readonly metrics = new Metrics();
	readonly fleet: FleetView;
	readonly distributor: RecordDistributor;
	private readonly server: PeerServer;
	private readonly pool: PeerPool;
	private readonly running = new AbortController();
	private readonly connections = new Set<PeerConnection>();
	private readonly ended: PeerTraffic = {
		sentFrames: 0, sentBytes: 0, receivedFrames: 0, receivedBytes: 0,
	};

	constructor(private readonly plan: RecordMemberPlan) {
		const {name, service, failureDomain, peerAddress} = plan.instance;
		const {store, metrics} = this;
		this.fleet = new FleetView({instance: name, failureDomain});
		store.onChange(record => {
			if (record.key === 'fleet') {
				this.fleet.replace(parseFleetList(record.value));
			}
		});
		this.distributor = new RecordDistributor({
			self: {instance: name, peerAddress}, store, fleet: this.fleet, platform: new PlatformClient(plan.platformUrl), metrics,
			bootstrapPeers: plan.bootstrapPeers, options: plan.options,
		});
		const local: LocalPeer = {
			instance: name, incarnation: randomUUID(), service, failureDomain,
			isLeaving: () => false, revisions: () => store.revisions(), platformAge: () => this.distributor.platformAge(),
		};
		const handlers = this.handlers();
		this.server = new PeerServer(local, handlers, metrics);
		this.pool = new PeerPool(local, handlers, metrics);
	}

	/** Frames and payload bytes of all connections so far. */
	get traffic(): PeerTraffic {
		const sum = {...this.ended};
		for (const {traffic} of this.connections) {
			add(sum, traffic);
		}

		return sum;
	}

	/** Connections that carry heartbeats. */
	get controlConnections(): number {
		return [...this.connections].filter(peer => peer.isControlConnection).length;
	}

	async start(): Promise<void> {
		const [host, port] = this.plan.instance.peerAddress.split(':') as [string, string];
		await this.server.listen(host, Number(port));
		void this.distributor.run(this.running.signal, async address => this.pool.connect(address, 'control'));
	}

	async stop(): Promise<void> {
		this.running.abort();
		this.pool.close();
		await this.server.close();
	}

	private handlers(): PeerHandlers {
		return {
			async onRequest() {
				throw new Error('a member takes no calls');
			},
			onControl: (frame, peer) => {
				this.distributor.receive(frame, peer);
			},
			onReady: peer => {
				this.connections.add(peer);
				this.distributor.peerReady(peer);
			},
			onClosed: peer => {
				if (this.connections.delete(peer)) {
					add(this.ended, peer.traffic);
				}

				this.distributor.peerClosed(peer);
			},
		};
	}
}

function add(sum: PeerTraffic, traffic: PeerTraffic): void {
	for (const field of ['sentFrames', 'sentBytes', 'receivedFrames', 'receivedBytes'] as const) {
		sum[field] += traffic[field];
	}
}
