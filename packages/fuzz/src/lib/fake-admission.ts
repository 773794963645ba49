/**
 * Fake admission that randomly admits a call immediately, admits it after a wait, or refuses it.
 */
import type {Admission, AdmissionRequest} from '@hemlockthread/admission';
import type {AdmissionApi} from '@hemlockthread/node';
import {RefusalReason, type RefusalReasonName} from '@hemlockthread/verdict';
import type {RandomSource, SimulatedProcess} from './virtual-time.js';

/** @public */
export type AdmissionProbabilities = {refuse: number; queue: number};

/** @public */
export const defaultAdmissionProbabilities: AdmissionProbabilities = {refuse: 0.12, queue: 0.3};

const longestQueueMilliseconds = 2500;
const retryAfterMilliseconds = 100;

/** @public */
export class FakeAdmission implements AdmissionApi {
	constructor(private readonly process: SimulatedProcess, private readonly random: RandomSource, private readonly probabilities: AdmissionProbabilities) {}

	get level(): number {
		return 0;
	}

	async admit(request: AdmissionRequest): Promise<Admission> {
		if (this.random.nextBoolean(this.probabilities.refuse)) {
			return refused(RefusalReason.overloaded);
		}

		if (!this.random.nextBoolean(this.probabilities.queue)) {
			return admitted;
		}

		return new Promise(resolve => {
			request.signal.addEventListener('abort', () => {
				resolve(refused(RefusalReason.cancelled));
			}, {once: true});
			this.process.after(request.deadlineAt - this.process.now(), () => {
				resolve(refused(RefusalReason.deadlineExceeded));
			});
			this.process.after(this.random.between(0, longestQueueMilliseconds), () => {
				resolve(admitted);
			});
		});
	}
}

const admitted: Admission = {
	admitted: true,
	release() {
		// Slots are not counted, so that calls are admitted in any order.
	},
};

function refused(reason: RefusalReasonName): Admission {
	return {admitted: false, reason, retryAfterMilliseconds};
}
