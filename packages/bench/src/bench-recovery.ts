import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {deriveJobId, failUnreachable} from '#model';
import {askPeer} from './ask.js';
import {type Attempt, Caller, type JobRecord, type Outcome} from './caller.js';
import {countOutcomes} from './check.js';
import {dropTraffic, restoreTraffic} from './isolation.js';
import {readJournal} from './journal.js';
import {summarizeTimes} from './latency.js';
import {buildEcho, type PlannedJob} from './load.js';
import {Site} from './site.js';
import {describeExecutor, describeSite} from './site-options.js';
import {formatTable} from './table.js';
import {sleepFor, waitUntil} from './wait.js';

const repetitions = 4;
const team = 'herd-registry';
const entryLeaseMs = 3000;
const targetLeaseMs = 6000;
const waitTimeoutMs = 60_000;
const jobsInFlight = 12;
const tasksPerJob = 4;
const taskMs = 300;
/** Lets the effects of a failure end and a restarted process become known to the others. */
const settleMs = 1500;
const retryIntervalMs = 50;
const deadlineMs = 30_000;
/** Reasons for which an unknown outcome stays unknown. */
const finalReasons = ['target-lost', 'owner-lost', 'answer-expired'];

type Failure =
  | {readonly kind: 'none'}
  | {readonly kind: 'kill'; readonly signal: 'SIGKILL' | 'SIGTERM'}
  | {readonly kind: 'freeze'}
  | {readonly kind: 'cut-off'};

interface Scenario {
  readonly name: string;
  readonly failure: Failure;
  readonly chooseProcess: (site: Site) => Promise<string>;
}

const scenarios: readonly Scenario[] = [
  {
    name: 'none',
    failure: {kind: 'none'},
    chooseProcess: async () => 'entry-0',
  },
  {
    name: 'agent killed',
    failure: {kind: 'kill', signal: 'SIGKILL'},
    chooseProcess: async () => 'tally-0',
  },
  {
    name: 'entry killed',
    failure: {kind: 'kill', signal: 'SIGKILL'},
    chooseProcess: async () => 'entry-0',
  },
  {
    name: 'entry frozen',
    failure: {kind: 'freeze'},
    chooseProcess: async () => 'entry-0',
  },
  {
    name: 'control follower killed',
    failure: {kind: 'kill', signal: 'SIGKILL'},
    chooseProcess: site => findControl(site, 'follower'),
  },
  {
    name: 'control leader killed',
    failure: {kind: 'kill', signal: 'SIGKILL'},
    chooseProcess: site => findControl(site, 'leader'),
  },
  {
    name: 'control leader drained',
    failure: {kind: 'kill', signal: 'SIGTERM'},
    chooseProcess: site => findControl(site, 'leader'),
  },
  {
    name: 'control leader cut off',
    failure: {kind: 'cut-off'},
    chooseProcess: site => findControl(site, 'leader'),
  },
];

/** Recovery times of the site after one failure, in ms. */
interface Recovery {
  /** From the failure until a job submitted after it at the surviving entry was complete. */
  readonly newJobMs: number;
  /** From the failure until every job in flight at that moment had its final outcome. */
  readonly inFlightMs: number;
  readonly records: readonly JobRecord[];
}

/** Measures how long jobs wait after each kind of failure, in ms and in entry leases. */
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
  await runScenario(site, caller, 'warm-up', doNothing, doNothing);
  console.log(
    `leases: entries ${entryLeaseMs} ms, targets ${targetLeaseMs} ms`,
  );
  const rows: string[][] = [];
  for (const scenario of scenarios) {
    rows.push([
      scenario.name,
      ...(await repeatScenario(site, caller, scenario)),
    ]);
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

async function repeatScenario(
  site: Site,
  caller: Caller,
  {name, failure, chooseProcess}: Scenario,
): Promise<readonly string[]> {
  const recoveries: Recovery[] = [];
  for (let i = 0; i < repetitions; i++) {
    const victim = await chooseProcess(site);
    const label = `${name}-${i}`.replaceAll(' ', '-');
    recoveries.push(
      await runScenario(
        site,
        caller,
        label,
        () => injectFailure(site, victim, failure),
        () => repairFailure(site, victim, failure),
      ),
    );
  }
  const records = recoveries.flatMap(recovery => recovery.records);
  const counts = countOutcomes(readJournal(site.journal), records);
  return [
    ...formatTimes(recoveries.map(({newJobMs}) => newJobMs)),
    ...formatTimes(recoveries.map(({inFlightMs}) => inFlightMs)),
    `${counts.complete} of ${counts.jobs}`,
    String(counts.unknown),
    String(counts.violations.length),
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

/** Injects a failure while jobs are in flight at both entries, and measures the recovery. */
async function runScenario(
  site: Site,
  caller: Caller,
  label: string,
  inject: () => Promise<unknown>,
  repair: () => Promise<unknown>,
): Promise<Recovery> {
  const plans = Array.from({length: jobsInFlight}, (_, i) =>
    planJob(`${label}-in-hand-${i}`),
  );
  const before = readJournal(site.journal).length;
  const originals = plans.map((plan, i) =>
    submitUntilFinal(caller, plan, site.entryUrls[i % 2]!),
  );
  await waitUntil('jobs are in flight', waitTimeoutMs, () => {
    return readJournal(site.journal).length >= before + 2 * tasksPerJob;
  });
  const failedAt = performance.now();
  const injected = inject();
  const survivor = site.entryUrls[1]!;
  const resubmissions = plans.map(plan =>
    submitUntilFinal(caller, plan, survivor),
  );
  const elapsedUntilAnswered = Promise.all(
    originals.map((submission, i) =>
      Promise.race([submission, resubmissions[i]]),
    ),
  ).then(() => performance.now() - failedAt);
  const newRecords = await submitNewJobs(caller, label, survivor);
  const newJobMs = performance.now() - failedAt;
  const inFlightMs = await elapsedUntilAnswered;
  await injected;
  await repair();
  const records = await Promise.all([...originals, ...resubmissions]);
  return {
    newJobMs,
    inFlightMs,
    records: [...joinByJob(records), ...newRecords],
  };
}

/** Submits new jobs one after another until one completes. */
async function submitNewJobs(
  caller: Caller,
  label: string,
  entry: string,
): Promise<readonly JobRecord[]> {
  const records: JobRecord[] = [];
  for (;;) {
    const plan = planJob(`${label}-fresh-${records.length}`);
    const record = await submitUntilFinal(caller, plan, entry);
    records.push(record);
    if (record.attempts.at(-1)!.outcome.kind === 'complete') return records;
  }
}

/** Submits a job at one entry until its outcome is final. */
async function submitUntilFinal(
  caller: Caller,
  plan: PlannedJob,
  entry: string,
): Promise<JobRecord> {
  const attempts: Attempt[] = [];
  for (;;) {
    const attempt = await caller.tryOnce(plan, entry);
    attempts.push(attempt);
    if (isFinal(attempt.outcome)) return {plan, attempts};
    await sleepFor(retryIntervalMs);
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

async function injectFailure(
  site: Site,
  name: string,
  failure: Failure,
): Promise<void> {
  switch (failure.kind) {
    case 'none':
      return;
    case 'kill':
      await site.kill(name, failure.signal);
      return;
    case 'freeze':
      await site.kill(name, 'SIGSTOP');
      return;
    case 'cut-off':
      dropTraffic(site, name);
      return;
    default:
      failUnreachable(failure);
  }
}

/** Undoes a failure and waits until the site is ready again. */
async function repairFailure(
  site: Site,
  name: string,
  failure: Failure,
): Promise<void> {
  switch (failure.kind) {
    case 'none':
      break;
    case 'kill':
      await site.restart(name);
      break;
    case 'freeze':
      await site.kill(name, 'SIGCONT');
      break;
    case 'cut-off':
      restoreTraffic(site, name);
      break;
    default:
      failUnreachable(failure);
  }
  await site.waitUntilReady(waitTimeoutMs);
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
    await sleepFor(retryIntervalMs);
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
      payload: {sleepMs: taskMs, echo: buildEcho(key, task)},
      expectedMs: taskMs,
    })),
  };
}
