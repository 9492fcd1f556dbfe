import test from 'ava';
import fc from 'fast-check';
import {applyJobEvent, createJob, type Job, type JobEvent} from '../src/job.js';
import {buildSubmission} from './builders.js';

const maxPlacements = 3;

function applyAll(job: Job, events: readonly JobEvent[]): Job {
  return events.reduce(
    (at, event) => applyJobEvent(at, event, maxPlacements),
    job,
  );
}

const send = (task: number): JobEvent => ({
  kind: 'sent',
  task,
  target: 't1',
  incarnation: 1,
});
const succeed = (task: number): JobEvent => ({
  kind: 'fate',
  task,
  fate: {kind: 'succeeded', result: `r${task}`},
});
const refuse = (task: number): JobEvent => ({
  kind: 'fate',
  task,
  fate: {kind: 'not-run', reason: 'no-slot'},
});

test('results are in task order whatever order the tasks end in', t => {
  const job = applyAll(createJob(buildSubmission('k', 3), 1000), [
    send(0),
    send(1),
    send(2),
    succeed(2),
    succeed(0),
    succeed(1),
  ]);
  t.deepEqual(job.answer, {
    kind: 'complete',
    job: job.submission.job,
    results: ['r0', 'r1', 'r2'],
  });
});

test('one failed task fails the job, and later outcomes change nothing', t => {
  const failed = applyAll(createJob(buildSubmission('k'), 1000), [
    send(0),
    send(1),
    {kind: 'fate', task: 1, fate: {kind: 'failed', detail: 'no'}},
  ]);
  t.is(failed.answer?.kind, 'failed');
  t.is(applyAll(failed, [succeed(0)]), failed);
});

test('a task whose target is lost makes the job unknown and does not wait again', t => {
  const job = applyAll(createJob(buildSubmission('k'), 1000), [
    send(0),
    {kind: 'fate', task: 0, fate: {kind: 'unknown', detail: 'gone'}},
  ]);
  t.is(job.answer?.kind, 'unknown');
  t.is(job.tasks[0]!.kind, 'sent');
});

test('a refused task waits again until its placements are used up', t => {
  const start = createJob(buildSubmission('k', 1), 1000);
  const twice = applyAll(start, [send(0), refuse(0), send(0), refuse(0)]);
  t.deepEqual(twice.tasks[0], {kind: 'waiting', placements: 2});
  const thrice = applyAll(twice, [send(0), refuse(0)]);
  t.is(thrice.answer?.kind, 'failed');
});

test('no sequence of outcomes produces a complete answer that lacks a result', t => {
  const fates = fc.constantFrom(succeed, refuse);
  const steps = fc.array(fc.tuple(fates, fc.integer({min: 0, max: 3})), {
    maxLength: 60,
  });
  fc.assert(
    fc.property(steps, list => {
      let job = createJob(buildSubmission('k', 4), 1000);
      for (const [fate, task] of list) {
        if (job.answer === undefined && job.tasks[task]!.kind === 'waiting') {
          job = applyAll(job, [send(task)]);
        }
        job = applyAll(job, [fate(task)]);
      }
      if (job.answer?.kind !== 'complete') return true;
      const {results} = job.answer;
      return (
        results.length === 4 && results.every((result, i) => result === `r${i}`)
      );
    }),
    {seed: 1, numRuns: 300},
  );
  t.pass();
});
