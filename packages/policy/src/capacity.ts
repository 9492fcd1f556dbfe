import type {ResourceCapacity, ResourceRequest} from '#model';

/** Capacity of a target for runs, by resource. */
export type RunCapacity = Pick<ResourceCapacity, keyof ResourceRequest>;

export const emptyDemand: ResourceRequest = {
  cpuMillis: 0,
  memoryMb: 0,
  accelerators: 0,
};

/** Adds the demand of further runs to what is in use. */
export function sumDemand(
  used: ResourceRequest,
  more: ResourceRequest,
): ResourceRequest {
  return {
    cpuMillis: used.cpuMillis + more.cpuMillis,
    memoryMb: used.memoryMb + more.memoryMb,
    accelerators: used.accelerators + more.accelerators,
  };
}

/** Subtracts the demand of ended runs from what is in use. */
export function subtractDemand(
  used: ResourceRequest,
  less: ResourceRequest,
): ResourceRequest {
  return {
    cpuMillis: used.cpuMillis - less.cpuMillis,
    memoryMb: used.memoryMb - less.memoryMb,
    accelerators: used.accelerators - less.accelerators,
  };
}

/** Whether a run fits into the capacity that is not in use. */
export function hasCapacityFor(
  capacity: RunCapacity,
  used: ResourceRequest,
  demand: ResourceRequest,
): boolean {
  return isWithinCapacity(sumDemand(used, demand), capacity);
}

/**
 * Whether one more run may be queued at a target that has no free capacity for it. Otherwise, capacity
 * freed at a full target would stay idle until a dispatcher has learned of it. Only one run is queued
 * ahead, as further ones would miss capacity that becomes free at other targets.
 */
export function canQueueAhead(
  capacity: RunCapacity,
  accepted: ResourceRequest,
): boolean {
  return isWithinCapacity(accepted, capacity);
}

/** Whether what is in use is at most the capacity in every resource. */
export function isWithinCapacity(
  used: ResourceRequest,
  capacity: RunCapacity,
): boolean {
  return (
    used.cpuMillis <= capacity.cpuMillis &&
    used.memoryMb <= capacity.memoryMb &&
    used.accelerators <= capacity.accelerators
  );
}
