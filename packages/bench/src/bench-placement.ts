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
const maxSpeedRatio = 10;
const entries = 4;
const repeats = 2;

/** Bursts of jobs whose declared run times are wrong by a factor of up to 5. */
const burstLoad = describeBenchLoad('tally', {
  jobs: 300,
  arrivals: {kind: 'bursts', jobsPerBurst: 30, intervalMs: 1500},
  maxTasks: 9,
  minTaskMs: 20,
  maxTaskMs: 400,
  declaredErrorFactor: 5,
});

/** Runs the same seeded loads under each placement policy and prints latencies and wasted messages. */
export async function measurePlacement(seed: number): Promise<void> {
  console.log(
    `\n${targetCount} executors of 8 slots, speeds up to ${maxSpeedRatio}-fold apart, ${entries} entries, bursts`,
  );
  const rows: (readonly (string | number)[])[] = [];
  for (let i = 0; i < repeats; i++) {
    for (const placement of placements) {
      const measured = await measureLoad(
        describeSiteOverrides(placement),
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

function describeSiteOverrides(
  placement: (typeof placements)[number],
): Partial<SiteOptions> {
  const {services} = defaultConfiguration;
  const tally = services['tally'] as object;
  return {
    entries,
    proxied: true,
    targets: Array.from({length: targetCount}, (_, i) =>
      describeExecutor('tally', maxSpeedRatio ** (i / (targetCount - 1))),
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
