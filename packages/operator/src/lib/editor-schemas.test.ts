/**
 * Guards against schema files that differ from the validation in the code.
 */
import {readFileSync, readdirSync} from 'node:fs';
import {expect, it} from 'vitest';
import {editorSchemas} from './editor-schemas.js';

const directory = new URL('../../../../schemas/', import.meta.url);

it.each(editorSchemas())('schemas/%s is up to date (npm run schemas)', (file, text) => {
	expect(readFileSync(new URL(file, directory), 'utf8')).toBe(text);
});

it('schemas/ holds no other files', () => {
	expect(readdirSync(directory).toSorted()).toEqual(editorSchemas().map(([file]) => file).toSorted());
});
