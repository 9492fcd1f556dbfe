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

/** Where a process stands, from its settings. */
export interface Place {
  readonly site: SiteName;
  readonly region: RegionName;
  readonly failureDomain: FailureDomain;
  readonly rack: string;
}

/** What a target can hold. */
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

/** A target that runs tasks of any size side by side while they fit. */
export interface Room {
  readonly kind: 'room';
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly labels: readonly string[];
}

/** A target as its agent announces it. */
export interface TargetInfo {
  readonly target: TargetId;
  /** Grows at each start of the agent; a different one means that the start table is new. */
  readonly incarnation: number;
  readonly service: ServiceName;
  /** Where the agent listens for entries. */
  readonly address: Address;
  readonly place: Place;
  readonly capacity: Capacity | Room;
  readonly leaving: boolean;
}

/** An entry's lease-backed identity. */
export interface EntryInfo {
  readonly entry: EntryId;
  readonly epoch: Epoch;
  /** Where the entry listens for other entries. */
  readonly address: Address;
  readonly place: Place;
}

/** What became of an entry epoch that is over. Its jobs belong to the heir. */
export interface EndedEpoch {
  readonly entry: EntryId;
  readonly epoch: Epoch;
  /** Unset while no entry is alive to take over. */
  readonly heir?: Epoch;
}
