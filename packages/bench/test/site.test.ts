import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import {
  countOutcomes,
  describeExecutor,
  describeSite,
  describeWorker,
  findFinalOutcome,
  hasNoViolations,
  type LoadOptions,
  planLoad,
  raceChanges,
  readJournal,
  replaceControl,
  runChaos,
  runLoad,
  Site,
  type SiteOptions,
} from '#bench';

/** The limit of the wait for a site; no assertion depends on it. */
const maxWaitMs = 60_000;

const load: LoadOptions = {
  seed: 5,
  jobs: 40,
  arrivals: {kind: 'poisson', jobsPerSecond: 20},
  services: ['tally', 'renewal'],
  teams: ['herd-registry'],
  minTasks: 1,
  maxTasks: 10,
  minTaskMs: 5,
  maxTaskMs: 100,
  deadlineMs: 30_000,
  unrepeatableShare: 0.3,
  failingShare: 0,
  declaredErrorFactor: 2,
};

function makeFolder(): string {
  return mkdtempSync(join(tmpdir(), 'wasabiring-test-'));
}

async function startSite(overrides: Partial<SiteOptions> = {}): Promise<Site> {
  const site = await Site.start(
    describeSite(makeFolder(), {
      targets: [describeExecutor('tally'), describeWorker('renewal')],
      proxied: true,
      ...overrides,
    }),
  );
  try {
    await site.waitUntilReady(maxWaitMs);
  } catch (error) {
    await site[Symbol.asyncDispose]();
    throw error;
  }
  return site;
}

/**
 * Runs the load, with some jobs submitted to two entries at once, and injects the fault after as
 * many task starts as there are jobs. Returns the counted outcomes.
 */
async function checkLoad(site: Site, injectFault: () => unknown) {
  const running = runLoad(planLoad(load), {
    entries: site.entryUrls,
    seed: load.seed,
    arrivals: load.arrivals,
    retryPolicy: {maxAttempts: 20, maxPauseMs: 1000},
    duplicateShare: 0.5,
  });
  while (readJournal(site.journal).length < load.jobs) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  await injectFault();
  const records = await running;
  const incomplete = records
    .filter(record => findFinalOutcome(record).kind !== 'complete')
    .map(({plan, attempts}) => ({
      job: plan.key,
      service: plan.service,
      attempts: attempts.map(({entry, outcome}) => ({entry, outcome})),
    }));
  const counts = countOutcomes(readJournal(site.journal), records);
  return {...counts, incomplete: JSON.stringify(incomplete)};
}

test.serial(
  'every job completes although connections go silent permanently',
  async t => {
    await using site = await startSite();
    const counts = await checkLoad(site, () => {
      for (const {proxy} of site.members) proxy!.swallowOpen();
    });
    t.deepEqual(counts.violations, []);
    t.is(counts.complete, load.jobs, counts.incomplete);
  },
);

test.serial(
  'killing an entry starts no task twice and leaves no job unanswered',
  async t => {
    await using site = await startSite();
    const counts = await checkLoad(site, async () => {
      await site.kill('entry-0', 'SIGKILL');
      await site.restart('entry-0');
    });
    t.deepEqual(counts.violations, []);
    t.true(hasNoViolations(counts));
    t.is(counts.unanswered, 0);
  },
);

test.serial(
  'a draining entry exits with code 0 and interrupts no request',
  async t => {
    await using site = await startSite();
    const counts = await checkLoad(site, async () => {
      t.deepEqual(await site.kill('entry-0', 'SIGTERM'), {
        kind: 'code',
        code: 0,
      });
      await site.restart('entry-0');
    });
    t.deepEqual(counts.violations, []);
    t.is(counts.complete, load.jobs, counts.incomplete);
  },
);

test.serial(
  'losing a second control after replacing the first loses no job',
  async t => {
    await using site = await startSite();
    const counts = await checkLoad(site, async () => {
      await site.kill('control-2', 'SIGKILL');
      await replaceControl(site, 'control-2', 'control-3');
      await site.kill('control-0', 'SIGKILL');
    });
    t.deepEqual(counts.violations, []);
    t.is(counts.complete, load.jobs, counts.incomplete);
    const race = await raceChanges(site, 2, 'after');
    t.is(race?.accepted.length, 1);
  },
);

test.serial('a seeded chaos run violates no guarantee', async t => {
  const run = await runChaos(makeFolder(), 2, 4);
  t.deepEqual(run.faults, []);
});
