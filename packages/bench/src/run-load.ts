import {Caller, type JobRecord, type RetryPolicy} from './caller.js';
import type {Arrivals, PlannedJob} from './load.js';
import {Random} from './random.js';
import {sleepFor} from './wait.js';

export interface RunOptions {
  readonly entries: readonly string[];
  readonly seed: number;
  readonly arrivals: Arrivals;
  readonly retryPolicy: RetryPolicy;
  /** Fraction of jobs that are submitted at two entries at once. */
  readonly duplicateShare: number;
}

/** Submits every planned job and waits for the outcomes of all. */
export async function runLoad(
  jobs: readonly PlannedJob[],
  options: RunOptions,
): Promise<readonly JobRecord[]> {
  const caller = new Caller(options.entries);
  const random = new Random(options.seed + 1);
  const submissions = jobs.map(plan => ({
    plan,
    entry: random.pickInt(0, options.entries.length - 1),
    isDuplicated: random.pickBoolean(options.duplicateShare),
  }));
  const submit = (submission: (typeof submissions)[number]) =>
    submitJob(
      caller,
      submission.plan,
      submission.entry,
      submission.isDuplicated,
      options.retryPolicy,
    );
  try {
    if (options.arrivals.kind === 'closed') {
      return await runClosedLoop(submissions, submit, options.arrivals.callers);
    }
    const startedAt = performance.now();
    return await Promise.all(
      submissions.map(async submission => {
        await sleepFor(startedAt + submission.plan.atMs - performance.now());
        return submit(submission);
      }),
    );
  } finally {
    await caller[Symbol.asyncDispose]();
  }
}

async function runClosedLoop<Submission>(
  submissions: readonly Submission[],
  submit: (submission: Submission) => Promise<JobRecord>,
  callers: number,
): Promise<readonly JobRecord[]> {
  const records: JobRecord[] = [];
  const remaining = submissions.values();
  const runCaller = async () => {
    for (const submission of remaining) records.push(await submit(submission));
  };
  await Promise.all(Array.from({length: callers}, runCaller));
  return records;
}

async function submitJob(
  caller: Caller,
  plan: PlannedJob,
  entry: number,
  isDuplicated: boolean,
  retryPolicy: RetryPolicy,
): Promise<JobRecord> {
  const submissions = [caller.submit(plan, entry, retryPolicy)];
  if (isDuplicated)
    submissions.push(caller.submit(plan, entry + 1, retryPolicy));
  const records = await Promise.all(submissions);
  const attempts = records
    .flatMap(record => record.attempts)
    .sort((a, b) => a.endedAt - b.endedAt);
  return {plan, attempts};
}
