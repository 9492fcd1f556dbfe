export type {
  Address,
  Branded,
  ControlId,
  EntryId,
  Epoch,
  FailureDomain,
  JobId,
  RegionName,
  ServiceName,
  SiteName,
  TargetId,
  TaskRef,
  TaskSpec,
  TeamName,
} from './id.js';
export {computeDigest, deriveJobId} from './id.js';

export {parseAddress} from './address.js';

export type {Clock, Instant} from './time.js';
export {computeDeadline, computeRemainingMs, monotonicClock} from './time.js';

export type {
  FailureReason,
  JobAnswer,
  NotRunReason,
  TaskResult,
  TaskRefusal,
  TaskStatus,
  UnknownReason,
} from './outcome.js';

export type {
  Configuration,
  ConfigurationOrigin,
  ConfigurationSource,
  Limits,
  Objective,
  PlacementPolicy,
  RegionConfig,
  ResourceDemand,
  ServiceConfig,
  TeamConfig,
  TeamHome,
  VersionedSource,
} from './configuration.js';

export type {
  Capacity,
  EndedEpoch,
  EntryInfo,
  Location,
  ResourceCapacity,
  TargetInfo,
} from './target.js';

export {RecentMap} from './recent-map.js';

export {computeRendezvousWeight} from './rendezvous.js';

export type {Submission} from './submission.js';

export type {
  CompletionObjective,
  JobStep,
  LateJobs,
  QueueConfig,
  QueuedJob,
  QueueName,
  UrgentRuns,
  ResourceRequest,
  RunEnd,
  RunRef,
} from './queue.js';

export {
  assertInvariant,
  BrokenInvariant,
  failUnreachable,
} from './unreachable.js';
