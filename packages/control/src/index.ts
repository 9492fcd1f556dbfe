export type {ControlOptions} from './control.js';
export {Control} from './control.js';
export type {
  Replica,
  ReplicaEnvironment,
  ReplicaFailure,
  StartReplica,
} from './replica.js';
export {createInMemoryReplica} from './in-memory-replica.js';
export {createReplicaStarter} from './replica-starter.js';
export {runControl} from './run.js';
