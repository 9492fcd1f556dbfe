import type {
  Address,
  RegionName,
  ServiceName,
  SiteName,
  TeamName,
} from './id.js';
import type {QueueConfig} from './queue.js';

/** Which score weighs more when a service's tasks are placed. */
export type Objective =
  {readonly kind: 'response-time'} | {readonly kind: 'fewest-messages'};

/** How a service's tasks reach its targets. */
export type PlacementPolicy =
  | {readonly kind: 'random'}
  | {readonly kind: 'probe'; readonly probesPerTask: number}
  | {readonly kind: 'credit'};

/** What one task of a service holds of a worker while it runs. */
export interface ResourceDemand {
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** One service: a pool of targets and the tasks that run on them. */
export interface ServiceConfig {
  readonly name: ServiceName;
  readonly objective: Objective;
  /** Unset: chosen by the objective. */
  readonly placement?: PlacementPolicy;
  readonly demand: ResourceDemand;
  /** A task that runs longer is stopped by its agent, in ms. */
  readonly maxTaskMs: number;
  /** How often one task may be placed anew after a refusal that proves it did not run. */
  readonly maxPlacements: number;
}

/** One team: a caller's account with its quota. */
export interface TeamConfig {
  readonly name: TeamName;
  /** Where the team's jobs are admitted. Unset: the region of the entry. */
  readonly homeRegion?: RegionName;
  /** Sustained task starts a second over one site. */
  readonly tasksPerSecond: number;
  /** Tasks above the sustained rate that may start at once. */
  readonly burstTasks: number;
  /** Share of the slots under contention, relative to the other teams. */
  readonly weight: number;
}

/** One region: where its jobs are admitted by a control group of its own. */
export interface RegionConfig {
  readonly name: RegionName;
  /** Where entries of other regions dial its entries. */
  readonly entries: readonly Address[];
}

/** The region in which a team's jobs are admitted. */
export interface TeamHome {
  readonly team: TeamName;
  readonly region: RegionName;
}

export interface Limits {
  readonly maxTasksPerJob: number;
  readonly maxBodyBytes: number;
  readonly maxDeadlineMs: number;
  /** How long after a job's deadline its key and answer are kept, in ms. */
  readonly retentionMs: number;
  /** The same for the keys of unrepeatable jobs. */
  readonly unrepeatableRetentionMs: number;
  /** Tasks waiting at one entry before it refuses more. */
  readonly maxQueuedTasks: number;
}

/** What is in force for one site: the base file with that site's overlay merged in. */
export interface Configuration {
  readonly services: readonly ServiceConfig[];
  readonly teams: readonly TeamConfig[];
  /** Empty: one control group admits every team's jobs. */
  readonly regions: readonly RegionConfig[];
  readonly queues: readonly QueueConfig[];
  readonly limits: Limits;
}

/** The document of an operator's own system from which the texts were derived. */
export interface ConfigurationOrigin {
  /** Numbered by that system: the highest one is in force. */
  readonly version: number;
  /** As it was received, to be read back. */
  readonly document: string;
}

/** The texts that operators write, as they were accepted. */
export interface ConfigurationSource {
  /** TOML of the whole service. */
  readonly base: string;
  /** TOML overlays by site; each states only differences. */
  readonly overlays: Readonly<Record<SiteName, string>>;
  /** Set where another system keeps the configuration. */
  readonly origin?: ConfigurationOrigin;
}

/** An accepted configuration. Versions grow by one and are never reused. */
export interface VersionedSource {
  readonly version: number;
  readonly changeId: string;
  readonly author: string;
  readonly source: ConfigurationSource;
}
