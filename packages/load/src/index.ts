/**
 * Load and experiment tool, reports and the demo.
 */
export const packageName = '@hemlockthread/load';
