import test from 'ava';
import {
  type Attempt,
  countOutcomes,
  isSound,
  type JobRecord,
  type JournalLine,
  type LoadOptions,
  nameEcho,
  type Outcome,
  planLoad,
  readOutcome,
} from '#bench';

const load: LoadOptions = {
  seed: 7,
  jobs: 20,
  arrivals: {kind: 'poisson', jobsPerSecond: 10},
  services: ['tally'],
  teams: ['a', 'b'],
  minTasks: 2,
  maxTasks: 170,
  minTaskMs: 1,
  maxTaskMs: 50,
  deadlineMs: 1000,
  unrepeatableShare: 0.5,
  failingShare: 0.5,
  declaredErrorFactor: 5,
};
const plan = planLoad(load)[0]!;
const complete = (change: (results: unknown[]) => void = () => {}): Outcome => {
  const results: unknown[] = plan.tasks.map((_, i) => ({
    echo: nameEcho(plan.key, i),
  }));
  change(results);
  return {kind: 'complete', results};
};
const refused: Outcome = {
  kind: 'not-run',
  reason: 'overloaded',
  retryAfterMs: 5,
};
const failed: Outcome = {kind: 'failed', reason: 'task-failed', detail: ''};
const unknown: Outcome = {kind: 'unknown', reason: 'target-lost', detail: ''};

const everyStart: readonly JournalLine[] = plan.tasks.map((_, task) => ({
  job: plan.job,
  task,
  target: 't',
}));

/** Submissions one after the other. */
const record = (...outcomes: Outcome[]): JobRecord => ({
  plan,
  attempts: outcomes.map((outcome, i): Attempt => ({
    entry: 'e',
    startedAt: 2 * i,
    endedAt: 2 * i + 1,
    outcome,
  })),
});

test('the same seed plans the same load', t => {
  t.deepEqual(planLoad(load), planLoad(load));
  t.notDeepEqual(planLoad(load), planLoad({...load, seed: 8}));
});

test('a whole answer of tasks that ran once is sound', t => {
  const counts = countOutcomes(everyStart, [record(unknown, complete())]);
  t.like(counts, {jobs: 1, complete: 1, unknown: 0, offences: []});
  t.true(isSound(counts));
});

const offences: readonly [string, readonly JournalLine[], JobRecord, object][] =
  [
    [
      'a task that started twice',
      [...everyStart, everyStart[1]!],
      record(complete()),
      {doubled: 1},
    ],
    [
      'a missing result',
      everyStart,
      record(complete(results => results.pop())),
      {partial: 1},
    ],
    [
      'results out of order',
      everyStart,
      record(complete(results => results.reverse())),
      {partial: 1},
    ],
    [
      'a complete answer of a task that never started',
      everyStart.slice(1),
      record(complete()),
      {unstarted: 1},
    ],
    [
      'a refusal of a job that ran',
      everyStart.slice(0, 1),
      record(refused, refused),
      {wronglyNotRun: 1},
    ],
    [
      'a refusal after the answer',
      everyStart,
      record(complete(), refused),
      {wronglyNotRun: 1},
    ],
    [
      'an answer and a failure of one job',
      everyStart,
      record(failed, complete()),
      {contradicted: 1},
    ],
  ];
for (const [name, journal, one, expected] of offences) {
  test(`${name} is counted`, t => {
    const counts = countOutcomes(journal, [one]);
    t.like(counts, expected);
    t.is(counts.offences.length, 1);
    t.false(isSound(counts));
  });
}

test('a refusal before the job ran is true', t => {
  t.true(isSound(countOutcomes(everyStart, [record(refused, complete())])));
  t.true(isSound(countOutcomes([], [record(refused)])));
  t.like(countOutcomes([], [record(refused), record()]), {
    refused: 1,
    unanswered: 1,
  });
});

test('answers are read by their status', t => {
  t.deepEqual(readOutcome({status: 'complete', results: [1]}), {
    kind: 'complete',
    results: [1],
  });
  t.is(
    readOutcome({status: 'failed', reason: 'unknown', cause: 'target-lost'})
      .kind,
    'unknown',
  );
  t.is(readOutcome({status: 'failed', reason: 'cancelled'}).kind, 'failed');
  t.is(readOutcome({status: 'running'}).kind, 'unanswered');
  t.is(readOutcome(null).kind, 'unanswered');
});
