import type {
  Instant,
  ResourceCapacity,
  ResourceRequest,
  TargetId,
} from '#model';
import {shouldDisplace} from './rank.js';
import {
  computeNearWaitDeadline,
  computeUtilization,
  estimateCapacityWaitMs,
  type LocalityPolicy,
} from './locality.js';
import {canQueueAhead, hasCapacityFor, sumDemand} from './capacity.js';

/** A target as one dispatcher sees it. */
export interface CandidateTarget {
  readonly target: TargetId;
  readonly capacity: ResourceCapacity;
  /** Capacity in use or reserved, by this and all other dispatchers. */
  readonly used: ResourceRequest;
  /** Run time divided by callers' estimates. */
  readonly slowness: number;
  /** Failure ratio of recent runs, from 0 to 1. */
  readonly failing: number;
  /** Whether it is in the dispatcher's failure domain. */
  readonly isInSameDomain: boolean;
  /** Estimated number of runs sent there that its agent, which starts one at a time, has not started yet. */
  readonly pendingStarts: number;
  /** Highest rank of the runs queued there, the one that goes last; unset while none is known to be queued. */
  readonly waitingRank?: number;
}

/** A task that is ready to be placed. */
export interface ReadyTask {
  readonly demand: ResourceRequest;
  readonly estimateMs: number;
  /** See `rankWork`; the lowest goes first. */
  readonly rank: number;
  /** Time by which its job should end. */
  readonly dueAt: Instant;
  readonly requiredLabel?: string;
  readonly dataRack?: string;
  /** Unset: a task with data is taken to run half as long again outside the data's rack, and never waits for a target there. */
  readonly locality?: LocalityPolicy;
  /** When an earlier wait for a target in the data's rack is to end. */
  readonly nearWaitDeadline?: Instant;
  /** Processors that more urgent tasks wait for in the data's rack, in thousandths of a core. */
  readonly nearWaitingMillis?: number;
  /** Target where the previous run of the task failed, stalled, got no answer or did not start. */
  readonly avoid?: TargetId;
  /** Targets that are sent other tasks of the same step in the same batch. */
  readonly batchTargets?: ReadonlySet<TargetId>;
}

export type PlacementChoice =
  | {
      readonly kind: 'place';
      readonly target: TargetId;
      /** True when the target has no free capacity, so that the task waits there. */
      readonly isQueued: boolean;
    }
  /** No target has free capacity or can queue another run. */
  | {readonly kind: 'full'}
  /** No target is known, or the task can still meet its due time by waiting for a faster one. */
  | {readonly kind: 'wait'}
  /** Waiting for a target in the rack of the task's data is worth while until the deadline. */
  | {readonly kind: 'wait-near'; readonly deadline: Instant}
  /** No known target could hold the task even when empty. */
  | {readonly kind: 'impossible'};

/** Cost of a target in another failure domain: messages to it cost more. */
const crossDomainCostMs = 12;
/** Cost of a target that is sent no other task of the step, and so needs its own message with the payload. */
const extraMessageCostMs = 6;
/** Targets that fail more than this are not used while another target could hold the task. */
const maxFailureRatio = 0.5;
/** Time that an agent with a third of a core takes to start a run. */
export const agentStartMs = 5;
/** Factor on the run time of a task outside the rack of its data, unless a policy states one. */
const defaultRemoteFactor = 1.5;
/** Weight of the failure ratio in the cost of a target. */
const failureCostFactor = 4;

/** Whether the target could hold the task when empty, and has the required label. */
export function canHoldWhenEmpty(
  {capacity}: Pick<CandidateTarget, 'capacity'>,
  {demand, requiredLabel}: Pick<ReadyTask, 'demand' | 'requiredLabel'>,
): boolean {
  return (
    demand.cpuMillis <= capacity.cpuMillis &&
    demand.memoryMb <= capacity.memoryMb &&
    demand.accelerators <= capacity.accelerators &&
    (requiredLabel === undefined || capacity.labels.includes(requiredLabel))
  );
}

/**
 * Chooses the target where a task is expected to end soonest. Targets differ in speed, and the fast ones
 * fill first. The short tasks of a job are spread over targets, so that their starts do not queue at one
 * agent, but two go to each, as each further target costs the dispatcher a message. A slow target where
 * the task would miss its due time is not used while the task would still meet it at the fastest one,
 * once that is free. When no target has free capacity, the task may be queued at one where no other run
 * is queued, or where it displaces the last queued run.
 */
export function chooseTarget(
  task: ReadyTask,
  targets: readonly CandidateTarget[],
  now: Instant,
): PlacementChoice {
  const capable = targets.filter(target => canHoldWhenEmpty(target, task));
  if (capable.length === 0) {
    return targets.length === 0 ? {kind: 'wait'} : {kind: 'impossible'};
  }
  const healthy = capable.filter(({failing}) => failing <= maxFailureRatio);
  const usable = healthy.length > 0 ? healthy : capable;
  const free = findCheapestWithCapacity(task, usable);
  const best =
    free ?? findCheapest(task, usable, target => canQueueAt(target, task));
  if (best === undefined) return {kind: 'full'};
  const deadline = free && decideNearWait(task, usable, free, now);
  if (deadline !== undefined) return {kind: 'wait-near', deadline};
  const comparable = listComparable(task, usable, best.target);
  const minRunMs = Math.min(
    ...comparable.map(each => estimateRunMs(task, each)),
  );
  const missesDue = now + best.runMs > task.dueAt;
  const fastestMeetsDue = now + minRunMs <= task.dueAt;
  if (missesDue && fastestMeetsDue) return {kind: 'wait'};
  return {kind: 'place', target: best.target, isQueued: free === undefined};
}

/** Lists the targets whose speed a choice is compared by: under a locality policy those in the data's rack don't count for one outside. */
function listComparable(
  task: ReadyTask,
  targets: readonly CandidateTarget[],
  chosen: TargetId,
): readonly CandidateTarget[] {
  if (task.locality === undefined) return targets;
  const remote = targets.filter(target => isDataRemote(task, target));
  return remote.some(({target}) => target === chosen) ? remote : targets;
}

/** Decides until when a task waits for a target in its data's rack; undefined when it starts at the given one, which has free capacity. */
function decideNearWait(
  task: ReadyTask,
  targets: readonly CandidateTarget[],
  free: TargetCost,
  now: Instant,
): Instant | undefined {
  const {locality, nearWaitDeadline = Infinity} = task;
  if (locality === undefined || now >= nearWaitDeadline) return undefined;
  const near = targets.filter(target => !isDataRemote(task, target));
  if (near.length === 0 || near.some(({target}) => target === free.target)) {
    return undefined;
  }
  const nearRunMs = Math.min(...near.map(each => estimateRunMs(task, each)));
  const deadline = computeNearWaitDeadline({
    now,
    dueAt: task.dueAt,
    nearRunMs,
    farRunMs: free.runMs,
    nearWaitMs: estimateCapacityWaitMs(
      task.demand.cpuMillis + (task.nearWaitingMillis ?? 0),
      near,
      nearRunMs,
    ),
    utilization: computeUtilization(targets),
    isWaiting: task.nearWaitDeadline !== undefined,
  });
  return deadline && Math.min(deadline, nearWaitDeadline);
}

/** Whether a task may be queued at a full target: none is queued there, or it displaces the last one. */
function canQueueAt(
  {capacity, used, waitingRank}: CandidateTarget,
  {rank}: ReadyTask,
): boolean {
  if (canQueueAhead(capacity, used)) return true;
  return waitingRank !== undefined && shouldDisplace(rank, waitingRank);
}

/** Reserves capacity at a target for a task placed there. A task that does not fit counts as queued. */
export function reserveCapacity(
  target: CandidateTarget,
  {demand, rank}: Pick<ReadyTask, 'demand' | 'rank'>,
): CandidateTarget {
  const {capacity, used, pendingStarts} = target;
  return {
    ...target,
    used: sumDemand(used, demand),
    pendingStarts: pendingStarts + 1,
    ...(!hasCapacityFor(capacity, used, demand) && {waitingRank: rank}),
  };
}

/** Cost of placing a task at a target. */
export interface TargetCost {
  readonly target: TargetId;
  /** Expected time to the task's end, in ms, including penalties. */
  readonly cost: number;
  /** Expected run time, in ms. */
  readonly runMs: number;
}

/** Finds the cheapest healthy target with free capacity for a task; undefined when there is none. */
export function findFreeTarget(
  task: ReadyTask,
  targets: readonly CandidateTarget[],
): TargetCost | undefined {
  const healthy = targets.filter(
    target =>
      canHoldWhenEmpty(target, task) && target.failing <= maxFailureRatio,
  );
  return findCheapestWithCapacity(task, healthy);
}

function findCheapestWithCapacity(
  task: ReadyTask,
  targets: readonly CandidateTarget[],
): TargetCost | undefined {
  return findCheapest(task, targets, ({capacity, used}) =>
    hasCapacityFor(capacity, used, task.demand),
  );
}

/** Finds the cheapest of the eligible targets; undefined when there is none. */
function findCheapest(
  task: ReadyTask,
  targets: readonly CandidateTarget[],
  isEligible: (target: CandidateTarget) => boolean,
): TargetCost | undefined {
  let best: TargetCost | undefined;
  for (const target of targets) {
    if (!isEligible(target)) continue;
    if (target.target === task.avoid && targets.length > 1) continue;
    const runMs = estimateRunMs(task, target);
    const cost =
      runMs * (1 + failureCostFactor * target.failing) +
      target.pendingStarts * agentStartMs +
      (target.isInSameDomain ? 0 : crossDomainCostMs) +
      (task.batchTargets?.has(target.target) === true ? 0 : extraMessageCostMs);
    if (best === undefined || cost < best.cost) {
      best = {target: target.target, cost, runMs};
    }
  }
  return best;
}

function estimateRunMs(task: ReadyTask, target: CandidateTarget): number {
  return task.estimateMs * target.slowness * computeRemoteFactor(task, target);
}

/** Computes the factor on a task's run time by the distance of its data: 1 in the data's rack. */
export function computeRemoteFactor(
  task: Pick<ReadyTask, 'dataRack' | 'locality'>,
  target: Pick<CandidateTarget, 'capacity'>,
): number {
  if (!isDataRemote(task, target)) return 1;
  return task.locality?.remoteFactor ?? defaultRemoteFactor;
}

function isDataRemote(
  {dataRack}: Pick<ReadyTask, 'dataRack'>,
  {capacity}: Pick<CandidateTarget, 'capacity'>,
): boolean {
  return dataRack !== undefined && !capacity.labels.includes(dataRack);
}
