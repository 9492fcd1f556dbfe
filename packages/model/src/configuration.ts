import type {
  Address,
  RegionName,
  ServiceName,
  SiteName,
  TeamName,
} from './id.js';
import type {QueueConfig} from './queue.js';

/** What placement optimizes for a service's tasks. */
export type Objective =
  {readonly kind: 'response-time'} | {readonly kind: 'fewest-messages'};

/** How targets are selected for a service's tasks. */
export type PlacementPolicy =
  | {readonly kind: 'random'}
  | {readonly kind: 'probe'; readonly probesPerTask: number}
  | {readonly kind: 'credit'};

/** The resources of a worker that one task of a service uses while it runs. */
export interface ResourceDemand {
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** One service: a pool of targets and the tasks that run on them. */
export interface ServiceConfig {
  readonly name: ServiceName;
  readonly objective: Objective;
  /** Defaults to the policy that fits the objective. */
  readonly placement?: PlacementPolicy;
  readonly demand: ResourceDemand;
  /** Run time after which the agent stops a task, in ms. */
  readonly maxTaskMs: number;
  /** How often one task may be placed again after a refusal that proves it did not run. */
  readonly maxPlacements: number;
}

/** A team: a client account with its quota. */
export interface TeamConfig {
  readonly name: TeamName;
  /** Where the team's jobs are admitted. Defaults to the region of the entry. */
  readonly homeRegion?: RegionName;
  /** Sustained rate of task starts across one site. */
  readonly tasksPerSecond: number;
  /** Tasks above the sustained rate that may start at once. */
  readonly burstTasks: number;
  /** Share of the slots under contention, relative to the other teams. */
  readonly weight: number;
}

/** A region, whose own control group admits its jobs. */
export interface RegionConfig {
  readonly name: RegionName;
  /** Addresses at which entries of other regions connect to its entries. */
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
  /** How long a job's key and answer are kept after its deadline, in ms. */
  readonly retentionMs: number;
  /** How long the keys of unrepeatable jobs are kept after the deadline, in ms. */
  readonly unrepeatableRetentionMs: number;
  /** Tasks that one entry queues before it refuses more. */
  readonly maxQueuedTasks: number;
}

/** The effective configuration of one site: the base file merged with that site's overlay. */
export interface Configuration {
  readonly services: readonly ServiceConfig[];
  readonly teams: readonly TeamConfig[];
  /** If empty, one control group admits every team's jobs. */
  readonly regions: readonly RegionConfig[];
  readonly queues: readonly QueueConfig[];
  readonly limits: Limits;
}

/** The document of an external configuration system from which the source was derived. */
export interface ConfigurationOrigin {
  /** Assigned by that system; the highest version is in force. */
  readonly version: number;
  /** The document as received, so that it can be read back. */
  readonly document: string;
}

/** The configuration files as operators wrote them. */
export interface ConfigurationSource {
  /** TOML for all sites. */
  readonly base: string;
  /** TOML overlays by site, each with only the differences from the base. */
  readonly overlays: Readonly<Record<SiteName, string>>;
  /** Set if another system manages the configuration. */
  readonly origin?: ConfigurationOrigin;
}

/** An accepted configuration. Versions increase by one and are never reused. */
export interface VersionedSource {
  readonly version: number;
  readonly changeId: string;
  readonly author: string;
  readonly source: ConfigurationSource;
}
