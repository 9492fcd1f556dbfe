import type {Room, RoomDemand} from '#model';

export const nothing: RoomDemand = {
  cpuMillis: 0,
  memoryMb: 0,
  accelerators: 0,
};

/** Adds what one more run holds. */
export function addDemand(used: RoomDemand, more: RoomDemand): RoomDemand {
  return {
    cpuMillis: used.cpuMillis + more.cpuMillis,
    memoryMb: used.memoryMb + more.memoryMb,
    accelerators: used.accelerators + more.accelerators,
  };
}

/** Subtracts what an ended run held. */
export function subtractDemand(used: RoomDemand, less: RoomDemand): RoomDemand {
  return {
    cpuMillis: used.cpuMillis - less.cpuMillis,
    memoryMb: used.memoryMb - less.memoryMb,
    accelerators: used.accelerators - less.accelerators,
  };
}

/** True when a run fits beside what is in use. */
export function isFitting(
  room: Pick<Room, 'cpuMillis' | 'memoryMb' | 'accelerators'>,
  used: RoomDemand,
  demand: RoomDemand,
): boolean {
  return (
    used.cpuMillis + demand.cpuMillis <= room.cpuMillis &&
    used.memoryMb + demand.memoryMb <= room.memoryMb &&
    used.accelerators + demand.accelerators <= room.accelerators
  );
}
