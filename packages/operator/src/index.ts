/**
 * The read-only command line for operators.
 */
export const packageName = '@hemlockthread/operator';
