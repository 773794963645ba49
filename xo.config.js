/** @type {import('xo').FlatXoConfig} */
const xoConfig = [
	{ignores: ['**/dist/**', 'docs/**', 'schemas/**']},
	{
		rules: {
			// Header names and the claims of tokens are not camel case.
			'@typescript-eslint/naming-convention': 'off',
			// Prose at the head of modules follows the rules of its own sentences.
			'capitalized-comments': 'off',
			// One task per connection awaits its messages in order.
			'no-await-in-loop': 'off',
			// JSON of outside interfaces contains null.
			'@typescript-eslint/no-restricted-types': 'off',
			// This rule and unicorn/empty-brace-spaces ask for opposite formats of an empty body.
			'@stylistic/curly-newline': 'off',
			// Values from outside are asserted after a run-time check that the rule can't see.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Errors made by modern-errors are errors, which their declared type does not show.
			'@typescript-eslint/only-throw-error': 'off',
			// clipanion names the functions that declare options like classes.
			'new-cap': ['error', {newIsCap: true, capIsNew: true, capIsNewExceptionPattern: String.raw`^(Option|Command)\.`}],
			// Constructor injection names each collaborator.
			'max-params': 'off',
			'import-x/no-unassigned-import': ['error', {allow: ['reflect-metadata']}],
		},
	},
	{
		files: ['packages/operator/**'],
		rules: {
			// clipanion's functions that declare options and usage have capital initials.
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
