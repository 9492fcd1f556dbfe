import type {RunEnd} from '#model';
import test from 'ava';
import {
  cancelJob,
  computeDueMs,
  endRun,
  findJobFault,
  listPlaced,
  listReady,
  nameRun,
  openJob,
  placeTask,
  type JobState,
} from '#jobs';
import {buildJob, buildStep} from './builders.js';

const first = {step: 0, index: 0};

function runOnce(state: JobState, end: RunEnd, pos = first): JobState {
  const placed = placeTask(state, pos, 'target');
  return endRun(placed, nameRun(placed, pos), end);
}

test('a step waits for every task of the steps before it', t => {
  const opened = openJob(buildJob(buildStep(2), buildStep(1, [0])), 2);
  const half = runOnce(opened, 'succeeded');
  t.deepEqual(listReady(half), [{step: 0, index: 1}]);
  const done = runOnce(half, 'succeeded', {step: 0, index: 1});
  t.deepEqual(listReady(done), [{step: 1, index: 0}]);
  t.is(runOnce(done, 'succeeded', {step: 1, index: 0}).phase, 'completed');
});

test('only runs that failed spend attempts', t => {
  const opened = openJob(buildJob(buildStep(1)), 2);
  const ends: readonly RunEnd[] = ['lapsed', 'stopped', 'not-run', 'stalled'];
  const tried = ends.reduce((state, end) => runOnce(state, end), opened);
  t.is(tried.phase, 'open');
  t.is(nameRun(tried, first).run, ends.length + 1);
  const failed = runOnce(runOnce(tried, 'failed'), 'failed');
  t.is(failed.phase, 'failed');
  t.deepEqual(listReady(failed), []);
});

test('an end of an earlier run changes nothing', t => {
  const opened = openJob(buildJob(buildStep(1)), 2);
  const placed = placeTask(opened, first, 'target');
  const old = nameRun(placed, first);
  const again = placeTask(endRun(placed, old, 'lapsed'), first, 'other');
  t.is(endRun(again, old, 'succeeded'), again);
  t.deepEqual(listPlaced(again), [first]);
});

test('a task whose run failed avoids that target', t => {
  const task = runOnce(openJob(buildJob(buildStep(1)), 2), 'failed')
    .steps[0][0];
  t.like(task, {kind: 'ready', avoid: 'target', failures: 1});
});

test('a cancelled job has nothing ready, and its ends do not complete it', t => {
  const placed = placeTask(openJob(buildJob(buildStep(1)), 2), first, 'target');
  const cancelled = cancelJob(placed);
  const ended = endRun(cancelled, nameRun(placed, first), 'succeeded');
  t.is(ended.phase, 'cancelled');
  t.deepEqual(listReady(ended), []);
});

test('a job is due its stretched longest chain and a slack after its submission', t => {
  const job = buildJob(buildStep(1), buildStep(1, [0]), buildStep(1));
  t.is(computeDueMs(job, {stretch: 1.5, slackMs: 60}), 360);
});

test('a malformed job is named by its fault', t => {
  t.is(findJobFault(buildJob(buildStep(1), buildStep(2, [0]))), undefined);
  t.is(findJobFault(buildJob()), 'the job has no steps');
  t.regex(
    findJobFault(buildJob(buildStep(0))) ?? '',
    /step 0: it has no tasks/,
  );
  t.regex(findJobFault(buildJob(buildStep(1, [0]))) ?? '', /not earlier/);
  const long = {...buildJob(buildStep(1)), payload: 'x'.repeat(4001)};
  t.regex(findJobFault(long) ?? '', /longer than 4000 bytes/);
});
