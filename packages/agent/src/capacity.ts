import {type Capacity, failUnreachable, type ResourceDemand} from '#model';

/** The most slots that a worker has, whatever its tasks demand. */
const maxWorkerSlots = 1024;

/**
 * Counts the tasks that a target can run at a time. While tasks of several
 * demands run at a worker, each counts as the greatest of them, so that they
 * fit in any mix.
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
