/**
 * Admission that admits at once, keeps calls waiting in any order, or refuses, by chance.
 */
import type {Admission, AdmissionRequest} from '@hemlockthread/admission';
import type {Admitter} from '@hemlockthread/node';
import {RefusalReason, type RefusalReasonName} from '@hemlockthread/verdict';
import type {Chance, SimulatedProcess} from './virtual-time.js';

/** @public */
export type AdmissionHabits = {refuse: number; queue: number};

/** @public */
export const admissionHabits: AdmissionHabits = {refuse: 0.12, queue: 0.3};

const longestQueueMilliseconds = 2500;
const retryAfterMilliseconds = 100;

/** @public */
export class FakeAdmission implements Admitter {
	constructor(private readonly process: SimulatedProcess, private readonly chance: Chance, private readonly habits: AdmissionHabits) {}

	get level(): number {
		return 0;
	}

	async admit(request: AdmissionRequest): Promise<Admission> {
		if (this.chance.happens(this.habits.refuse)) {
			return refused(RefusalReason.overloaded);
		}

		if (!this.chance.happens(this.habits.queue)) {
			return admitted;
		}

		return new Promise(resolve => {
			request.signal.addEventListener('abort', () => {
				resolve(refused(RefusalReason.cancelled));
			}, {once: true});
			this.process.after(request.deadlineAt - this.process.now(), () => {
				resolve(refused(RefusalReason.deadlineExceeded));
			});
			this.process.after(this.chance.between(0, longestQueueMilliseconds), () => {
				resolve(admitted);
			});
		});
	}
}

const admitted: Admission = {
	admitted: true,
	release() {
		// Slots are not counted: any order of admissions is possible.
	},
};

function refused(reason: RefusalReasonName): Admission {
	return {admitted: false, reason, retryAfterMilliseconds};
}
