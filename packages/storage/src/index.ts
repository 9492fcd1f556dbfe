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
} from './host-options.js';
export {ReplicaHost} from './replica-host.js';

export type {SnapshotLogMode, StoreOptions, StoreWrite} from './store.js';
export {Store} from './store.js';

export type {Disk, DiskFile} from './disk.js';
export {nodeDisk, unlockedDisk} from './disk.js';

export type {
  CommitStatistics,
  CommitLoad,
  CommitMeasurementOptions,
  CommitMode,
} from './measure-commits.js';
export {measureCommits} from './measure-commits.js';
