import type {
  Address,
  EntryId,
  Epoch,
  FailureDomain,
  RegionName,
  ServiceName,
  SiteName,
  TargetId,
} from './id.js';

/** Where a process runs, from its settings. */
export interface Location {
  readonly site: SiteName;
  readonly region: RegionName;
  readonly failureDomain: FailureDomain;
  readonly rack: string;
}

/** The capacity of an executor or a worker. */
export type Capacity =
  | {
      readonly kind: 'executor';
      readonly slots: number;
      readonly maxConnections: number;
    }
  | {
      readonly kind: 'worker';
      readonly cores: number;
      readonly memoryMb: number;
      readonly accelerators: number;
    };

/** Capacity of a target that runs tasks of any size concurrently as long as their demands fit. */
export interface ResourceCapacity {
  readonly kind: 'room';
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly labels: readonly string[];
}

/** A target as its agent announces it. */
export interface TargetInfo {
  readonly target: TargetId;
  /** Increases at each start of the agent; a new incarnation has an empty table of started tasks. */
  readonly incarnation: number;
  readonly service: ServiceName;
  /** Where the agent accepts connections from entries. */
  readonly address: Address;
  readonly place: Location;
  readonly capacity: Capacity | ResourceCapacity;
  /** Increases at each start of an agent whose incarnation is that of its executor, which outlives it. */
  readonly life?: number;
  /** True once the agent has begun to drain; stays true within an incarnation and life. */
  readonly leaving: boolean;
}

/** An entry with a live lease. */
export interface EntryInfo {
  readonly entry: EntryId;
  readonly epoch: Epoch;
  /** Where the entry accepts connections from other entries. */
  readonly address: Address;
  readonly place: Location;
}

/** An ended entry epoch, whose jobs belong to the successor (`heir`). */
export interface EndedEpoch {
  readonly entry: EntryId;
  readonly epoch: Epoch;
  /** Unset while no live entry can take over. */
  readonly heir?: Epoch;
}
