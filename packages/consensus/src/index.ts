export type {ChangeRefusal, Member, MemberChange, Members} from './member.js';
export {computeQuorum, createMembers, listVoters} from './member.js';

export type {
  BlankEntry,
  CommandEntry,
  HardState,
  LogEntry,
  MembersEntry,
  RecoveredState,
  Snapshot,
  SnapshotMetadata,
} from './entry.js';
export {createFirstEntry} from './entry.js';

export type {
  AppendAccepted,
  AppendRejected,
  AppendRequest,
  InstallProgress,
  InstallRequest,
  Message,
  TakeOver,
  VoteReply,
  VoteRequest,
} from './message.js';
export {checkMessage} from './message-codec.js';

export type {Effect, Input, Persist, Role, Ticket} from './transition.js';

export type {ReplicaBounds, ReplicaOptions, ReplicaTiming} from './options.js';
export {defaultBounds, defaultTiming} from './options.js';

export type {MemberProgress, ReplicaStatus} from './replica.js';
export {Replica} from './replica.js';

export type {RepairOptions, RepairPlan, RepairWait} from './repair.js';
export {planRepair} from './repair.js';
