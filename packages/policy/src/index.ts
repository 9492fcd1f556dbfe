export type {
  DispatcherLoad,
  JobTiming,
  SaturationVerdict,
} from './saturation.js';
export {chooseRelay, judgeSaturation} from './saturation.js';

export type {RandomSource} from './random.js';
export {createRandom} from './random.js';

export type {FairQueueOptions} from './fair-queue.js';
export {createFairQueueClass, FairQueue} from './fair-queue.js';

export type {QuotaShare, SpendResult, TokenBucket} from './quota.js';
export {
  adjustBucket,
  createBucket,
  returnTokens,
  shareQuota,
  spendTokens,
} from './quota.js';

export type {DemandRate} from './demand.js';
export {addDemand, computeDemandRate, createDemandRate} from './demand.js';

export type {DrainRate} from './drain-rate.js';
export {
  computeDrainRate,
  createDrainRate,
  updateDrainRate,
} from './drain-rate.js';

export type {
  AdmissionState,
  AdmissionVerdict,
  RunEstimate,
  ServiceLoad,
} from './admission.js';
export {estimateWait, judgeAdmission} from './admission.js';

export type {EstimateLimits} from './estimate.js';
export {defaultEstimateLimits, RunTimes} from './estimate.js';

export type {
  InFlightLimit,
  HealthLimits,
  TargetStanding,
  TaskOutcome,
} from './health.js';
export {defaultHealthLimits, PoolHealth} from './health.js';

export type {
  Placement,
  PlacementAction,
  PlacementEvent,
  PlacementSources,
  PlacementVerdict,
  WaitingTasks,
} from './placement.js';
export {choosePolicy, createPlacement, resolvePolicy} from './placement.js';

export type {
  PlacementChoice,
  ReadyTask,
  TargetCost,
  RoomTarget,
} from './room-placement.js';
export {
  chooseTarget,
  findRoom,
  canHoldWhenEmpty,
  reserveRoom,
  agentStartMs,
} from './room-placement.js';

export type {MovableRun} from './relocation.js';
export {estimateEnd, isSlowed, shouldMove} from './relocation.js';

export type {RoomSize} from './room.js';
export {
  canQueueAhead,
  emptyDemand,
  isFitting,
  isWithin,
  subtractDemand,
  sumDemand,
} from './room.js';

export type {WorkModel, WorkSample} from './work-model.js';
export {observeRun, predictWorkMs, unknownWork} from './work-model.js';

export type {WaitingWork} from './rank.js';
export {shouldDisplace, rankWork} from './rank.js';

export type {ArrivingJob, BacklogVerdict, PoolBacklog} from './backlog.js';
export {
  estimateBacklogMs,
  estimatePoolBacklog,
  type BacklogSample,
  judgeBacklog,
} from './backlog.js';

export type {GrantLimits, GrantMode, SlotGrants, SlotHolder} from './grants.js';
export {
  connectHolder,
  countFree,
  countRunning,
  createGrants,
  defaultGrantLimits,
  closeHolder,
  takeSlot,
  releaseSlots,
  reserveSlots,
  setSlots,
  updateDemand,
  returnSlot,
} from './grants.js';
export type {Division} from './division.js';
export {divideSlots} from './division.js';

export type {RetryBudget, RetryLimits, RetryVerdict} from './retry.js';
export {
  createRetryBudget,
  defaultRetryLimits,
  depositStart,
  judgeRetry,
} from './retry.js';

export type {
  GuardedTask,
  GuardLimits,
  GuardVerdict,
  UsageReport,
} from './guard.js';
export {defaultGuardLimits, judgeGuard, updateUsage} from './guard.js';

export {
  chooseTargetSubset,
  chooseHomes,
  chooseCapableTargets,
  type TaskRequirements,
} from './target-subset.js';
