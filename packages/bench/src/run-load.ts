import {Caller, type JobRecord, type Persistence} from './caller.js';
import type {Arrivals, PlannedJob} from './load.js';
import {Random} from './random.js';
import {sleepFor} from './wait.js';

export interface RunOptions {
  readonly entries: readonly string[];
  readonly seed: number;
  readonly arrivals: Arrivals;
  readonly persistence: Persistence;
  /** Share of the jobs that are submitted at two entries at once. */
  readonly doubledShare: number;
}

/** Submits every planned job and waits for all the outcomes. */
export async function runLoad(
  jobs: readonly PlannedJob[],
  options: RunOptions,
): Promise<readonly JobRecord[]> {
  const caller = new Caller(options.entries);
  const random = new Random(options.seed + 1);
  const picks = jobs.map(plan => ({
    plan,
    entry: random.pickInt(0, options.entries.length - 1),
    doubled: random.pickBoolean(options.doubledShare),
  }));
  const submit = (pick: (typeof picks)[number]) =>
    submitOne(caller, pick.plan, pick.entry, pick.doubled, options.persistence);
  try {
    if (options.arrivals.kind === 'closed') {
      return await runClosed(picks, submit, options.arrivals.callers);
    }
    const startedAt = performance.now();
    return await Promise.all(
      picks.map(async pick => {
        await sleepFor(startedAt + pick.plan.atMs - performance.now());
        return submit(pick);
      }),
    );
  } finally {
    await caller[Symbol.asyncDispose]();
  }
}

async function runClosed<Pick>(
  picks: readonly Pick[],
  submit: (pick: Pick) => Promise<JobRecord>,
  callers: number,
): Promise<readonly JobRecord[]> {
  const records: JobRecord[] = [];
  const rest = picks.values();
  const runOne = async () => {
    for (const pick of rest) records.push(await submit(pick));
  };
  await Promise.all(Array.from({length: callers}, runOne));
  return records;
}

async function submitOne(
  caller: Caller,
  plan: PlannedJob,
  entry: number,
  doubled: boolean,
  persistence: Persistence,
): Promise<JobRecord> {
  const submissions = [caller.submit(plan, entry, persistence)];
  if (doubled) submissions.push(caller.submit(plan, entry + 1, persistence));
  const records = await Promise.all(submissions);
  const attempts = records
    .flatMap(record => record.attempts)
    .sort((a, b) => a.endedAt - b.endedAt);
  return {plan, attempts};
}
