import type {Faults} from './simulation.js';

const mixed: Faults = {
  replicas: 3,
  loss: 5,
  duplication: 5,
  crash: 40,
  partition: 40,
  replace: 0,
  checkSteps: true,
};

/** Mixtures of faults, each run over its own seeds. */
export const profiles = {
  'three-replicas': mixed,
  'five-replicas': {...mixed, replicas: 5, crash: 60, partition: 60},
  'lossy-network': {...mixed, loss: 25, duplication: 25, crash: 10},
  'replaced-disks': {...mixed, crash: 25, partition: 25, replace: 30},
} satisfies Record<string, Faults>;

export type ProfileName = keyof typeof profiles;
