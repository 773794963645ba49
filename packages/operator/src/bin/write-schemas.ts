#!/usr/bin/env node
/**
 * Generates the files in schemas/ at the root of the repository; run by `npm run schemas`.
 */
import {writeFileSync} from 'node:fs';
import {editorSchemas} from '../lib/editor-schemas.js';

const directory = new URL('../../../../schemas/', import.meta.url);

for (const [file, text] of editorSchemas()) {
	writeFileSync(new URL(file, directory), text);
}
