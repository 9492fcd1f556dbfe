import {type Capacity, failUnreachable, type ResourceDemand} from '#model';

/** Limits the slots of a worker, however little its tasks demand. */
const maxWorkerSlots = 1024;

/**
 * Counts the tasks that a target can run concurrently. At a worker each task is
 * assumed to need the maximum of the given demands, so that any mix fits.
 */
export function countSlots(
  capacity: Capacity,
  demands: readonly ResourceDemand[],
): number {
  switch (capacity.kind) {
    case 'executor':
      return Math.min(capacity.slots, capacity.maxConnections);
    case 'worker': {
      const fit = (resource: keyof ResourceDemand) =>
        countFits(
          capacity[resource],
          Math.max(...demands.map(demand => demand[resource])),
        );
      return Math.min(
        maxWorkerSlots,
        fit('cores'),
        fit('memoryMb'),
        fit('accelerators'),
      );
    }
    default:
      return failUnreachable(capacity);
  }
}

function countFits(available: number, each: number): number {
  return each > 0 ? Math.floor(available / each) : maxWorkerSlots;
}
