import type {Instant, Room, RoomDemand, TargetId} from '#model';
import {isBefore} from './rank.js';
import {canWaitAhead, isFitting, sumDemand} from './room.js';

/** A target as one dispatcher sees it. */
export interface RoomTarget {
  readonly target: TargetId;
  readonly room: Room;
  /** What is in use or promised, by this dispatcher and the others. */
  readonly used: RoomDemand;
  /** Run time over callers' estimates. */
  readonly slowness: number;
  /** Share of recent runs that failed, from 0 to 1. */
  readonly failing: number;
  /** In the dispatcher's own failure domain. */
  readonly isNear: boolean;
  /** Runs that were sent there and that its agent has hardly begun yet: it begins one after the other. */
  readonly startsAhead: number;
  /** The highest rank of what waits there for room; unset while nothing is known to wait. */
  readonly waitingRank?: number;
}

/** A ready task that looks for a target. */
export interface PlacingTask {
  readonly demand: RoomDemand;
  readonly estimateMs: number;
  /** The lowest goes first. */
  readonly rank: number;
  /** When its job is due. */
  readonly dueAt: Instant;
  readonly requiredLabel?: string;
  readonly dataRack?: string;
  /** Where the run before ended badly. */
  readonly avoid?: TargetId;
  /** Targets that are told to run other tasks of its step at the same time. */
  readonly joined?: ReadonlySet<TargetId>;
}

export type PlacementChoice =
  | {readonly kind: 'place'; readonly target: TargetId}
  /** No target has room, nor a place to wait ahead of it. */
  | {readonly kind: 'full'}
  /** No target is known, or waiting for a faster one pays. */
  | {readonly kind: 'wait'}
  /** No target of the service could ever hold it. */
  | {readonly kind: 'impossible'};

/** A target in another failure domain must be faster by this to be taken, in ms: messages there cost more. */
const distanceMs = 12;
/** A target that is told of no other task of the step must be faster by this to be taken, in ms: a message and a copy of the job's payload. */
const messageMs = 6;
/** A target that fails more than this of its runs gets none while another one has room. */
const maxFailing = 0.5;
/** What an agent with a third of a core takes to begin one run, in ms. */
export const startMs = 5;
/** How much longer work takes away from its data. */
const awayFactor = 1.5;
/** The more a target fails, the slower it counts. */
const failingWeight = 4;

/** Tells whether an empty target could hold the task. */
export function isHoldable(
  {room}: Pick<RoomTarget, 'room'>,
  {demand, requiredLabel}: Pick<PlacingTask, 'demand' | 'requiredLabel'>,
): boolean {
  return (
    demand.cpuMillis <= room.cpuMillis &&
    demand.memoryMb <= room.memoryMb &&
    demand.accelerators <= room.accelerators &&
    (requiredLabel === undefined || room.labels.includes(requiredLabel))
  );
}

/**
 * Chooses where a task runs soonest to its end. Load pattern: targets of unequal speed, of which the
 * fast ones fill first, and jobs of many short tasks, which are spread so that their starts do not
 * queue at one agent, yet by twos, as each target that is told costs the dispatcher a message. A slow target that would miss the due time is passed over while a fast one,
 * once free, would still keep it. Where no target has room, the task may wait at one that has no
 * other waiting.
 */
export function chooseTarget(
  task: PlacingTask,
  targets: readonly RoomTarget[],
  now: Instant,
): PlacementChoice {
  const holding = targets.filter(target => isHoldable(target, task));
  if (holding.length === 0) {
    return targets.length === 0 ? {kind: 'wait'} : {kind: 'impossible'};
  }
  const sound = holding.filter(({failing}) => failing <= maxFailing);
  const usable = sound.length > 0 ? sound : holding;
  const best =
    findFree(task, usable) ??
    findCheapest(task, usable, target => isOpenAhead(target, task));
  if (best === undefined) return {kind: 'full'};
  const fastest = Math.min(...usable.map(each => estimateRunMs(task, each)));
  const missesDue = now + best.runMs > task.dueAt;
  const fastKeepsDue = now + fastest <= task.dueAt;
  if (missesDue && fastKeepsDue) return {kind: 'wait'};
  return {kind: 'place', target: best.target};
}

/** True when a task may wait at a full target: no other waits there, or one that comes after it. */
function isOpenAhead(
  {room, used, waitingRank}: RoomTarget,
  {rank}: PlacingTask,
): boolean {
  if (canWaitAhead(room, used)) return true;
  return waitingRank !== undefined && isBefore(rank, waitingRank);
}

/** Takes room at a target for a task that is placed there, or its place among what waits. */
export function reserveRoom(
  target: RoomTarget,
  {demand, rank}: Pick<PlacingTask, 'demand' | 'rank'>,
): RoomTarget {
  const {room, used, startsAhead} = target;
  return {
    ...target,
    used: sumDemand(used, demand),
    startsAhead: startsAhead + 1,
    ...(!isFitting(room, used, demand) && {waitingRank: rank}),
  };
}

/** A target and what a task costs there. */
export interface PricedTarget {
  readonly target: TargetId;
  /** The time to the task's end there, in ms, with what counts against the target. */
  readonly cost: number;
  /** The run time expected there, in ms. */
  readonly runMs: number;
}

/** Finds the sound target with room now where a task ends soonest; undefined when none has room. */
export function findRoom(
  task: PlacingTask,
  targets: readonly RoomTarget[],
): PricedTarget | undefined {
  const sound = targets.filter(
    target => isHoldable(target, task) && target.failing <= maxFailing,
  );
  return findFree(task, sound);
}

function findFree(
  task: PlacingTask,
  targets: readonly RoomTarget[],
): PricedTarget | undefined {
  return findCheapest(task, targets, ({room, used}) =>
    isFitting(room, used, task.demand),
  );
}

/** Finds the cheapest of the targets that are open to a task; undefined when none is. */
function findCheapest(
  task: PlacingTask,
  targets: readonly RoomTarget[],
  isOpen: (target: RoomTarget) => boolean,
): PricedTarget | undefined {
  let best: PricedTarget | undefined;
  for (const target of targets) {
    if (!isOpen(target)) continue;
    if (target.target === task.avoid && targets.length > 1) continue;
    const runMs = estimateRunMs(task, target);
    const cost =
      runMs * (1 + failingWeight * target.failing) +
      target.startsAhead * startMs +
      (target.isNear ? 0 : distanceMs) +
      (task.joined?.has(target.target) === true ? 0 : messageMs);
    if (best === undefined || cost < best.cost) {
      best = {target: target.target, cost, runMs};
    }
  }
  return best;
}

function estimateRunMs(
  {estimateMs, dataRack}: PlacingTask,
  {slowness, room}: RoomTarget,
): number {
  const isAway = dataRack !== undefined && !room.labels.includes(dataRack);
  return estimateMs * slowness * (isAway ? awayFactor : 1);
}
