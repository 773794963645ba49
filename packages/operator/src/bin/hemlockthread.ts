#!/usr/bin/env node
/**
 * Entry point of the read-only command line `hemlockthread`.
 */
import process from 'node:process';
import {runCli} from '../lib/run-cli.js';

process.exitCode = await runCli(process.argv.slice(2));
