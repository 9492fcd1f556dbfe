import type {Instant, ResourceRequest} from '#model';
import {
  emptyDemand,
  type RunCapacity,
  subtractDemand,
  sumDemand,
} from '#policy';
import type {TargetLoad} from '#protocol';
import type {Backlog} from './backlog.js';
import type {RunTable} from './run-table.js';
import type {TargetStats} from './target-stats.js';

/** The runner's state from which the load reported to dispatchers is computed. */
export interface LoadSources {
  readonly isOpen: boolean;
  /** Room that isn't offered for now. It counts as used. */
  readonly withheld: ResourceRequest;
  readonly runs: RunTable;
  readonly backlog: Backlog;
  readonly stats: TargetStats;
}

/** Describes the load from all dispatchers except the one whose demand is `own`. */
export function describeLoad(
  {isOpen, withheld, runs, backlog, stats}: LoadSources,
  own: ResourceRequest,
  now: Instant,
): TargetLoad {
  const {last} = backlog;
  return {
    open: isOpen,
    ...subtractDemand(sumDemand(runs.accepted, withheld), own),
    slowness: stats.slowness,
    failing: stats.failing,
    ...(last !== undefined && {waitingRankMs: last.rank - now}),
  };
}

/** A load is reported once it has changed by half of the free capacity, so a nearly full target reports its load exactly. */
const minCapacityChangeShare = 0.5;
/** A slowness that has changed by this share is reported, even when the load has not changed. */
const minSlownessChangeShare = 0.25;
const minFailingChange = 0.1;

/** The capacity that no accepted run uses or waits for. */
export interface FreeCapacity extends RunCapacity {
  /** True when two more runs of the average demand would fill or exceed the processors. */
  readonly isNearlyFull: boolean;
}

/** Computes the free capacity; zero before an executor is known. */
export function computeFreeCapacity(
  room: RunCapacity | undefined,
  {accepted, size}: Pick<RunTable, 'accepted' | 'size'>,
): FreeCapacity {
  if (room === undefined) return {...emptyDemand, isNearlyFull: false};
  const free = subtractDemand(room, accepted);
  const isNearlyFull =
    size > 0 && accepted.cpuMillis * (size + 2) >= room.cpuMillis * size;
  return {
    cpuMillis: Math.max(0, free.cpuMillis),
    memoryMb: Math.max(0, free.memoryMb),
    accelerators: Math.max(0, free.accelerators),
    isNearlyFull,
  };
}

/**
 * Whether a load differs enough from the one last reported to a dispatcher to be worth a message. Load
 * pattern: many targets and dispatchers, where each start and each end of a run changes a load, but
 * hardly any change affects placement, as the target has capacity for more than is sent at a time.
 */
export function shouldReportLoad(
  reported: TargetLoad | undefined,
  load: TargetLoad,
  free: RunCapacity,
): boolean {
  if (reported === undefined) return true;
  const isNotable = (kind: keyof RunCapacity) => {
    const change = Math.abs(load[kind] - reported[kind]);
    return change > 0 && change > minCapacityChangeShare * free[kind];
  };
  return (
    reported.open !== load.open ||
    Math.abs(load.slowness - reported.slowness) >
      minSlownessChangeShare * reported.slowness ||
    Math.abs(load.failing - reported.failing) > minFailingChange ||
    isNotable('cpuMillis') ||
    isNotable('memoryMb') ||
    isNotable('accelerators')
  );
}
