import type {Address, Capacity} from '#model';
import {defaultBehaviour, type StandInBehaviour} from './behaviour.js';

/** A target of a site and the agent beside it. */
export interface TargetOptions {
  readonly service: string;
  readonly capacity: Capacity;
  readonly behaviour: StandInBehaviour;
}

/** Tables of the dispatch configuration, with their TOML keys. */
export type ConfigurationTables = Readonly<
  Record<'services' | 'teams' | 'limits', Readonly<Record<string, unknown>>>
> & {readonly regions?: Readonly<Record<string, unknown>>};

export interface SiteOptions {
  /** The folder of the settings, the logs, the journal and the controls' data. */
  readonly data: string;
  /** The path of the system's executable. */
  readonly binary: string;
  /** The first port; unset, the ports come from blocks that this process reserves. */
  readonly basePort?: number;
  readonly controls: number;
  readonly entries: number;
  readonly targets: readonly TargetOptions[];
  /** Whether a fault proxy is put in front of every inner address. */
  readonly proxied: boolean;
  readonly usageLagMs: number;
  readonly drainMs: number;
  /** The `[leases]` table. */
  readonly leases: Readonly<Record<string, number>>;
  readonly configuration: ConfigurationTables;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
  /** The region of every process. */
  readonly region: string;
  /** Addresses of the controls in the region from which the configuration originates. */
  readonly upstream?: readonly Address[];
}

/** An executor of the size that is in use today. */
export function describeExecutor(
  service: string,
  speedFactor = 1,
): TargetOptions {
  return {
    service,
    capacity: {kind: 'executor', slots: 8, maxConnections: 60},
    behaviour: {...defaultBehaviour, speedFactor},
  };
}

/** A worker of the size that the herd registry uses. */
export function describeWorker(
  service: string,
  speedFactor = 1,
): TargetOptions {
  return {
    service,
    capacity: {kind: 'worker', cores: 16, memoryMb: 65_536, accelerators: 1},
    behaviour: {...defaultBehaviour, speedFactor},
  };
}

export const defaultConfiguration: ConfigurationTables = {
  services: {
    tally: {
      objective: 'response-time',
      max_task_ms: 10_000,
      max_placements: 8,
      demand: {cores: 1, memory_mb: 256, accelerators: 0},
    },
    renewal: {
      objective: 'fewest-messages',
      max_task_ms: 10_000,
      max_placements: 8,
      demand: {cores: 1, memory_mb: 512, accelerators: 0},
    },
  },
  teams: {
    'herd-registry': {
      tasks_per_second: 100_000,
      burst_tasks: 100_000,
      weight: 2,
    },
    licensing: {tasks_per_second: 100_000, burst_tasks: 100_000, weight: 1},
  },
  limits: {retention_ms: 120_000},
};

/**
 * A small site: 3 controls, 2 entries, 3 executors for `tally` and 2 workers for `renewal`, all
 * of different speeds within their service.
 */
export function describeSite(
  data: string,
  overrides: Partial<SiteOptions> = {},
): SiteOptions {
  return {
    data,
    binary: 'dist/wasabiring',
    controls: 3,
    entries: 2,
    targets: [
      describeExecutor('tally'),
      describeExecutor('tally', 2),
      describeExecutor('tally', 4),
      describeWorker('renewal'),
      describeWorker('renewal', 2),
    ],
    proxied: false,
    usageLagMs: 500,
    drainMs: 10_000,
    leases: {},
    configuration: defaultConfiguration,
    logLevel: 'info',
    region: 'gilgit-baltistan',
    ...overrides,
  };
}
