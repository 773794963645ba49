import {defineConfig} from 'vitest/config';

export default defineConfig({
	test: {
		include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
		testTimeout: 60_000,
		hookTimeout: 60_000,
		// Process tests start real processes; two at once keep their timers on schedule on a loaded machine.
		maxWorkers: 4,
	},
});
