/**
 * Guards against explanations that differ from the decisions of the node, and against explanations that change routing
 * state.
 */
import {readFileSync} from 'node:fs';
import {AdmissionController, admissionOptions} from '@hemlockthread/admission';
import {RecordStore} from '@hemlockthread/distribution';
import {FleetView, type FleetInstance} from '@hemlockthread/membership';
import {TargetSelector} from '@hemlockthread/routing';
import type {NodeSettings} from '@hemlockthread/settings';
import {Logs, Metrics} from '@hemlockthread/telemetry';
import {
	describe, expect, it,
} from 'vitest';
import {CallExplainer} from './call-explainer.js';
import {NodeIdentity} from './node-identity.js';
import {PolicyInForce} from './policy-in-force.js';

const policyText = readFileSync(new URL('../../../../examples/policy-version-2.json', import.meta.url), 'utf8');
const address = {host: '127.0.0.1', port: 1};
const settings: NodeSettings = {
	instance: 'racks-1', service: 'racks', failureDomain: 'a', region: 'r',
	listen: {
		peers: address, callers: address, target: address, operators: address,
	},
	targetUrl: '', targetSlots: 1, platformUrl: '', bootstrapPeers: [], startSpreadMilliseconds: 0, identityKeys: [], logLevel: 'error', shutdownGraceMilliseconds: 0, controls: 'on',
};
const instance = (name: string, service: string): FleetInstance => ({
	name, service, failureDomain: 'a', region: 'r', peerAddress: '127.0.0.1:1', callerAddress: '127.0.0.1:2', operatorAddress: '127.0.0.1:3', slots: 1, state: 'live',
});

/** Creates the components of a node in the state that the test case needs. */
function prepare({published = true, leaving = false, level = 0}: {published?: boolean; leaving?: boolean; level?: number} = {}) {
	const self = new NodeIdentity(settings);
	const store = new RecordStore();
	const policy = new PolicyInForce(store, new Logs('test', 'error'), new Metrics());
	if (published) {
		store.accept('policy', 7, policyText);
	}

	const fleet = new FleetView(settings);
	const others = [instance('releases-1', 'releases'), instance('releases-2', 'releases')];
	fleet.replace({schemaVersion: 1, instances: [instance('racks-1', 'racks'), instance('intake-1', 'intake'), ...others]});
	fleet.recordLeaving('intake-1', 'an incarnation');
	const selector = new TargetSelector(settings, fleet);
	for (const other of others) {
		selector.begin(other, 'stock-view').finish('refused', 1, level);
	}

	if (leaving) {
		self.leave();
	}

	const explainer = new CallExplainer(self, policy, fleet, selector, new AdmissionController({...admissionOptions, slots: 1}));
	return {explainer, selector};
}

const stockViewRank = 2;
const lowest = stockViewRank * 128;

describe('an explanation', () => {
	it.each([
		['no policy', {published: false}, 'releases', 'stock-view', {outcome: 'refused', reason: 'not-ready', admittedShare: 0}],
		['an unknown kind', {}, 'releases', 'booking', {outcome: 'refused', reason: 'unknown-kind'}],
		['an unknown service', {}, 'roster', 'stock-view', {outcome: 'refused', reason: 'unknown-service'}],
		['only leaving instances', {}, 'intake', 'stock-view', {outcome: 'refused', reason: 'no-target'}],
		['a node that leaves and has no other candidate', {leaving: true}, 'racks', 'stock-view', {outcome: 'refused', reason: 'no-target'}],
		['no level', {}, 'releases', 'stock-view', {outcome: 'admitted', admittedShare: 1, priorities: {lowest, highest: lowest + 127}}],
		['a level at the lowest priority', {level: lowest}, 'releases', 'stock-view', {outcome: 'admitted', admittedShare: 1}],
		['a level within the kind', {level: lowest + 32}, 'releases', 'stock-view', {outcome: 'partly-shed', reason: 'overloaded', admittedShare: 0.75}],
		['a level at the highest priority', {level: lowest + 127}, 'releases', 'stock-view', {outcome: 'partly-shed', admittedShare: 1 / 128}],
		['a level above the kind', {level: lowest + 128}, 'releases', 'stock-view', {outcome: 'shed', reason: 'overloaded', admittedShare: 0}],
		['a level of another root kind', {level: lowest + 128}, 'releases', 'withdrawal', {outcome: 'admitted', admittedShare: 1}],
	])('with %s', (_name, state, service, kind, expected) => {
		const {explainer, selector} = prepare(state);
		const before = JSON.stringify(selector.dump());
		expect(explainer.explain({service, kind})).toMatchObject({
			node: 'racks-1', service, kind, ...expected,
		});
		expect(JSON.stringify(selector.dump())).toBe(before);
	});
});
