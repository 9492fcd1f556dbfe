/** A mix of faults; probabilities in percent. */
export interface FaultProfile {
  readonly replicas: number;
  readonly loss: number;
  readonly duplication: number;
  /** Faults are injected at intervals from a quarter of this up to this. */
  readonly maxFaultIntervalMs: number;
  /** Maximum time until a crashed replica restarts or a blocked link is restored. */
  readonly maxOutageMs: number;
  readonly maxBatchBytes: number;
  readonly crash: number;
  readonly partition: number;
  /** Asks the leader to transfer its leadership. */
  readonly transfer: number;
  /** Replaces a replica, live or with a lost disk, by a new one. */
  readonly replace: number;
  /** The leader repairs the group by itself; replaced replicas get no operator's change. */
  readonly repair: boolean;
  /** Also checks single commits, messages and promotions, not only outcomes. */
  readonly checkSteps: boolean;
}

const baseProfile: FaultProfile = {
  replicas: 3,
  maxFaultIntervalMs: 160,
  maxOutageMs: 500,
  maxBatchBytes: 150,
  loss: 5,
  duplication: 5,
  crash: 40,
  partition: 40,
  transfer: 15,
  replace: 0,
  repair: false,
  checkSteps: true,
};

/** The fault profiles of the random tests. */
export const profiles = {
  'three-replicas': baseProfile,
  'five-replicas': {...baseProfile, replicas: 5, crash: 60, partition: 60},
  'lossy-network': {...baseProfile, loss: 25, duplication: 25, crash: 10},
  'short-terms': {
    ...baseProfile,
    replicas: 5,
    maxFaultIntervalMs: 30,
    maxOutageMs: 150,
    maxBatchBytes: 1,
  },
  'replaced-disks': {...baseProfile, crash: 25, partition: 25, replace: 30},
  'self-repair': {
    ...baseProfile,
    crash: 20,
    partition: 20,
    replace: 40,
    repair: true,
  },
  'self-repair-of-five': {
    ...baseProfile,
    replicas: 5,
    crash: 30,
    partition: 30,
    replace: 50,
    repair: true,
  },
} satisfies Record<string, FaultProfile>;

export type ProfileName = keyof typeof profiles;
