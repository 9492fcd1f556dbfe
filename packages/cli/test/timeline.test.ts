import test from 'ava';
import type {LogRecord} from '../src/log-record.js';
import {buildTimeline, renderTimeline} from '../src/timeline.js';

const startedAt = Date.parse('2026-01-01T00:00:00.000Z');

/** Builds a record of an event `atMs` after the start. */
function buildRecord(
  atMs: number,
  id: string,
  event: string,
  details: Readonly<Record<string, unknown>>,
): LogRecord {
  const time = new Date(startedAt + atMs).toISOString();
  return {time, role: 'entry', id, event, msg: '', details};
}

function buildRunEnd(atMs: number, index: number, run: number, end: string) {
  const details = {job: 'a', step: 0, index, run, target: 't1', end};
  return buildRecord(atMs, 'e1', 'run-ended', details);
}

const accepted = buildRecord(0, 'e1', 'job-accepted', {job: 'a', dueMs: 200});

test('the summary of a late job lists its last task, unstarted runs and failed runs', t => {
  const {summary, gaps} = buildTimeline(
    [
      accepted,
      buildRecord(5, 'e1', 'runs-placed', {job: 'a', target: 't1'}),
      buildRecord(10, 't1', 'run-begun', {run: 'a.0.0#1'}),
      buildRunEnd(20, 1, 1, 'not-run'),
      buildRunEnd(60, 0, 1, 'failed'),
      buildRecord(70, 't1', 'run-begun', {run: 'a.0.0#2'}),
      buildRecord(90, 't1', 'run-begun', {run: 'a.0.1#2'}),
      buildRunEnd(120, 0, 2, 'succeeded'),
      buildRunEnd(250, 1, 2, 'succeeded'),
      buildRecord(251, 'e1', 'job-ended', {job: 'a', outcome: 'completed'}),
      buildRecord(90, 't1', 'run-begun', {run: 'ab.0.0#1'}),
    ],
    'a',
  );
  t.deepEqual(gaps, []);
  t.deepEqual(summary, [
    'completed 251 ms after its acceptance, due after 200 ms: late by 51 ms',
    'its first run began after 10 ms',
    'its last task, 0.1, began after 90 ms as run 2 and took 160 ms at t1',
    '1 runs came back from 1 targets without having begun',
    'run 1 of task 0.0 ended as failed at t1',
  ]);
});

test('the summary states the cause of a refusal, and that the end of a job is missing', t => {
  const refusal = buildRecord(0, 'e1', 'job-refused', {
    job: 'a',
    cause: 'backlog',
  });
  t.deepEqual(buildTimeline([refusal], 'a').summary, [
    'refused at once, cause backlog',
  ]);
  const unfinished = buildTimeline([accepted], 'a');
  t.deepEqual(unfinished.summary, [
    'accepted, no end is told',
    'no run of it began',
  ]);
  t.is(unfinished.gaps.length, 1);
  t.regex(
    renderTimeline(unfinished),
    /missing: .*\nin short: accepted, no end is told/,
  );
});

test('a request that no line names has an empty summary', t => {
  const timeline = buildTimeline([accepted], 'b');
  t.deepEqual(timeline.summary, []);
  t.deepEqual(timeline.gaps, ['no line names "b"']);
});
