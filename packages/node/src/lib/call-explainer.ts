/**
 * Explains how a call would be decided now, from the same state that the node uses, without starting a call.
 */
import type {AdmissionController} from '@hemlockthread/admission';
import type {FleetView} from '@hemlockthread/membership';
import {prioritiesPerRank, type PolicyRecord} from '@hemlockthread/policy';
import type {CandidateView, TargetSelector} from '@hemlockthread/routing';
import {RefusalReason, type RefusalReasonName} from '@hemlockthread/verdict';
import type {NodeIdentity} from './node-identity.js';
import type {PolicyInForce} from './policy-in-force.js';

/** @public */
export type ExplainedCheck = {check: string; passed: boolean; detail: string};

/** @public */
export type Explanation = {
	node: string;
	service: string;
	kind: string;
	policyRevision: number;
	/** `refused` is independent of load; the other values state whether all, some or no calls of the kind are admitted. */
	outcome: 'admitted' | 'partly-shed' | 'shed' | 'refused';
	reason?: RefusalReasonName;
	/** Share of the calls of the kind, from 0 to 1, that the known levels admit. */
	admittedShare: number;
	/** Priorities of the calls of the kind if it is the root kind. */
	priorities?: {lowest: number; highest: number};
	candidates: CandidateView[];
	checks: ExplainedCheck[];
};

type ExplainRequest = {service: string; kind: string};
type Refusal = {reason: RefusalReasonName; detail: string};

/**
 * Implements `GET /explain` of the operators listener.
 *
 * @public
 */
export class CallExplainer {
	constructor(
		private readonly self: NodeIdentity,
		private readonly policy: PolicyInForce,
		private readonly fleet: FleetView,
		private readonly selector: TargetSelector,
		private readonly admission: AdmissionController,
	) {}

	explain(request: ExplainRequest): Explanation {
		const checks: ExplainedCheck[] = [];
		const base = {
			node: this.self.instance, ...request, policyRevision: this.policy.revision, checks,
		};
		// In the order in which they are applied to a call.
		const loadIndependentChecks: ReadonlyArray<[check: string, run: () => Refusal | string]> = [
			['policy', () => this.checkPolicy()],
			['kind', () => this.checkKind(request)],
			['service', () => this.checkService(request)],
			['candidates', () => this.checkCandidates(request)],
		];
		for (const [check, run] of loadIndependentChecks) {
			const result = run();
			if (typeof result !== 'string') {
				checks.push({check, passed: false, detail: result.detail});
				return {
					...base, outcome: 'refused', reason: result.reason, admittedShare: 0, candidates: [],
				};
			}

			checks.push({check, passed: true, detail: result});
		}

		return {...base, ...this.explainLevel(request, checks)};
	}

	private checkPolicy(): Refusal | string {
		return this.policy.current === undefined
			? {reason: RefusalReason.notReady, detail: 'no policy record is in force yet'}
			: `revision ${this.policy.revision} is in force`;
	}

	private checkKind({kind: name}: ExplainRequest): Refusal | string {
		const kind = this.policy.current?.kind(name);
		if (kind === undefined) {
			return {reason: RefusalReason.unknownKind, detail: 'the policy in force does not name this kind'};
		}

		const identity = kind.irreversible ? 'irreversible: the call needs an identity, and none is minted under overload' : 'reversible';
		return `worth ${kind.worth}, ${kind.protected ? 'protected' : 'not protected'}, ${identity}`;
	}

	private checkService({service}: ExplainRequest): Refusal | string {
		return this.fleet.hasService(service)
			? 'the fleet list names this service'
			: {reason: RefusalReason.unknownService, detail: 'the fleet list does not name this service'};
	}

	private checkCandidates(request: ExplainRequest): Refusal | string {
		const names = this.candidates(request).map(candidate => candidate.instance);
		return names.length === 0
			? {reason: RefusalReason.noTarget, detail: 'every instance that this node may use is leaving or ejected'}
			: names.join(', ');
	}

	private explainLevel(request: ExplainRequest, checks: ExplainedCheck[]): Pick<Explanation, 'outcome' | 'reason' | 'admittedShare' | 'priorities' | 'candidates'> {
		const candidates = this.candidates(request);
		const lowest = (this.policy.current!).lowestPriorityOf(request.kind);
		const highest = lowest + prioritiesPerRank - 1;
		const level = Math.min(...candidates.map(candidate => candidate.level));
		const passing = Math.max(0, highest - Math.max(lowest, Math.ceil(level)) + 1);
		const admittedShare = passing / prioritiesPerRank;
		checks.push({
			check: 'level', passed: admittedShare === 1,
			detail: `priorities ${lowest} to ${highest} against the lowest known level ${level} of ${candidates.length} candidates`,
		});
		const outcome = admittedShare === 1 ? 'admitted' : (admittedShare === 0 ? 'shed' : 'partly-shed');
		return {
			outcome, admittedShare, priorities: {lowest, highest}, candidates,
			...(outcome === 'admitted' ? {} : {reason: RefusalReason.overloaded}),
		};
	}

	/** Returns the candidates known to routing. For the local instance, the current level replaces the last received one. */
	private candidates({service, kind}: ExplainRequest): CandidateView[] {
		return this.selector.view(service, kind)
			.filter(candidate => candidate.instance !== this.self.instance || !this.self.leaving.aborted)
			.map(candidate => candidate.instance === this.self.instance ? {...candidate, level: this.admission.level} : candidate);
	}
}
