/**
 * Bundles the node for the platform into one file, because loading several hundred modules slows its start.
 */
import {readdirSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {defineConfig} from 'rolldown';

const packagesFolder = fileURLToPath(new URL('packages', import.meta.url));
const aliases = Object.fromEntries(readdirSync(packagesFolder).map(name => [`@hemlockthread/${name}`, `${packagesFolder}/${name}/src/index.ts`]));

export default defineConfig({
	input: 'platform/src/bin/hemlockthread-node.ts',
	platform: 'node',
	resolve: {alias: aliases, extensionAlias: {'.js': ['.ts', '.js']}},
	// The optional native add-ons of ws are left out: they save little time and can't be bundled.
	external: ['bufferutil', 'utf-8-validate'],
	output: {file: 'target/hemlockthread-node.js', format: 'esm', codeSplitting: false},
});
