import type {RunEnd} from '#model';
import test from 'ava';
import {
  cancelJob,
  computeDueMs,
  endRun,
  findJobFault,
  listPlacedTasks,
  listReadyTasks,
  getRunRef,
  openJob,
  placeTask,
  type JobState,
} from '#jobs';
import {buildJob, buildStep} from './builders.js';

const first = {step: 0, index: 0};

function runOnce(state: JobState, end: RunEnd, pos = first): JobState {
  const placed = placeTask(state, pos, 'target');
  return endRun(placed, getRunRef(placed, pos), end);
}

test('a step becomes ready once all tasks of the steps it depends on have succeeded', t => {
  const opened = openJob(buildJob(buildStep(2), buildStep(1, [0])), 2);
  const half = runOnce(opened, 'succeeded');
  t.deepEqual(listReadyTasks(half), [{step: 0, index: 1}]);
  const done = runOnce(half, 'succeeded', {step: 0, index: 1});
  t.deepEqual(listReadyTasks(done), [{step: 1, index: 0}]);
  t.is(runOnce(done, 'succeeded', {step: 1, index: 0}).phase, 'completed');
});

test('only failed runs count as attempts', t => {
  const opened = openJob(buildJob(buildStep(1)), 2);
  const ends: readonly RunEnd[] = ['lapsed', 'stopped', 'not-run', 'stalled'];
  const tried = ends.reduce((state, end) => runOnce(state, end), opened);
  t.is(tried.phase, 'open');
  t.is(getRunRef(tried, first).run, ends.length + 1);
  const failed = runOnce(runOnce(tried, 'failed'), 'failed');
  t.is(failed.phase, 'failed');
  t.deepEqual(listReadyTasks(failed), []);
});

test('the end of an earlier run is ignored', t => {
  const opened = openJob(buildJob(buildStep(1)), 2);
  const placed = placeTask(opened, first, 'target');
  const old = getRunRef(placed, first);
  const again = placeTask(endRun(placed, old, 'lapsed'), first, 'other');
  t.is(endRun(again, old, 'succeeded'), again);
  t.deepEqual(listPlacedTasks(again), [first]);
});

test('a task avoids the target where its last run failed', t => {
  const task = runOnce(openJob(buildJob(buildStep(1)), 2), 'failed')
    .steps[0][0];
  t.like(task, {kind: 'ready', avoid: 'target', failures: 1});
});

test('a cancelled job has no ready tasks and is not completed by later run ends', t => {
  const placed = placeTask(openJob(buildJob(buildStep(1)), 2), first, 'target');
  const cancelled = cancelJob(placed);
  const ended = endRun(cancelled, getRunRef(placed, first), 'succeeded');
  t.is(ended.phase, 'cancelled');
  t.deepEqual(listReadyTasks(ended), []);
});

test('a job is due after its stretched critical path plus the slack', t => {
  const job = buildJob(buildStep(1), buildStep(1, [0]), buildStep(1));
  t.is(computeDueMs(job, {stretch: 1.5, slackMs: 60}), 360);
});

test('an invalid job is described by its first problem', t => {
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
