import test from 'ava';
import {
  type Attempt,
  countOutcomes,
  hasNoViolations,
  type JobRecord,
  type JournalLine,
  type LoadOptions,
  buildEcho,
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
    echo: buildEcho(plan.key, i),
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

/** Creates a record of consecutive submissions. */
const createRecord = (...outcomes: Outcome[]): JobRecord => ({
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

test('a complete answer whose tasks each ran once violates nothing', t => {
  const counts = countOutcomes(everyStart, [createRecord(unknown, complete())]);
  t.like(counts, {jobs: 1, complete: 1, unknown: 0, violations: []});
  t.true(hasNoViolations(counts));
});

const violationCases: readonly [
  string,
  readonly JournalLine[],
  JobRecord,
  object,
][] = [
  [
    'a task that started twice',
    [...everyStart, everyStart[1]!],
    createRecord(complete()),
    {doubled: 1},
  ],
  [
    'a missing result',
    everyStart,
    createRecord(complete(results => results.pop())),
    {partial: 1},
  ],
  [
    'results out of order',
    everyStart,
    createRecord(complete(results => results.reverse())),
    {partial: 1},
  ],
  [
    'a complete answer although a task never started',
    everyStart.slice(1),
    createRecord(complete()),
    {unstarted: 1},
  ],
  [
    'a refusal of a job that ran',
    everyStart.slice(0, 1),
    createRecord(refused, refused),
    {wronglyNotRun: 1},
  ],
  [
    'a refusal after the answer',
    everyStart,
    createRecord(complete(), refused),
    {wronglyNotRun: 1},
  ],
  [
    'a complete and a failed answer for one job',
    everyStart,
    createRecord(failed, complete()),
    {contradicted: 1},
  ],
];
for (const [name, journal, one, expected] of violationCases) {
  test(`${name} is counted`, t => {
    const counts = countOutcomes(journal, [one]);
    t.like(counts, expected);
    t.is(counts.violations.length, 1);
    t.false(hasNoViolations(counts));
  });
}

test('a refusal before the job ran violates nothing', t => {
  t.true(
    hasNoViolations(
      countOutcomes(everyStart, [createRecord(refused, complete())]),
    ),
  );
  t.true(hasNoViolations(countOutcomes([], [createRecord(refused)])));
  t.like(countOutcomes([], [createRecord(refused), createRecord()]), {
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
