import test from 'ava';
import {noopMetrics, type Tags} from '#telemetry';
import {Execution} from '../src/execution.js';
import {createJob} from '../src/job.js';
import {MetricsRecorder} from '../src/recorder.js';
import {buildConfiguration, buildSubmission} from './builders.js';

// Guards against a series for each name that a caller makes up.
test('answers to teams and services that are not configured are counted together', t => {
  const counted: (Tags | undefined)[] = [];
  const metrics = {
    ...noopMetrics,
    increment: (_name: string, _count?: number, tags?: Tags) => {
      counted.push(tags);
    },
  };
  const configuration = buildConfiguration([
    {name: 'team', tasksPerSecond: 1, burstTasks: 1, weight: 1},
  ]);
  const recorder = new MetricsRecorder(
    {now: () => 0},
    metrics,
    () => configuration,
  );
  for (const change of [{}, {team: 'a|b'}, {service: 'made-up'}]) {
    const submission = buildSubmission('key', 2, change);
    const execution = new Execution(createJob(submission, 1000), 3);
    const job = submission.job;
    recorder.recordAnswer(
      execution,
      {
        kind: 'not-run',
        job,
        reason: 'unknown-team',
        detail: '',
        retryAfterMs: 0,
      },
      0,
    );
  }
  const answer = 'not-run';
  t.deepEqual(counted, [
    {team: 'team', service: 'tally', answer},
    {team: '(unknown)', service: 'tally', answer},
    {team: 'team', service: '(unknown)', answer},
  ]);
});
