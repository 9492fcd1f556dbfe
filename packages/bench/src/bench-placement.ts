import {describeBenchLoad} from './bench-load.js';
import {type Measurement, measureLoad} from './measure.js';
import {
  defaultConfiguration,
  describeExecutor,
  type SiteOptions,
} from './site-options.js';
import {formatTable} from './table.js';

const placements = ['random', 'probe', 'credit'] as const;
const targetCount = 10;
const fastestToSlowest = 10;
const entries = 4;
const repeats = 2;

/** Bursts of jobs whose declared run times are up to 5-fold off. */
const burstLoad = describeBenchLoad('tally', {
  jobs: 300,
  arrivals: {kind: 'bursts', jobsPerBurst: 30, intervalMs: 1500},
  maxTasks: 9,
  minTaskMs: 20,
  maxTaskMs: 400,
  declaredErrorFactor: 5,
});

/** Runs the same seeded load under each placement policy and prints both scores. */
export async function measurePlacement(seed: number): Promise<void> {
  console.log(
    `\n${targetCount} executors of 8 slots, speeds up to ${fastestToSlowest}-fold apart, ${entries} entries, bursts`,
  );
  const rows: (readonly (string | number)[])[] = [];
  for (let i = 0; i < repeats; i++) {
    for (const placement of placements) {
      const measured = await measureLoad(
        describeChanges(placement),
        {...burstLoad, seed: seed + i},
        20,
      );
      rows.push(describeRow(`${placement}, seed ${seed + i}`, measured));
    }
  }
  console.log(
    formatTable([
      [
        'placement',
        'complete',
        'over ideal p50 ms',
        'p90 ms',
        'p99 ms',
        'wasted messages a job',
        'entry us/task',
      ],
      ...rows,
    ]),
  );
}

function describeChanges(
  placement: (typeof placements)[number],
): Partial<SiteOptions> {
  const {services} = defaultConfiguration;
  const tally = services['tally'] as object;
  return {
    entries,
    proxied: true,
    targets: Array.from({length: targetCount}, (_, i) =>
      describeExecutor('tally', fastestToSlowest ** (i / (targetCount - 1))),
    ),
    configuration: {
      ...defaultConfiguration,
      services: {...services, tally: {...tally, placement}},
    },
  };
}

function describeRow(
  name: string,
  {counts, overIdeal, wastedPerJob, usage, tasks}: Measurement,
): readonly (string | number)[] {
  return [
    name,
    counts.complete,
    overIdeal.p50Ms,
    overIdeal.p90Ms,
    overIdeal.p99Ms,
    wastedPerJob ?? 0,
    Math.round((usage.entry.cpuMs * 1000) / tasks),
  ];
}
