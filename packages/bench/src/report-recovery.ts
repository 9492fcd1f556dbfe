import {loadavg} from 'node:os';
import {failUnreachable} from '#model';
import {describeBenchLoad} from './bench-load.js';
import type {JobRecord} from './caller.js';
import {countOutcomes} from './check.js';
import {useTempFolder} from './folder.js';
import {readJournal} from './journal.js';
import {findLeader} from './leader.js';
import {planLoad} from './load.js';
import type {RecoveryRow, Victim} from './report-row.js';
import {runLoad} from './run-load.js';
import {Site} from './site.js';
import {describeExecutor, describeSite} from './site-options.js';
import {sleepFor} from './wait.js';

const loadDurationMs = 20_000;
const killedAtMs = 6000;
const restartedAtMs = 12_000;
const binMs = 500;
const targetCount = 5;
const jobsPerSecond = 40;
const msPerSecond = 1000;

/** Kills and restarts a process under a steady load and measures the throughput that callers see. */
export function measureRecovery(
  victim: Victim,
  seed: number,
): Promise<RecoveryRow> {
  return useTempFolder('recovery', data => measureSite(data, victim, seed));
}

async function measureSite(
  data: string,
  victim: Victim,
  seed: number,
): Promise<RecoveryRow> {
  await using site = await Site.start(
    describeSite(data, {
      targets: Array.from({length: targetCount}, () =>
        describeExecutor('tally'),
      ),
    }),
  );
  await site.waitUntilReady();
  const startedAt = performance.now();
  const [records] = await Promise.all([
    submitLoad(site, seed),
    killAndRestart(site, victim),
  ]);
  const counts = countOutcomes(readJournal(site.journal), records);
  return {
    kind: 'recovery',
    victim,
    seed,
    killedAtMs,
    restartedAtMs,
    binMs,
    finished: computeCompletionRates(records, startedAt),
    jobs: counts.jobs,
    complete: counts.complete,
    unknown: counts.unknown,
    loadAverage: loadavg()[0]!,
  };
}

function submitLoad(site: Site, seed: number): Promise<readonly JobRecord[]> {
  const load = describeBenchLoad('tally', {
    seed,
    jobs: (jobsPerSecond * loadDurationMs) / msPerSecond,
    arrivals: {kind: 'poisson', jobsPerSecond},
    maxTasks: 8,
    minTaskMs: 20,
    maxTaskMs: 100,
    deadlineMs: 10_000,
  });
  return runLoad(planLoad(load), {
    entries: site.entryUrls,
    seed,
    arrivals: load.arrivals,
    retryPolicy: {maxAttempts: 8, maxPauseMs: 500},
    duplicateShare: 0,
  });
}

async function killAndRestart(site: Site, victim: Victim): Promise<void> {
  await sleepFor(killedAtMs);
  const name = await findVictim(site, victim);
  await site.kill(name, 'SIGKILL');
  await sleepFor(restartedAtMs - killedAtMs);
  await site.restart(name);
}

async function findVictim(site: Site, victim: Victim): Promise<string> {
  switch (victim) {
    case 'agent':
    case 'entry':
      return site.list(victim)[0]!.name;
    case 'control leader':
      return (await findLeader(site)).name;
    default:
      return failUnreachable(victim);
  }
}

/** Returns the rate in tasks per second of complete jobs for each time bin of the load. */
function computeCompletionRates(
  records: readonly JobRecord[],
  startedAt: number,
): readonly number[] {
  const bins = Array.from({length: loadDurationMs / binMs}, () => 0);
  for (const {plan, attempts} of records) {
    const done = attempts.find(({outcome}) => outcome.kind === 'complete');
    if (done === undefined) continue;
    const bin = Math.floor((done.endedAt - startedAt) / binMs);
    if (bin < bins.length) bins[bin]! += plan.tasks.length;
  }
  return bins.map(count => (count * msPerSecond) / binMs);
}
