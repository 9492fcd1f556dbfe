import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {deriveJobId, failUnreachable} from '#model';
import {askPeer} from './ask.js';
import {type Attempt, Caller, type JobRecord, type Outcome} from './caller.js';
import {countOutcomes} from './check.js';
import {cutOff, reconnect} from './isolation.js';
import {readJournal} from './journal.js';
import {summarizeTimes} from './latency.js';
import {nameEcho, type PlannedJob} from './load.js';
import {Site} from './site.js';
import {describeExecutor, describeSite} from './site-options.js';
import {formatTable} from './table.js';
import {sleepFor, waitUntil} from './wait.js';

const repetitions = 4;
const team = 'herd-registry';
const entryLeaseMs = 3000;
const targetLeaseMs = 6000;
const waitLimitMs = 60_000;
const jobsInHand = 12;
const tasksPerJob = 4;
const taskMs = 300;
/** Long enough that what failed is over, and what was started again is back in the view. */
const settleMs = 1500;
const retryPauseMs = 50;
const deadlineMs = 30_000;
/** An unknown fate for these reasons stays unknown. */
const finalReasons = ['target-lost', 'owner-lost', 'answer-expired'];

type Loss =
  | {readonly kind: 'none'}
  | {readonly kind: 'kill'; readonly signal: 'SIGKILL' | 'SIGTERM'}
  | {readonly kind: 'freeze'}
  | {readonly kind: 'cut-off'};

interface Trial {
  readonly name: string;
  readonly loss: Loss;
  readonly choose: (site: Site) => Promise<string>;
}

const trials: readonly Trial[] = [
  {
    name: 'none',
    loss: {kind: 'none'},
    choose: async () => 'entry-0',
  },
  {
    name: 'agent killed',
    loss: {kind: 'kill', signal: 'SIGKILL'},
    choose: async () => 'tally-0',
  },
  {
    name: 'entry killed',
    loss: {kind: 'kill', signal: 'SIGKILL'},
    choose: async () => 'entry-0',
  },
  {
    name: 'entry frozen',
    loss: {kind: 'freeze'},
    choose: async () => 'entry-0',
  },
  {
    name: 'control follower killed',
    loss: {kind: 'kill', signal: 'SIGKILL'},
    choose: site => findControl(site, 'follower'),
  },
  {
    name: 'control leader killed',
    loss: {kind: 'kill', signal: 'SIGKILL'},
    choose: site => findControl(site, 'leader'),
  },
  {
    name: 'control leader drained',
    loss: {kind: 'kill', signal: 'SIGTERM'},
    choose: site => findControl(site, 'leader'),
  },
  {
    name: 'control leader cut off',
    loss: {kind: 'cut-off'},
    choose: site => findControl(site, 'leader'),
  },
];

/** How long the site took after one loss, in ms. */
interface Recovery {
  /** Until a job that was submitted after the loss at a survivor was complete. */
  readonly freshMs: number;
  /** Until every job in hand at the loss had its answer. */
  readonly inHandMs: number;
  readonly records: readonly JobRecord[];
}

/** Measures how long jobs wait after each kind of loss, in leases. */
export async function measureRecovery(): Promise<void> {
  const data = mkdtempSync(join(tmpdir(), 'wasabiring-recovery-'));
  await measureSite(data);
  rmSync(data, {recursive: true});
}

async function measureSite(data: string): Promise<void> {
  await using site = await Site.start(
    describeSite(data, {
      proxied: true,
      targets: [describeExecutor('tally'), describeExecutor('tally')],
      leases: {
        entry_lease_ms: entryLeaseMs,
        target_lease_ms: targetLeaseMs,
      },
    }),
  );
  await site.waitUntilReady();
  await using caller = new Caller(site.entryUrls);
  const doNothing = async () => {};
  await runTrial(site, caller, 'warm-up', doNothing, doNothing);
  console.log(
    `leases: entries ${entryLeaseMs} ms, targets ${targetLeaseMs} ms`,
  );
  const rows: string[][] = [];
  for (const trial of trials) {
    rows.push([trial.name, ...(await repeatTrial(site, caller, trial))]);
  }
  console.log(formatTable([heading, ...rows]));
}

const heading = [
  'lost',
  'fresh p50 ms',
  'max ms',
  'max entry leases',
  'in hand p50 ms',
  'max ms',
  'max entry leases',
  'complete',
  'unknown',
  'broken',
];

async function repeatTrial(
  site: Site,
  caller: Caller,
  {name, loss, choose}: Trial,
): Promise<readonly string[]> {
  const recoveries: Recovery[] = [];
  for (let i = 0; i < repetitions; i++) {
    const victim = await choose(site);
    const label = `${name}-${i}`.replaceAll(' ', '-');
    recoveries.push(
      await runTrial(
        site,
        caller,
        label,
        () => lose(site, victim, loss),
        () => repair(site, victim, loss),
      ),
    );
  }
  const records = recoveries.flatMap(recovery => recovery.records);
  const counts = countOutcomes(readJournal(site.journal), records);
  return [
    ...formatTimes(recoveries.map(({freshMs}) => freshMs)),
    ...formatTimes(recoveries.map(({inHandMs}) => inHandMs)),
    `${counts.complete} of ${counts.jobs}`,
    String(counts.unknown),
    String(counts.offences.length),
  ];
}

function formatTimes(times: readonly number[]): readonly string[] {
  const {p50Ms, maxMs} = summarizeTimes(times);
  return [
    p50Ms.toFixed(0),
    maxMs.toFixed(0),
    (maxMs / entryLeaseMs).toFixed(1),
  ];
}

/** Loses a process while jobs of both entries are in hand, and times what follows. */
async function runTrial(
  site: Site,
  caller: Caller,
  label: string,
  strike: () => Promise<unknown>,
  repair: () => Promise<unknown>,
): Promise<Recovery> {
  const plans = Array.from({length: jobsInHand}, (_, i) =>
    planJob(`${label}-in-hand-${i}`),
  );
  const before = readJournal(site.journal).length;
  const first = plans.map((plan, i) =>
    submitAt(caller, plan, site.entryUrls[i % 2]!),
  );
  await waitUntil('jobs are in hand', waitLimitMs, () => {
    return readJournal(site.journal).length >= before + 2 * tasksPerJob;
  });
  const lostAt = performance.now();
  const struck = strike();
  const survivor = site.entryUrls[1]!;
  const again = plans.map(plan => submitAt(caller, plan, survivor));
  const answered = Promise.all(
    first.map((submission, i) => Promise.race([submission, again[i]])),
  ).then(() => performance.now() - lostAt);
  const fresh = await submitFresh(caller, label, survivor);
  const freshMs = performance.now() - lostAt;
  const inHandMs = await answered;
  await struck;
  await repair();
  const records = await Promise.all([...first, ...again]);
  return {freshMs, inHandMs, records: [...joinByJob(records), ...fresh]};
}

/** Submits new jobs one after another until one is complete. */
async function submitFresh(
  caller: Caller,
  label: string,
  entry: string,
): Promise<readonly JobRecord[]> {
  const records: JobRecord[] = [];
  for (;;) {
    const plan = planJob(`${label}-fresh-${records.length}`);
    const record = await submitAt(caller, plan, entry);
    records.push(record);
    if (record.attempts.at(-1)!.outcome.kind === 'complete') return records;
  }
}

/** Submits a job at one entry until it is answered for good. */
async function submitAt(
  caller: Caller,
  plan: PlannedJob,
  entry: string,
): Promise<JobRecord> {
  const attempts: Attempt[] = [];
  for (;;) {
    const attempt = await caller.tryOnce(plan, entry);
    attempts.push(attempt);
    if (isFinal(attempt.outcome)) return {plan, attempts};
    await sleepFor(retryPauseMs);
  }
}

function isFinal(outcome: Outcome): boolean {
  switch (outcome.kind) {
    case 'complete':
    case 'failed':
      return true;
    case 'unknown':
      return finalReasons.includes(outcome.reason);
    case 'not-run':
    case 'unanswered':
      return false;
    default:
      return failUnreachable(outcome);
  }
}

function joinByJob(records: readonly JobRecord[]): readonly JobRecord[] {
  const joined = new Map<string, JobRecord>();
  for (const {plan, attempts} of records) {
    const known = joined.get(plan.key)?.attempts ?? [];
    const all = [...known, ...attempts].sort((a, b) => a.endedAt - b.endedAt);
    joined.set(plan.key, {plan, attempts: all});
  }
  return [...joined.values()];
}

async function lose(site: Site, name: string, loss: Loss): Promise<void> {
  switch (loss.kind) {
    case 'none':
      return;
    case 'kill':
      await site.kill(name, loss.signal);
      return;
    case 'freeze':
      await site.kill(name, 'SIGSTOP');
      return;
    case 'cut-off':
      cutOff(site, name);
      return;
    default:
      failUnreachable(loss);
  }
}

/** Ends the loss and waits until the site is whole again. */
async function repair(site: Site, name: string, loss: Loss): Promise<void> {
  switch (loss.kind) {
    case 'none':
      break;
    case 'kill':
      await site.restart(name);
      break;
    case 'freeze':
      await site.kill(name, 'SIGCONT');
      break;
    case 'cut-off':
      reconnect(site, name);
      break;
    default:
      failUnreachable(loss);
  }
  await site.waitUntilReady(waitLimitMs);
  await sleepFor(settleMs);
}

async function findControl(
  site: Site,
  role: 'leader' | 'follower',
): Promise<string> {
  for (;;) {
    for (const {name, plan} of site.list('control')) {
      const status = await askPeer(plan.listen, 'control.status', {});
      if (status?.role === role) return name;
    }
    await sleepFor(retryPauseMs);
  }
}

function planJob(key: string): PlannedJob {
  return {
    atMs: 0,
    key,
    job: deriveJobId(team, key),
    team,
    service: 'tally',
    deadlineMs,
    unrepeatable: false,
    tasks: Array.from({length: tasksPerJob}, (_, task) => ({
      payload: {sleepMs: taskMs, echo: nameEcho(key, task)},
      expectedMs: taskMs,
    })),
  };
}
