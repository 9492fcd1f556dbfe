import type {JobRecord} from './caller.js';
import {type OutcomeCounts, countOutcomes} from './check.js';
import {measureCosts, type RoleCosts, type SiteCosts} from './costs.js';
import {useTempFolder} from './folder.js';
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
import {countPlacementOverhead} from './tap.js';
import {sleepFor} from './wait.js';

/** Results of one load on one site. */
export interface Measurement {
  readonly counts: OutcomeCounts;
  readonly tasks: number;
  readonly elapsedMs: number;
  readonly response: LatencySummary;
  /** Response time minus the run time of the job's longest task at speed factor 1, in ms. */
  readonly overIdeal: LatencySummary;
  /** Messages per job that `countPlacementOverhead` counts; unset without proxies, which count them. */
  readonly wastedPerJob: number | undefined;
  /** Resource use of all processes of each role during the load; memory is as of its end. */
  readonly usage: RoleCosts;
  readonly costs: SiteCosts;
}

const settleMs = 1000;
const retryPolicy = {maxAttempts: 6, maxPauseMs: 1000};

/** Starts a site and measures it under a load, after a warm-up with `warmUpJobs` jobs of the same kind. */
export function measureLoad(
  overrides: Partial<SiteOptions>,
  load: LoadOptions,
  warmUpJobs: number,
): Promise<Measurement> {
  return useTempFolder('bench', data =>
    measureSite(describeSite(data, overrides), load, warmUpJobs),
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
  const wastedBefore = sumWastedMessages(site);
  let records: readonly JobRecord[] = [];
  const costs = await measureCosts(site, async () => {
    records = await submitLoad(site, load);
  });
  const wasted = sumWastedMessages(site) - wastedBefore;
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

/** Starts a site, lets it settle, and measures its resource use during an operation. */
export function measureOperation(
  overrides: Partial<SiteOptions>,
  operation: (site: Site) => Promise<unknown>,
): Promise<SiteCosts> {
  return useTempFolder('bench', async data => {
    await using site = await Site.start(describeSite(data, overrides));
    await site.waitUntilReady();
    await sleepFor(settleMs);
    return await measureCosts(site, () => operation(site));
  });
}

function submitLoad(site: Site, load: LoadOptions) {
  return runLoad(planLoad(load), {
    entries: site.entryUrls,
    seed: load.seed,
    arrivals: load.arrivals,
    retryPolicy,
    duplicateShare: 0,
  });
}

function sumWastedMessages(site: Site): number {
  return site
    .list('agent')
    .reduce(
      (sum, {proxy}) => sum + (proxy ? countPlacementOverhead(proxy.tap) : 0),
      0,
    );
}
