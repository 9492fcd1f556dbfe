import type {JobRecord} from './caller.js';
import {type Counts, countOutcomes} from './check.js';
import {measureCosts, type RoleCosts, type SiteCosts} from './costs.js';
import {lendFolder} from './folder.js';
import {readJournal} from './journal.js';
import {
  computeIdealMs,
  type LatencySummary,
  measureResponse,
  summarizeTimes,
} from './latency.js';
import {type LoadOptions, planLoad} from './load.js';
import {runLoad} from './run-load.js';
import {Site} from './site.js';
import {describeSite, type SiteOptions} from './site-options.js';
import {countWasted} from './tap.js';
import {sleepFor} from './wait.js';

/** What one load on one site came to. */
export interface Measurement {
  readonly counts: Counts;
  readonly tasks: number;
  readonly elapsedMs: number;
  readonly response: LatencySummary;
  /** Response time less the time of the job's longest task at pace 1, in ms. */
  readonly overIdeal: LatencySummary;
  /** Unset without proxies, which count the messages. */
  readonly wastedPerJob: number | undefined;
  /** What all the processes of a role used during the load; memory at its end. */
  readonly usage: RoleCosts;
  readonly costs: SiteCosts;
}

const settleMs = 1000;
const persistence = {maxAttempts: 6, maxPauseMs: 1000};

/** Starts a site, submits a load, and measures; warms up with a part of the same kind of load. */
export function measureLoad(
  changes: Partial<SiteOptions>,
  load: LoadOptions,
  warmUpJobs: number,
): Promise<Measurement> {
  return lendFolder('bench', data =>
    measureSite(describeSite(data, changes), load, warmUpJobs),
  );
}

async function measureSite(
  options: SiteOptions,
  load: LoadOptions,
  warmUpJobs: number,
): Promise<Measurement> {
  await using site = await Site.start(options);
  await site.waitUntilReady();
  await submitLoad(site, {
    ...load,
    seed: load.seed + 1_000_000,
    jobs: warmUpJobs,
  });
  await sleepFor(settleMs);
  const wastedBefore = sumWasted(site);
  let records: readonly JobRecord[] = [];
  const costs = await measureCosts(site, async () => {
    records = await submitLoad(site, load);
  });
  const wasted = sumWasted(site) - wastedBefore;
  const responses = records.map(record => ({
    record,
    ms: measureResponse(record),
  }));
  const complete = responses.flatMap(({record, ms}) =>
    ms === undefined ? [] : [{ms, overMs: ms - computeIdealMs(record)}],
  );
  return {
    counts: countOutcomes(readJournal(site.journal), records),
    tasks: records.reduce((sum, {plan}) => sum + plan.tasks.length, 0),
    elapsedMs: costs.elapsedMs,
    response: summarizeTimes(complete.map(({ms}) => ms)),
    overIdeal: summarizeTimes(complete.map(({overMs}) => overMs)),
    wastedPerJob: options.proxied ? wasted / records.length : undefined,
    usage: costs.roles,
    costs,
  };
}

/** Measures what a site costs while something is done with it, once it has settled. */
export function measureActing(
  changes: Partial<SiteOptions>,
  act: (site: Site) => Promise<unknown>,
): Promise<SiteCosts> {
  return lendFolder('bench', async data => {
    await using site = await Site.start(describeSite(data, changes));
    await site.waitUntilReady();
    await sleepFor(settleMs);
    return await measureCosts(site, () => act(site));
  });
}

function submitLoad(site: Site, load: LoadOptions) {
  return runLoad(planLoad(load), {
    entries: site.entryUrls,
    seed: load.seed,
    arrivals: load.arrivals,
    persistence,
    doubledShare: 0,
  });
}

function sumWasted(site: Site): number {
  return site
    .list('agent')
    .reduce((sum, {proxy}) => sum + (proxy ? countWasted(proxy.tap) : 0), 0);
}
