import type {Instant, RoomDemand} from '#model';
import {emptyDemand, type RoomSize, subtractDemand} from '#policy';
import type {TargetLoad} from '#protocol';
import type {Backlog} from './backlog.js';
import type {RunTable} from './run-table.js';
import type {TrackRecord} from './track-record.js';

/** What dispatchers are told of the target, apart from what they have there themselves. */
export interface LoadSources {
  readonly isOpen: boolean;
  readonly runs: RunTable;
  readonly backlog: Backlog;
  readonly record: TrackRecord;
}

/** Describes the load by all dispatchers but the one that holds `own`. */
export function describeLoad(
  {isOpen, runs, backlog, record}: LoadSources,
  own: RoomDemand,
  now: Instant,
): TargetLoad {
  const {last} = backlog;
  return {
    open: isOpen,
    ...subtractDemand(runs.accepted, own),
    slowness: record.slowness,
    failing: record.failing,
    ...(last !== undefined && {waitingRankMs: last.rank - now}),
  };
}

/** A load is told once it is off by half of the room that is free: the load of a target that is nearly full is told exactly. */
const notableRoomShare = 0.5;
/** A speed that has changed by this share is told, even when the load has not changed. */
const notableSpeedChange = 0.25;
const notableFailingChange = 0.1;

/** The room that no accepted run holds or waits for. */
export interface FreeRoom extends RoomSize {
  /** True when the room of two more runs like those that are there is not left. */
  readonly isTight: boolean;
}

/** Computes the free room; none before an executor is known. */
export function computeFreeRoom(
  room: RoomSize | undefined,
  {accepted, size}: Pick<RunTable, 'accepted' | 'size'>,
): FreeRoom {
  if (room === undefined) return {...emptyDemand, isTight: false};
  const free = subtractDemand(room, accepted);
  const isTight =
    size > 0 && accepted.cpuMillis * (size + 2) >= room.cpuMillis * size;
  return {
    cpuMillis: Math.max(0, free.cpuMillis),
    memoryMb: Math.max(0, free.memoryMb),
    accelerators: Math.max(0, free.accelerators),
    isTight,
  };
}

/**
 * Tells whether a load is worth a message to a dispatcher that was told another one. Load pattern: many
 * targets and dispatchers, where each start and each end changes a load, and nearly all of the
 * changes decide nothing: the target has room for more than anybody sends at a time.
 */
export function isLoadNews(
  told: TargetLoad | undefined,
  load: TargetLoad,
  free: RoomSize,
): boolean {
  if (told === undefined) return true;
  const isNotable = (kind: keyof RoomSize) => {
    const change = Math.abs(load[kind] - told[kind]);
    return change > 0 && change > notableRoomShare * free[kind];
  };
  return (
    told.open !== load.open ||
    Math.abs(load.slowness - told.slowness) >
      notableSpeedChange * told.slowness ||
    Math.abs(load.failing - told.failing) > notableFailingChange ||
    isNotable('cpuMillis') ||
    isNotable('memoryMb') ||
    isNotable('accelerators')
  );
}
