/**
 * The operation table: makes irreversible calls run at most once at the node beside their executor.
 */
export {
	OperationTable, operationTableOptions, type BeginResult, type OperationTableOptions, type OperationRequest,
} from './lib/operation-table.js';
export {
	Operation, OperationState, type OperationResponse, type OperationStateName,
} from './lib/operation.js';
