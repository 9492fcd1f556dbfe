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
} from './hosting.js';
export {ReplicaHost} from './host.js';

export type {SnapshotLog, StoreOptions, StoreWrite} from './store.js';
export {Store} from './store.js';

export type {Disk, DiskFile} from './disk.js';
export {nodeDisk, unlockedDisk} from './disk.js';

export type {
  CommitFigures,
  CommitLoad,
  CommitMeasurement,
  CommitMode,
} from './measure.js';
export {measureCommits} from './measure.js';
