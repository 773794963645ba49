/**
 * Starts a small fleet of stand-ins and node processes for tests, and calls it as a caller would.
 */
export {RecordMember, type RecordMemberPlan} from './lib/record-member.js';
export {measureRecords, type RecordMeasure, type RecordMeasurePlan} from './lib/measure-records.js';
export {
	FleetDriver, type FleetPlan, type CallerResponse, type DrivenInstance, type Relays,
} from './lib/fleet-driver.js';
export {cellarNetPlan, cellarNetPolicy} from './lib/plans.js';
