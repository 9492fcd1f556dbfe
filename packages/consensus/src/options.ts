import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {ControlId} from '#model';

/** The clocks of a replica; the same at all replicas of a group. All in ms. */
export interface ReplicaTiming {
  readonly heartbeatIntervalMs: number;
  /** A follower stands for election after one to two of these without a leader. */
  readonly electionTimeoutMs: number;
  /** How far two hosts' clocks may drift apart over one election timeout. */
  readonly clockMarginMs: number;
}

/** Bounds of what a replica sends and keeps. */
export interface ReplicaBounds {
  readonly maxBatchBytes: number;
  /** Sent to one follower and not yet acknowledged. */
  readonly maxInFlightBytes: number;
  readonly maxInFlightBatches: number;
  readonly snapshotChunkBytes: number;
  /** Entries kept behind a snapshot for followers that are a little behind. */
  readonly trailingEntries: number;
}

export interface ReplicaOptions {
  readonly id: ControlId;
  readonly timing: ReplicaTiming;
  readonly bounds: ReplicaBounds;
  /** Source of election timeouts; owned by the replica. */
  readonly random: RandomGenerator;
}

/** Heartbeats cost some 30 bytes; three of them may be lost or late before an election. */
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
};
