export type {
  ControlOptions,
  ReplicaEnvironment,
  StartReplica,
} from './control.js';
export {Control} from './control.js';
export type {Replica} from './replica.js';
export {createInMemoryReplica} from './in-memory-replica.js';
export {createReplicaStarter} from './replica-starter.js';
export {runControl} from './run.js';
