import {availableParallelism, loadavg} from 'node:os';
import {request} from 'undici';
import type {HistogramSummary} from '#telemetry';
import {describeBenchLoad} from './bench-load.js';
import {useTempFolder} from './folder.js';
import {planLoad} from './load.js';
import {measureLoad} from './measure.js';
import {measureRecovery} from './report-recovery.js';
import type {
  HistogramRow,
  PlacementRow,
  ReportRow,
  RunRow,
  Victim,
} from './report-row.js';
import {runLoad} from './run-load.js';
import {Site} from './site.js';
import {
  defaultConfiguration,
  describeExecutor,
  describeSite,
  describeWorker,
} from './site-options.js';

export interface ReportOptions {
  readonly seed: number;
  readonly repeats: number;
  /** Called with each row as soon as it is measured. */
  readonly onRow: (row: ReportRow) => void;
}

const policies = ['random', 'probe', 'credit'] as const;
const loads = [0.3, 0.6, 0.9];
const victims: readonly Victim[] = ['agent', 'entry', 'control leader'];
const runMs = 8000;
const msPerSecond = 1000;

/** Run time multiplier of each target; the slowest target takes ten times as long as the fastest. */
const speedFactors = Array.from({length: 10}, (_, i) => 10 ** (i / 9));
const slotsPerTarget = 8;
const minTaskMs = 20;
const maxTaskMs = 400;
const maxTasks = 9;

/**
 * Runs the experiments of the report in sequence, each on its own site. A failed experiment is
 * reported as a row, and the next one runs.
 */
export async function runReport({
  seed,
  repeats,
  onRow,
}: ReportOptions): Promise<void> {
  onRow(describeRun(seed, repeats));
  for (const {name, measure} of listExperiments(seed, repeats)) {
    const rows = await measure().catch(error => [
      {kind: 'failure' as const, experiment: name, detail: String(error)},
    ]);
    for (const row of rows) onRow(row);
  }
}

interface Experiment {
  readonly name: string;
  readonly measure: () => Promise<readonly ReportRow[]>;
}

function listExperiments(seed: number, repeats: number): readonly Experiment[] {
  const experiments: Experiment[] = [];
  for (let i = 0; i < repeats; i++) {
    for (const load of loads) {
      for (const policy of policies) {
        experiments.push({
          name: `${policy} at load ${load}, seed ${seed + i}`,
          measure: async () => [await measurePolicy(policy, load, seed + i)],
        });
      }
    }
  }
  experiments.push({
    name: 'histograms',
    measure: () => measureHistograms(seed),
  });
  for (const victim of victims) {
    experiments.push({
      name: `recovery of ${victim}`,
      measure: async () => [await measureRecovery(victim, seed)],
    });
  }
  return experiments;
}

function describeRun(seed: number, repeats: number): RunRow {
  return {
    kind: 'run',
    seed,
    repeats,
    startedAt: new Date().toISOString(),
    processors: availableParallelism(),
    loadAverage: loadavg()[0]!,
  };
}

async function measurePolicy(
  policy: (typeof policies)[number],
  load: number,
  seed: number,
): Promise<PlacementRow> {
  const {services} = defaultConfiguration;
  const tally = services['tally'] as object;
  const jobsPerSecond = computeJobsPerSecond(load);
  const measured = await measureLoad(
    {
      proxied: true,
      targets: speedFactors.map(factor => describeExecutor('tally', factor)),
      configuration: {
        ...defaultConfiguration,
        services: {...services, tally: {...tally, placement: policy}},
      },
    },
    describeBenchLoad('tally', {
      seed,
      jobs: Math.round((jobsPerSecond * runMs) / msPerSecond),
      arrivals: {kind: 'poisson', jobsPerSecond},
      maxTasks,
      minTaskMs,
      maxTaskMs,
      declaredErrorFactor: 5,
    }),
    20,
  );
  return {
    kind: 'placement',
    policy,
    load,
    seed,
    jobs: measured.counts.jobs,
    complete: measured.counts.complete,
    p50Ms: measured.overIdeal.p50Ms,
    p99Ms: measured.overIdeal.p99Ms,
    wastedPerJob: measured.wastedPerJob ?? 0,
    loadAverage: loadavg()[0]!,
  };
}

/** Computes the rate of jobs whose expected work is the given fraction of the capacity of all slots. */
function computeJobsPerSecond(load: number): number {
  const slots = speedFactors.reduce(
    (sum, factor) => sum + slotsPerTarget / factor,
    0,
  );
  const meanTaskMs = (maxTaskMs - minTaskMs) / Math.log(maxTaskMs / minTaskMs);
  const meanTasks = (1 + maxTasks) / 2;
  return (load * slots * msPerSecond) / (meanTasks * meanTaskMs);
}

/** Runs a load of two teams on two services and reads the entries' histograms. */
function measureHistograms(seed: number): Promise<readonly HistogramRow[]> {
  return useTempFolder('report', data => measureMixedSite(data, seed));
}

async function measureMixedSite(
  data: string,
  seed: number,
): Promise<readonly HistogramRow[]> {
  await using site = await Site.start(
    describeSite(data, {
      targets: [
        ...Array.from({length: 5}, () => describeExecutor('tally')),
        ...Array.from({length: 5}, () => describeWorker('renewal')),
      ],
    }),
  );
  await site.waitUntilReady();
  const load = describeBenchLoad('tally', {
    seed,
    jobs: 240,
    arrivals: {kind: 'poisson', jobsPerSecond: 20},
    services: ['tally', 'renewal'],
    teams: Object.keys(defaultConfiguration.teams),
    maxTasks,
    minTaskMs,
    maxTaskMs,
  });
  await runLoad(planLoad(load), {
    entries: site.entryUrls,
    seed,
    arrivals: load.arrivals,
    retryPolicy: {maxAttempts: 6, maxPauseMs: 1000},
    duplicateShare: 0,
  });
  return (await Promise.all(site.entryUrls.map(readHistograms))).flat();
}

async function readHistograms(url: string): Promise<readonly HistogramRow[]> {
  const response = await request(`${url}/v1/status`);
  const status = (await response.body.json()) as {
    readonly entry: string;
    readonly histograms: readonly HistogramSummary[];
  };
  return status.histograms.map(summary => ({
    kind: 'histogram',
    entry: status.entry,
    summary,
  }));
}
