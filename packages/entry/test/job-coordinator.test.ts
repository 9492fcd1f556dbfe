import test from 'ava';
import type {JobAnswer, Submission} from '#model';
import {monotonicClock} from '#model';
import type {AdmitResult, AdmittedJob, LookupResult} from '#protocol';
import {JobCoordinator} from '../src/job-coordinator.js';
import type {Execution} from '../src/execution.js';
import type {PeerEntries} from '../src/peer-entries.js';
import type {Refusal} from '../src/ownership.js';
import type {Registrar} from '../src/registrar.js';
import {buildSubmission} from './builders.js';

const ownEpoch = 7;
const ownAddress = '127.0.0.1:7';

/** A job coordinator with fakes for control, the other entries and the start of tasks. */
class Fixture {
  readonly started: Execution[] = [];
  readonly admitted: string[] = [];
  admit: (submission: Submission) => AdmitResult | undefined = () => ({
    kind: 'admitted',
  });
  found: LookupResult | undefined = {kind: 'absent'};
  refusal: Refusal | undefined;
  attached: JobAnswer | undefined | Promise<JobAnswer | undefined>;
  attachments = 0;
  isOwnerLive = true;
  recordsCancellations = true;

  readonly jobs = new JobCoordinator(
    {
      clock: monotonicClock,
      address: ownAddress,
      isEpochLive: epoch => this.isOwnerLive || epoch !== 3,
      getEpoch: () => ownEpoch,
      getStartingEpoch: () => ownEpoch,
      getRetentionMs: () => 60_000,
      getMaxPlacements: () => 3,
      checkAdmission: () => this.refusal,
      trackPendingAdmission: () => ({[Symbol.dispose]: () => {}}),
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
    } as unknown as PeerEntries,
  );

  submit(submission: Submission, timeoutMs = 30_000): Promise<JobAnswer> {
    return this.jobs.submit(submission, monotonicClock.now() + timeoutMs);
  }

  /** Completes the first started job. */
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

function buildRecord(
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

test('an answered job retains its answer but not its tasks', async t => {
  const fixture = new Fixture();
  const submission = buildSubmission('k', 2);
  const answered = fixture.submit(submission);
  await fixture.finish();
  const answer = await answered;
  t.is(answer.kind, 'complete');
  const {job} = fixture.started[0]!;
  t.is(job.tasks.length + job.submission.tasks.length, 0);
  t.deepEqual(await fixture.submit(submission), answer);
});

test('a job submitted twice starts once and both submissions get the complete answer', async t => {
  const fixture = new Fixture();
  const first = fixture.submit(buildSubmission('k'));
  const second = fixture.submit(buildSubmission('k'));
  await fixture.finish();
  const answer = await first;
  t.is(answer.kind, 'complete');
  t.is(await second, answer);
  t.is(await fixture.submit(buildSubmission('k')), answer);
  t.is(fixture.started.length, 1);
});

test('a different body under the same key is refused as not run', async t => {
  const fixture = new Fixture();
  const first = fixture.submit(buildSubmission('k', 2));
  const other = await fixture.submit(
    buildSubmission('k', 3, {digest: 'other'}),
  );
  t.like(other, {kind: 'not-run', reason: 'key-reused'});
  await fixture.finish();
  t.is((await first).kind, 'complete');
});

test('a refusal is answered as not run when control has no record', async t => {
  const fixture = new Fixture();
  fixture.refusal = {reason: 'overloaded', detail: 'full', retryAfterMs: 50};
  const answer = await fixture.submit(buildSubmission('k'));
  t.like(answer, {kind: 'not-run', reason: 'overloaded', retryAfterMs: 50});
});

test('a refused job that another entry owns gets its answer from the owner', async t => {
  const fixture = new Fixture();
  const submission = buildSubmission('k');
  fixture.refusal = {reason: 'overloaded', detail: 'full', retryAfterMs: 50};
  fixture.found = {kind: 'exists', standing: buildRecord(submission, 3)};
  fixture.attached = {kind: 'complete', job: submission.job, results: [0, 1]};
  t.is((await fixture.submit(submission)).kind, 'complete');
  t.is(fixture.started.length, 0);
});

test('a refusal that control cannot confirm is answered as unknown', async t => {
  const fixture = new Fixture();
  fixture.refusal = {reason: 'overloaded', detail: 'full', retryAfterMs: 50};
  fixture.found = undefined;
  t.is((await fixture.submit(buildSubmission('k'))).kind, 'unknown');
});

test('a job whose admission result was lost starts once when its record is found', async t => {
  const fixture = new Fixture();
  const submission = buildSubmission('k');
  fixture.admit = () => undefined;
  fixture.found = {
    kind: 'exists',
    standing: buildRecord(submission, ownEpoch),
  };
  const answer = fixture.submit(submission);
  await fixture.finish();
  t.is((await answer).kind, 'complete');
  t.is(fixture.started.length, 1);
});

test('a job of this epoch that is no longer retained does not start again', async t => {
  const fixture = new Fixture();
  const submission = buildSubmission('k');
  const standing = buildRecord(submission, ownEpoch);
  fixture.admit = () => ({kind: 'exists', standing});
  fixture.found = {kind: 'exists', standing};
  const first = fixture.submit(submission);
  await fixture.finish();
  t.is((await first).kind, 'complete');
  const coordinator = fixture.jobs as unknown as {
    executions: Map<string, unknown>;
  };
  coordinator.executions.clear();
  const again = await fixture.submit(submission);
  t.like(again, {kind: 'unknown', reason: 'answer-expired'});
  t.is(fixture.started.length, 1);
});

test('without control the answer is unknown by the deadline', async t => {
  const fixture = new Fixture();
  fixture.admit = () => undefined;
  fixture.found = undefined;
  const answer = await fixture.submit(buildSubmission('k'), 400);
  t.is(answer.kind, 'unknown');
  t.is(fixture.started.length, 0);
});

test('a cancelled job is failed and its key keeps that answer', async t => {
  const fixture = new Fixture();
  const submission = buildSubmission('k');
  const answer = fixture.submit(submission);
  while (fixture.started.length === 0) await new Promise(setImmediate);
  await fixture.jobs.cancelLocal(submission.job);
  t.like(await answer, {kind: 'failed', reason: 'cancelled'});
  t.like(await fixture.submit(submission), {
    kind: 'failed',
    reason: 'cancelled',
  });
});

test('a job is looked up again when its owner ends while its answer is awaited', async t => {
  const fixture = new Fixture();
  const submission = buildSubmission('k');
  const {job} = submission;
  fixture.admit = () => ({
    kind: 'exists',
    standing: buildRecord(submission, 3),
  });
  fixture.attached = new Promise(() => {});
  const answer = fixture.submit(submission);
  while (fixture.attachments === 0) await new Promise(setImmediate);
  fixture.attached = {kind: 'complete', job, results: [0, 1]};
  fixture.found = {kind: 'exists', standing: buildRecord(submission, 4)};
  fixture.isOwnerLive = false;
  t.is((await answer).kind, 'complete');
  t.is(fixture.attachments, 2);
});

test('an entry does not attach to its own address for a job of its previous epoch', async t => {
  const fixture = new Fixture();
  const submission = buildSubmission('k');
  fixture.found = {
    kind: 'exists',
    standing: buildRecord(submission, 3, {address: ownAddress}),
  };
  fixture.admit = () => fixture.found as AdmitResult;
  const answer = await fixture.submit(submission, 600);
  t.is(answer.kind, 'unknown');
  t.is(fixture.attachments, 0);
});

test('a cancellation that control does not record is answered as unknown', async t => {
  const fixture = new Fixture();
  fixture.recordsCancellations = false;
  const submission = buildSubmission('k');
  const answer = fixture.submit(submission);
  while (fixture.started.length === 0) await new Promise(setImmediate);
  await fixture.jobs.cancelLocal(submission.job);
  t.like(await answer, {kind: 'unknown', reason: 'control-unavailable'});
});

test('a job recorded as cancelled is not started by the successor epoch', async t => {
  const fixture = new Fixture();
  const submission = buildSubmission('k');
  const standing = buildRecord(submission, ownEpoch, {cancelled: true});
  fixture.admit = () => ({kind: 'exists', standing});
  const answer = await fixture.submit(submission);
  t.like(answer, {kind: 'failed', reason: 'cancelled'});
  t.is(fixture.started.length, 0);
});
