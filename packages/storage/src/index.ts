export type {StoreError} from './error.js';
export {describeStoreError} from './error.js';

export type {
  AppliedCommand,
  ChangeResult,
  NotLeader,
  ProposeResult,
  ReadResult,
  ReplicaHostOptions,
  StateMachine,
} from './host.js';
export {ReplicaHost} from './host.js';
