/** What goes wrong; probabilities in percent. */
export interface Faults {
  readonly replicas: number;
  readonly loss: number;
  readonly duplication: number;
  /** Faults come after a quarter of this to all of it. */
  readonly maxCalmMs: number;
  /** Within this a replica restarts or a cut connection heals. */
  readonly maxOutageMs: number;
  readonly maxBatchBytes: number;
  readonly crash: number;
  readonly partition: number;
  /** Asks the leader to hand over. */
  readonly transfer: number;
  /** Replaces a disk, or a live replica, by a new one. */
  readonly replace: number;
  /** Also checks writes and messages as they happen, not only what they lead to. */
  readonly checkSteps: boolean;
}

const mixed: Faults = {
  replicas: 3,
  maxCalmMs: 160,
  maxOutageMs: 500,
  maxBatchBytes: 150,
  loss: 5,
  duplication: 5,
  crash: 40,
  partition: 40,
  transfer: 15,
  replace: 0,
  checkSteps: true,
};

/** Mixtures of faults, each run over its own seeds. */
export const profiles = {
  'three-replicas': mixed,
  'five-replicas': {...mixed, replicas: 5, crash: 60, partition: 60},
  'lossy-network': {...mixed, loss: 25, duplication: 25, crash: 10},
  'short-terms': {
    ...mixed,
    replicas: 5,
    maxCalmMs: 30,
    maxOutageMs: 150,
    maxBatchBytes: 1,
  },
  'replaced-disks': {...mixed, crash: 25, partition: 25, replace: 30},
} satisfies Record<string, Faults>;

export type ProfileName = keyof typeof profiles;
