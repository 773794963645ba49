/**
 * Guards the log under load: a flood of lines must not push out the lines that tell which policy and settings a node held.
 */
import {expect, it} from 'vitest';
import {DecisionLog, decisionLogOptions, LineImportance} from './decision-log.js';
import {FakeClock} from './fake-clock.js';

it('lines of the policy and of the process are written although other lines are dropped', () => {
	const clock = new FakeClock();
	let text = '';
	const log = new DecisionLog({}, clock, (lines, done) => {
		text += lines;
		done(null);
	});
	for (let line = 0; line < decisionLogOptions.burstLines * 2; line += 1) {
		log.write('belief', {line});
	}

	log.write('policy-in-force', {version: 7}, LineImportance.always);
	log.flush();
	const events = text.trim().split('\n').map(line => (JSON.parse(line) as {event: string}).event);
	expect(events.filter(event => event === 'belief')).toHaveLength(decisionLogOptions.burstLines);
	expect(events.filter(event => event === 'policy-in-force')).toHaveLength(1);
});
