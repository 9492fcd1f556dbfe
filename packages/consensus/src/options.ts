import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {ControlId} from '#model';

/** Timing parameters, identical on all replicas of a group. */
export interface ReplicaTiming {
  readonly heartbeatIntervalMs: number;
  /** A follower without contact to a leader starts an election after one to two times this. */
  readonly electionTimeoutMs: number;
  /** Maximum drift between the clocks of two hosts over one election timeout. */
  readonly clockMarginMs: number;
}

/** Limits on what a replica sends and retains. */
export interface ReplicaBounds {
  readonly maxBatchBytes: number;
  /** Per follower, sent and not yet acknowledged. */
  readonly maxInFlightBytes: number;
  readonly maxInFlightBatches: number;
  readonly snapshotChunkBytes: number;
  /** Entries retained before a snapshot, for followers that are slightly behind. */
  readonly trailingEntries: number;
  /** The most that they take. */
  readonly trailingBytes: number;
}

export interface ReplicaOptions {
  readonly id: ControlId;
  readonly timing: ReplicaTiming;
  readonly bounds: ReplicaBounds;
  /** Randomizes election timeouts; owned by the replica. */
  readonly random: RandomGenerator;
}

/** A heartbeat takes about 30 bytes. Three may be lost or late before an election starts. */
export const defaultTiming: ReplicaTiming = {
  heartbeatIntervalMs: 100,
  electionTimeoutMs: 400,
  clockMarginMs: 30,
};

export const defaultBounds: ReplicaBounds = {
  maxBatchBytes: 256 * 1024,
  maxInFlightBytes: 4 * 1024 * 1024,
  maxInFlightBatches: 64,
  snapshotChunkBytes: 1024 * 1024,
  trailingEntries: 4096,
  trailingBytes: 4 * 1024 * 1024,
};
