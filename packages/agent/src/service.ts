import {
  type Capacity,
  type Configuration,
  failUnreachable,
  type Objective,
  type PlacementPolicy,
  type ResourceDemand,
  type ServiceConfig,
  type ServiceName,
} from '#model';

/** The most slots that a worker has, whatever its tasks demand. */
const maxWorkerSlots = 1024;

/** Returns the service's configuration, if it has one. */
export function findService(
  configuration: Configuration,
  name: ServiceName,
): ServiceConfig | undefined {
  return configuration.services.find(service => service.name === name);
}

/** Returns how a service's tasks are placed: as configured, or by its objective. */
export function choosePlacement(service: ServiceConfig): PlacementPolicy {
  return service.placement ?? chooseByObjective(service.objective);
}

function chooseByObjective(objective: Objective): PlacementPolicy {
  switch (objective.kind) {
    case 'response-time':
      return {kind: 'credit'};
    case 'fewest-messages':
      return {kind: 'credit'};
    default:
      return failUnreachable(objective);
  }
}

/** Counts the tasks that a target can run at a time. */
export function countSlots(capacity: Capacity, demand: ResourceDemand): number {
  switch (capacity.kind) {
    case 'executor':
      return Math.min(capacity.slots, capacity.maxConnections);
    case 'worker':
      return Math.min(
        maxWorkerSlots,
        countFits(capacity.cores, demand.cores),
        countFits(capacity.memoryMb, demand.memoryMb),
        countFits(capacity.accelerators, demand.accelerators),
      );
    default:
      return failUnreachable(capacity);
  }
}

function countFits(available: number, each: number): number {
  return each > 0 ? Math.floor(available / each) : maxWorkerSlots;
}
