/**
 * Admission to one target: a concurrency limit, a priority queue and the admission level.
 */
export {
	AdmissionController, admissionOptions, type AdmissionRequest, type Admission, type AdmissionOptions,
} from './lib/admission-controller.js';
