import regexpPlugin from 'eslint-plugin-regexp';

/** @type {import('xo').FlatXoConfig} */
const xoConfig = [
	{ignores: ['**/dist/**', 'docs/**', 'schemas/**']},
	{
		plugins: {regexp: regexpPlugin},
		rules: {
			// The time of an expression must be proportional to its input, much of which comes from outside.
			'regexp/no-super-linear-backtracking': ['error', {report: 'potential'}],
			'regexp/no-super-linear-move': 'error',
			// Header names and token claims are not in camel case.
			'@typescript-eslint/naming-convention': 'off',
			// Comments are prose, in which a line can start with a lowercase word.
			'capitalized-comments': 'off',
			// Messages of a connection are awaited in order.
			'no-await-in-loop': 'off',
			// JSON of external interfaces contains null.
			'@typescript-eslint/no-restricted-types': 'off',
			// This rule and unicorn/empty-brace-spaces require opposite formats of an empty body.
			'@stylistic/curly-newline': 'off',
			// External values are asserted after a run-time check that the rule can't detect.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Errors of modern-errors extend Error, but their declared type does not show it.
			'@typescript-eslint/only-throw-error': 'off',
			// The functions of clipanion that declare options have capitalized names.
			'new-cap': ['error', {newIsCap: true, capIsNew: true, capIsNewExceptionPattern: String.raw`^(Option|Command)\.`}],
			// Constructors take each dependency as a parameter.
			'max-params': 'off',
			'import-x/no-unassigned-import': ['error', {allow: ['reflect-metadata']}],
		},
	},
	{
		files: ['packages/operator/**'],
		rules: {
			// The functions of clipanion that declare options and usage have capitalized names.
			'new-cap': ['error', {capIsNewExceptionPattern: String.raw`^(Option|Command)\.`}],
		},
	},
	{
		files: ['**/*.test.ts', 'vitest.config.ts'],
		rules: {
			// The test runner is a development dependency of the workspace, not of each package.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
			'@typescript-eslint/no-unsafe-call': 'off',
			'@typescript-eslint/no-unsafe-assignment': 'off',
		},
	},
];

export default xoConfig;
