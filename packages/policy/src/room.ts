import type {Room, RoomDemand} from '#model';

/** How much of each kind a target has for runs. */
export type RoomSize = Pick<Room, keyof RoomDemand>;

/** Holds nothing. */
export const emptyDemand: RoomDemand = {
  cpuMillis: 0,
  memoryMb: 0,
  accelerators: 0,
};

/** Adds what more runs hold. */
export function sumDemand(used: RoomDemand, more: RoomDemand): RoomDemand {
  return {
    cpuMillis: used.cpuMillis + more.cpuMillis,
    memoryMb: used.memoryMb + more.memoryMb,
    accelerators: used.accelerators + more.accelerators,
  };
}

/** Subtracts what ended runs held. */
export function subtractDemand(used: RoomDemand, less: RoomDemand): RoomDemand {
  return {
    cpuMillis: used.cpuMillis - less.cpuMillis,
    memoryMb: used.memoryMb - less.memoryMb,
    accelerators: used.accelerators - less.accelerators,
  };
}

/** True when a run fits beside what is in use. */
export function isFitting(
  room: RoomSize,
  used: RoomDemand,
  demand: RoomDemand,
): boolean {
  return isWithin(sumDemand(used, demand), room);
}

/**
 * True when one more run may wait at a target that has no room for it now. Load pattern: a full
 * target, whose next free room would stand empty until a dispatcher has heard of it. One run waits
 * there ahead of time; more would miss the room that becomes free elsewhere.
 */
export function canWaitAhead(room: RoomSize, accepted: RoomDemand): boolean {
  return isWithin(accepted, room);
}

/** True when a demand fits into a size in each kind. */
export function isWithin(used: RoomDemand, room: RoomSize): boolean {
  return (
    used.cpuMillis <= room.cpuMillis &&
    used.memoryMb <= room.memoryMb &&
    used.accelerators <= room.accelerators
  );
}
