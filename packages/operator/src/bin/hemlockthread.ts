#!/usr/bin/env node
/**
 * Binary `hemlockthread`: reads and reports, and changes nothing.
 */
import process from 'node:process';
import {runCli} from '../lib/run-cli.js';

process.exitCode = await runCli(process.argv.slice(2));
