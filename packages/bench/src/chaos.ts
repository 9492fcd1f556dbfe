import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {request} from 'undici';
import type {JobRecord} from './caller.js';
import {
  type OutcomeCounts,
  countOutcomes,
  countReasons,
  hasNoViolations,
} from './check.js';
import {
  type ChaosOptions,
  planChaos,
  type DisruptionStep,
} from './chaos-plan.js';
import {readJournal} from './journal.js';
import {type LoadOptions, planLoad} from './load.js';
import {checkRaces, readHistory} from './operator.js';
import {runLoad} from './run-load.js';
import {FaultInjector} from './fault-injector.js';
import {Site} from './site.js';
import {describeSite} from './site-options.js';
import {VersionMonitor} from './version-monitor.js';

export interface ChaosRun {
  readonly seed: number;
  readonly steps: readonly DisruptionStep[];
  readonly counts: OutcomeCounts;
  /** Submissions by outcome and reason. */
  readonly reasons: ReadonlyMap<string, number>;
  /** Configuration changes accepted during the run. */
  readonly accepted: number;
  /** Violated guarantees, unexpected exits and failures to recover; empty when the run passed. */
  readonly faults: readonly string[];
}

const spanMs = 8000;
const maxDisruptionMs = 5000;
const readyLimitMs = 30_000;
const recoveryLimitMs = 30_000;

/** Short leases, so that several expire during one run. */
const leases = {
  entry_lease_ms: 1500,
  target_lease_ms: 2500,
  renewal_interval_ms: 400,
  clock_margin_ms: 200,
};

const retryPolicy = {maxAttempts: 8, maxPauseMs: 1000};

/** Runs a site under load with disruptions derived from the seed, and checks the guarantees. */
export async function runChaos(
  data: string,
  seed: number,
  disruptions: number,
): Promise<ChaosRun> {
  await using site = await Site.start(
    describeSite(data, {proxied: true, leases, drainMs: 12_000}),
  );
  await site.waitUntilReady(readyLimitMs);
  const steps = planChaos(describeOptions(site, seed, disruptions));
  const load = describeLoad(seed);
  const injector = new FaultInjector(site, `chaos-${seed}`);
  const monitor = new VersionMonitor(site);
  const [records] = await Promise.all([
    runLoad(planLoad(load), {
      entries: site.entryUrls,
      seed,
      arrivals: load.arrivals,
      retryPolicy,
      duplicateShare: 0.3,
    }),
    injector.execute(steps),
  ]);
  writeRecords(join(data, 'records'), records);
  await injector.repair();
  const recovery = await checkRecovery(site, seed);
  await monitor[Symbol.asyncDispose]();
  const history = await readHistory(site);
  const counts = countOutcomes(readJournal(site.journal), records);
  const faults = [
    ...(hasNoViolations(counts) ? [] : counts.violations),
    ...monitor.regressions.map(
      ({process, from, to}) =>
        `${process}: version ${from} was followed by older version ${to}`,
    ),
    ...checkRaces(injector.races, history ?? []),
    ...injector.badExits,
    ...recovery,
  ];
  const accepted = injector.races.flatMap(race => race.accepted).length;
  const reasons = countReasons(records);
  return {seed, steps, counts, reasons, accepted, faults};
}

/** Writes one JSON line per submission, for diagnosing a fault. */
function writeRecords(path: string, records: readonly JobRecord[]): void {
  const lines = records.flatMap(({plan, attempts}) =>
    attempts.map(({outcome, ...attempt}) => {
      const {key, job, service, tasks} = plan;
      const shown = outcome.kind === 'complete' ? {kind: 'complete'} : outcome;
      return JSON.stringify({
        key,
        job,
        service,
        tasks: tasks.length,
        ...attempt,
        ...shown,
      });
    }),
  );
  writeFileSync(path, lines.join('\n'));
}

function describeOptions(
  site: Site,
  seed: number,
  disruptions: number,
): ChaosOptions {
  const listNames = (role: 'control' | 'entry' | 'agent') =>
    site.list(role).map(({name}) => name);
  return {
    seed,
    disruptions,
    spanMs,
    maxDisruptionMs,
    names: {
      control: listNames('control'),
      entry: listNames('entry'),
      agent: listNames('agent'),
    },
  };
}

function describeLoad(seed: number): LoadOptions {
  return {
    seed,
    jobs: 120,
    arrivals: {kind: 'poisson', jobsPerSecond: 15},
    services: ['tally', 'renewal'],
    teams: ['herd-registry', 'licensing'],
    minTasks: 1,
    maxTasks: 12,
    minTaskMs: 5,
    maxTaskMs: 300,
    deadlineMs: 8000,
    unrepeatableShare: 0.3,
    failingShare: 0.02,
    declaredErrorFactor: 5,
  };
}

/** Lists the outcomes of a job without a complete answer; empty for other jobs. */
function describeIncomplete({plan, attempts}: JobRecord): readonly string[] {
  if (attempts.some(({outcome}) => outcome.kind === 'complete')) return [];
  const outcomes = attempts.map(({outcome}) => JSON.stringify(outcome));
  return [`${plan.service} ${plan.key}: ${outcomes.join(', ')}`];
}

/** Describes the `pools` in an entry's status. */
async function describeEntry(url: string): Promise<string> {
  const response = await request(`${url}/v1/status`);
  const status = (await response.body.json()) as {readonly pools: unknown};
  return `pools of ${url}: ${JSON.stringify(status.pools)}`;
}

/** Runs jobs after the repair and lists what still fails. */
async function checkRecovery(
  site: Site,
  seed: number,
): Promise<readonly string[]> {
  try {
    await site.waitUntilReady(recoveryLimitMs);
  } catch (error) {
    return [`no recovery: ${(error as Error).message}`];
  }
  const probe = planLoad({
    ...describeLoad(-seed - 1),
    jobs: 10,
    failingShare: 0,
  });
  const records = await runLoad(probe, {
    entries: site.entryUrls,
    seed,
    arrivals: {kind: 'closed', callers: 2},
    retryPolicy,
    duplicateShare: 0,
  });
  const {complete, jobs} = countOutcomes(readJournal(site.journal), records);
  if (complete === jobs) return [];
  return [
    `no recovery: ${complete} of ${jobs} jobs complete after the repair`,
    ...records.flatMap(describeIncomplete),
    ...(await Promise.all(site.entryUrls.map(describeEntry))),
  ];
}
