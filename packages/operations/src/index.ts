/**
 * The operation table, which makes irreversible calls run at most once. Each executor's node holds its own table.
 */
export {
	OperationTable, operationTableOptions, type BeginResult, type OperationTableOptions, type OperationRequest,
} from './lib/operation-table.js';
export {
	Operation, OperationState, type OperationResponse, type OperationStateName,
} from './lib/operation.js';
