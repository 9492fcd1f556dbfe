export type {
  DispatcherLoad,
  JobTiming,
  SaturationDecision,
} from './saturation.js';
export {chooseRelay, checkSaturation} from './saturation.js';

export type {RandomSource} from './random.js';
export {createRandom} from './random.js';

export type {FairQueueOptions} from './fair-queue.js';
export {createFairQueueClass, FairQueue} from './fair-queue.js';

export type {QuotaShare, SpendResult, TokenBucket} from './quota.js';
export {
  adjustBucket,
  createBucket,
  returnTokens,
  divideQuota,
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
  AdmissionDecision,
  RunEstimate,
  ServiceLoad,
} from './admission.js';
export {estimateWait, decideAdmission} from './admission.js';

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
  PlacementDecision,
  WaitingTasks,
} from './placement.js';
export {choosePolicy, createPlacement, resolvePolicy} from './placement.js';

export type {
  PlacementChoice,
  ReadyTask,
  TargetCost,
  CandidateTarget,
} from './capacity-placement.js';
export {
  chooseTarget,
  findFreeTarget,
  canHoldWhenEmpty,
  computeRemoteFactor,
  reserveCapacity,
  agentStartMs,
} from './capacity-placement.js';

export type {MovableRun} from './relocation.js';
export {estimateEnd, isSlowed, shouldMove} from './relocation.js';

export type {RunCapacity} from './capacity.js';
export {
  canQueueAhead,
  emptyDemand,
  hasCapacityFor,
  isWithinCapacity,
  subtractDemand,
  sumDemand,
} from './capacity.js';

export type {WorkModel, WorkSample} from './work-model.js';
export {observeRun, predictWorkMs, initialWorkModel} from './work-model.js';

export type {WaitingWork} from './rank.js';
export {shouldDisplace, rankWork} from './rank.js';

export {chooseAdmissionDeadline, type JobDeadlines} from './overload.js';
export {canWaitAtTarget} from './patience.js';

export type {ArrivingJob, BacklogDecision, PoolBacklog} from './backlog.js';
export {
  estimateBacklogMs,
  estimatePoolBacklog,
  type BacklogSample,
  checkBacklog,
  checkEvacuation,
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

export type {RetryBudget, RetryLimits, RetryDecision} from './retry.js';
export {
  createRetryBudget,
  defaultRetryLimits,
  depositRetryTokens,
  decideRetry,
} from './retry.js';

export type {
  GuardedTask,
  GuardLimits,
  GuardAction,
  UsageReport,
} from './guard.js';
export {defaultGuardLimits, chooseGuardAction, updateUsage} from './guard.js';

export type {LoadReturn, ObservedSpeed} from './load-return.js';
export {
  advanceLoadReturn,
  beginLoadReturn,
  computeOfferedRoom,
} from './load-return.js';

export {
  chooseFollowedTargets,
  chooseTargetSubset,
  filterInService,
  chooseHomeDispatchers,
  chooseCapableTargets,
  type TaskRequirements,
} from './target-subset.js';

export type {LocalityPolicy, NearWaitQuestion} from './locality.js';
export {
  computeNearWaitDeadline,
  computeUtilization,
  estimateCapacityWaitMs,
} from './locality.js';
