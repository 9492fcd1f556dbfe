import type {Instant, RoomDemand} from '#model';
import {type RoomSize, subtractDemand} from '#policy';
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

/** True when the room of two more runs like those that are there is not left; unset before an executor is known. */
export function isTight(
  room: RoomSize | undefined,
  {accepted, size}: Pick<RunTable, 'accepted' | 'size'>,
): boolean {
  if (room === undefined || size === 0) return false;
  return accepted.cpuMillis * (size + 2) >= room.cpuMillis * size;
}
