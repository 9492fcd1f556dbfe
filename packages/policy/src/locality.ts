import type {Instant} from '#model';
import type {CandidateTarget} from './capacity-placement.js';

/** How tasks are placed near their data. */
export interface LocalityPolicy {
  /** Run time of a task outside the rack of its data divided by its run time inside; above 1. */
  readonly remoteFactor: number;
}

/** A task that could start elsewhere now, or wait for a target in the rack of its data. */
export interface NearWaitQuestion {
  readonly now: Instant;
  readonly dueAt: Instant;
  /** Expected run time at a target in the rack, in ms. */
  readonly nearRunMs: number;
  /** Expected run time at the best target with free capacity elsewhere, in ms. */
  readonly farRunMs: number;
  /** Expected time until a target in the rack has free capacity, in ms; infinite when none is known. */
  readonly nearWaitMs: number;
  /** Share of the known targets' processors that is in use, from 0 to 1. */
  readonly utilization: number;
  /** Whether it has waited for a target in the rack before. */
  readonly isWaiting: boolean;
}

/** Time to send a run to a target and start it, in ms. */
const startMs = 12;

/** Share of a run time that it may take beyond its estimate. */
const runMarginShare = 0.25;
/** Share of the time that is left for waiting which a new wait may be expected to take: what is known of a full rack is late and partial. */
const newWaitShare = 0.5;

/**
 * Computes until when a task should wait for a target near its data; undefined when it should start
 * elsewhere now. The wait may take as long as the detour would: the time by which the task would run
 * longer elsewhere, and as much again for the work that it would hold up there, in proportion to how
 * full the targets are. It ends early enough for a task that can be in time elsewhere to start there.
 * A task that can be in time only near its data waits for as long as it can be.
 *
 * Load: the data of most jobs is in one rack, whose targets are full while others have capacity. When
 * more waits than the rack can run in time, only the tasks that it is expected to come to in good time
 * wait; the others start elsewhere at once, as each would push those behind it past their due time.
 */
export function computeNearWaitDeadline({
  now,
  dueAt,
  nearRunMs,
  farRunMs,
  nearWaitMs,
  utilization,
  isWaiting,
}: NearWaitQuestion): Instant | undefined {
  const detourMs = farRunMs - nearRunMs;
  if (detourMs <= 0) return undefined;
  const latestFarStart = dueAt - farRunMs * (1 + runMarginShare) - startMs;
  const latestNearStart = dueAt - nearRunMs * (1 + runMarginShare) - startMs;
  const deadline =
    now <= latestFarStart
      ? Math.min(now + detourMs * (1 + utilization), latestFarStart)
      : latestNearStart;
  const waitShare = isWaiting ? 1 : newWaitShare;
  return nearWaitMs <= (deadline - now) * waitShare ? deadline : undefined;
}

/**
 * Estimates the time until several full targets have freed the given processors, in thousandths of a
 * core, in ms; infinite without targets. Their runs are taken to end evenly over the given run time.
 * Runs that are queued there go first and are taken to need as much each.
 */
export function estimateCapacityWaitMs(
  cpuMillis: number,
  targets: readonly CandidateTarget[],
  runMs: number,
): number {
  let freedPerMs = 0;
  let queued = 0;
  for (const {capacity, used, waitingRank} of targets) {
    freedPerMs += Math.min(capacity.cpuMillis, used.cpuMillis) / runMs;
    queued += waitingRank === undefined ? 0 : 1;
  }
  if (freedPerMs === 0) return Infinity;
  return ((queued + 1) * Math.max(1, cpuMillis)) / freedPerMs;
}

/** Computes the share of the targets' processors that is in use, from 0 to 1. */
export function computeUtilization(
  targets: readonly CandidateTarget[],
): number {
  let used = 0;
  let all = 0;
  for (const target of targets) {
    used += Math.min(target.capacity.cpuMillis, target.used.cpuMillis);
    all += target.capacity.cpuMillis;
  }
  return all === 0 ? 0 : used / all;
}
