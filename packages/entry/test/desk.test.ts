import test from 'ava';
import type {JobAnswer, Submission} from '#model';
import {monotonicClock} from '#model';
import type {AdmitResult, AdmittedJob, LookupResult} from '#protocol';
import {Desk} from '../src/desk.js';
import type {Execution} from '../src/execution.js';
import type {Neighbours} from '../src/neighbours.js';
import type {Refusal} from '../src/ownership.js';
import type {Registrar} from '../src/registrar.js';
import {buildSubmission} from './builders.js';

const ownEpoch = 7;
const ownAddress = '127.0.0.1:7';

/** A desk among fakes: what control and the other entries answer, and what starts. */
class Bench {
  readonly started: Execution[] = [];
  readonly admitted: string[] = [];
  admit: (submission: Submission) => AdmitResult | undefined = () => ({
    kind: 'admitted',
  });
  found: LookupResult | undefined = {kind: 'absent'};
  refusal: Refusal | undefined;
  attached: JobAnswer | undefined | Promise<JobAnswer | undefined>;
  attachments = 0;
  ownerLives = true;
  recordsCancellations = true;

  readonly desk = new Desk(
    {
      clock: monotonicClock,
      address: ownAddress,
      isLive: epoch => this.ownerLives || epoch !== 3,
      getEpoch: () => ownEpoch,
      getStartingEpoch: () => ownEpoch,
      getKeepMs: () => 60_000,
      getMaxPlacements: () => 3,
      judge: () => this.refusal,
      announce: () => ({[Symbol.dispose]: () => {}}),
      start: execution => void this.started.push(execution),
      stop: () => {},
      onAnswered: () => {},
      inherit: () => Promise.reject(new Error('nothing to inherit')),
    },
    {
      admit: async (submission: Submission) => {
        this.admitted.push(submission.job);
        return this.admit(submission);
      },
      lookUp: async () => this.found,
      cancel: async () => this.recordsCancellations,
    } as unknown as Registrar,
    {
      attach: async () => {
        this.attachments++;
        return this.attached;
      },
    } as unknown as Neighbours,
  );

  submit(submission: Submission, withinMs = 30_000): Promise<JobAnswer> {
    return this.desk.submit(submission, monotonicClock.now() + withinMs);
  }

  /** Ends the first started job with a whole answer. */
  async finish(): Promise<void> {
    while (this.started.length === 0) await new Promise(setImmediate);
    const execution = this.started[0]!;
    execution.job.submission.tasks.forEach((_, task) => {
      execution.apply({kind: 'sent', task, target: 't', incarnation: 1});
      execution.apply({
        kind: 'fate',
        task,
        fate: {kind: 'succeeded', result: task},
      });
    });
  }
}

function buildStanding(
  submission: Submission,
  owner: number,
  change: Partial<AdmittedJob> = {},
): AdmittedJob {
  return {
    digest: submission.digest,
    tasks: submission.tasks.length,
    unrepeatable: false,
    epoch: owner,
    owner,
    revision: 1,
    ticket: 0,
    mayStart: true,
    address: '127.0.0.1:1',
    ...change,
  };
}

test('an answered job keeps its answer and not its tasks', async t => {
  const bench = new Bench();
  const submission = buildSubmission('k', 2);
  const answered = bench.submit(submission);
  await bench.finish();
  const answer = await answered;
  t.is(answer.kind, 'complete');
  const {job} = bench.started[0]!;
  t.is(job.tasks.length + job.submission.tasks.length, 0);
  t.deepEqual(await bench.submit(submission), answer);
});

test('the same job submitted twice starts once and both get the whole answer', async t => {
  const bench = new Bench();
  const first = bench.submit(buildSubmission('k'));
  const second = bench.submit(buildSubmission('k'));
  await bench.finish();
  const answer = await first;
  t.is(answer.kind, 'complete');
  t.is(await second, answer);
  t.is(await bench.submit(buildSubmission('k')), answer);
  t.is(bench.started.length, 1);
});

test('another body under the same key is refused as not run', async t => {
  const bench = new Bench();
  const first = bench.submit(buildSubmission('k', 2));
  const other = await bench.submit(buildSubmission('k', 3, {digest: 'other'}));
  t.like(other, {kind: 'not-run', reason: 'key-reused'});
  await bench.finish();
  t.is((await first).kind, 'complete');
});

test('a refusal is given as not run only when control has no record', async t => {
  const bench = new Bench();
  bench.refusal = {reason: 'overloaded', detail: 'full', retryAfterMs: 50};
  const answer = await bench.submit(buildSubmission('k'));
  t.like(answer, {kind: 'not-run', reason: 'overloaded', retryAfterMs: 50});
});

test('a refused job that has a record elsewhere gets its answer from the owner', async t => {
  const bench = new Bench();
  const submission = buildSubmission('k');
  bench.refusal = {reason: 'overloaded', detail: 'full', retryAfterMs: 50};
  bench.found = {kind: 'exists', standing: buildStanding(submission, 3)};
  bench.attached = {kind: 'complete', job: submission.job, results: [0, 1]};
  t.is((await bench.submit(submission)).kind, 'complete');
  t.is(bench.started.length, 0);
});

test('a refusal that control cannot confirm is unknown', async t => {
  const bench = new Bench();
  bench.refusal = {reason: 'overloaded', detail: 'full', retryAfterMs: 50};
  bench.found = undefined;
  t.is((await bench.submit(buildSubmission('k'))).kind, 'unknown');
});

test('an admission whose answer was lost starts once when the record is found', async t => {
  const bench = new Bench();
  const submission = buildSubmission('k');
  bench.admit = () => undefined;
  bench.found = {kind: 'exists', standing: buildStanding(submission, ownEpoch)};
  const answer = bench.submit(submission);
  await bench.finish();
  t.is((await answer).kind, 'complete');
  t.is(bench.started.length, 1);
});

test('a job of this epoch that is not known here any more never starts again', async t => {
  const bench = new Bench();
  const submission = buildSubmission('k');
  const standing = buildStanding(submission, ownEpoch);
  bench.admit = () => ({kind: 'exists', standing});
  bench.found = {kind: 'exists', standing};
  const first = bench.submit(submission);
  await bench.finish();
  t.is((await first).kind, 'complete');
  const desk = bench.desk as unknown as {executions: Map<string, unknown>};
  desk.executions.clear();
  const again = await bench.submit(submission);
  t.like(again, {kind: 'unknown', reason: 'answer-expired'});
  t.is(bench.started.length, 1);
});

test('without control the answer is unknown by the deadline', async t => {
  const bench = new Bench();
  bench.admit = () => undefined;
  bench.found = undefined;
  const answer = await bench.submit(buildSubmission('k'), 400);
  t.is(answer.kind, 'unknown');
  t.is(bench.started.length, 0);
});

test('a cancelled job is failed and its key keeps that answer', async t => {
  const bench = new Bench();
  const submission = buildSubmission('k');
  const answer = bench.submit(submission);
  while (bench.started.length === 0) await new Promise(setImmediate);
  await bench.desk.cancelLocal(submission.job);
  t.like(await answer, {kind: 'failed', reason: 'cancelled'});
  t.like(await bench.submit(submission), {kind: 'failed', reason: 'cancelled'});
});

test('a job whose owner ends while it is waited for is asked for again', async t => {
  const bench = new Bench();
  const submission = buildSubmission('k');
  const {job} = submission;
  bench.admit = () => ({
    kind: 'exists',
    standing: buildStanding(submission, 3),
  });
  bench.attached = new Promise(() => {});
  const answer = bench.submit(submission);
  while (bench.attachments === 0) await new Promise(setImmediate);
  bench.attached = {kind: 'complete', job, results: [0, 1]};
  bench.found = {kind: 'exists', standing: buildStanding(submission, 4)};
  bench.ownerLives = false;
  t.is((await answer).kind, 'complete');
  t.is(bench.attachments, 2);
});

test('an entry never waits for itself at the address of its former life', async t => {
  const bench = new Bench();
  const submission = buildSubmission('k');
  bench.found = {
    kind: 'exists',
    standing: buildStanding(submission, 3, {address: ownAddress}),
  };
  bench.admit = () => bench.found as AdmitResult;
  const answer = await bench.submit(submission, 600);
  t.is(answer.kind, 'unknown');
  t.is(bench.attachments, 0);
});

test('a cancellation that control does not record is answered as unknown', async t => {
  const bench = new Bench();
  bench.recordsCancellations = false;
  const submission = buildSubmission('k');
  const answer = bench.submit(submission);
  while (bench.started.length === 0) await new Promise(setImmediate);
  await bench.desk.cancelLocal(submission.job);
  t.like(await answer, {kind: 'unknown', reason: 'control-unavailable'});
});

test('a job that is cancelled on record is not started by its heir', async t => {
  const bench = new Bench();
  const submission = buildSubmission('k');
  const standing = buildStanding(submission, ownEpoch, {cancelled: true});
  bench.admit = () => ({kind: 'exists', standing});
  const answer = await bench.submit(submission);
  t.like(answer, {kind: 'failed', reason: 'cancelled'});
  t.is(bench.started.length, 0);
});
