import {
  computeRendezvousWeight,
  type FailureDomain,
  type TargetInfo,
} from '#model';
import {canHoldWhenEmpty, type ReadyTask} from './capacity-placement.js';

/** Size of the subset of targets on which a dispatcher normally places tasks of a service. */
const maxSubsetTargets = 12;
/** Minimum number of homes of a service, as two of them may be lost at the same time. */
const minHomes = 4;
/** Fraction of a service's targets that are its homes, if that is more than the minimum. */
const homeRatio = 0.5;
/** Maximum number of targets chosen for a task that few targets of the subset could run. */
const maxCapableTargets = 4;

/** Requirements of a task for the capacity, label and rack of its target. */
export type TaskRequirements = Pick<
  ReadyTask,
  'demand' | 'requiredLabel' | 'dataRack'
>;

/**
 * Chooses the subset of a service's targets on which a dispatcher places tasks, by rendezvous hashing.
 * There are as many dispatchers as targets: if each used all targets, the number of messages would grow
 * with the square of the number of targets, and load reports would arrive later. Among a dozen random
 * targets, one has free capacity nearly as surely as among all. The subset always contains the
 * dispatcher's own target, and each target is in the subsets of about as many dispatchers.
 */
export function chooseTargetSubset(
  dispatcher: string,
  targets: readonly TargetInfo[],
): readonly TargetInfo[] {
  return takeHighestRanked(dispatcher, targets, maxSubsetTargets);
}

/**
 * Chooses targets for a task that few targets of a dispatcher's subset could hold, or few in the rack of
 * its data. Returns only targets that could hold the task and, if it has data, are in the data's rack.
 */
export function chooseCapableTargets(
  dispatcher: string,
  needs: TaskRequirements,
  targets: readonly TargetInfo[],
): readonly TargetInfo[] {
  const capable = targets.filter(info => isCapable(info, needs));
  return takeHighestRanked(dispatcher, capable, maxCapableTargets);
}

/** Filters out the targets of evacuated failure domains. */
export function filterInService(
  targets: readonly TargetInfo[],
  evacuated: ReadonlySet<FailureDomain>,
): readonly TargetInfo[] {
  if (evacuated.size === 0) return targets;
  return targets.filter(({place}) => !evacuated.has(place.failureDomain));
}

/**
 * Chooses the targets that a dispatcher keeps connections to. Load pattern: a failure domain is evacuated
 * and taken back. The dispatcher then uses as many targets as before, and the links to those of the
 * evacuated domain are kept, as all dispatchers would otherwise open them again at the same moment.
 */
export function chooseFollowedTargets(
  dispatcher: string,
  targets: readonly TargetInfo[],
  evacuated: ReadonlySet<FailureDomain>,
): ReadonlySet<TargetInfo> {
  const used = filterInService(targets, evacuated);
  return new Set([
    ...chooseTargetSubset(dispatcher, used),
    ...(used === targets ? [] : chooseTargetSubset(dispatcher, targets)),
  ]);
}

/**
 * Chooses a service's homes, the targets whose dispatchers accept its jobs. The choice depends only on
 * the service and its targets, so all that know the same targets agree. While a failure domain is
 * evacuated, homes are chosen from the other targets, if there are any; most homes outside the domain
 * stay homes. When a service is nearly full, each dispatcher beyond those needed makes load reports
 * older for all and splits the waiting work into one more separately ordered queue.
 */
export function chooseHomeDispatchers(
  service: string,
  targets: readonly TargetInfo[],
  evacuated: ReadonlySet<FailureDomain> = new Set(),
): readonly TargetInfo[] {
  const inService = filterInService(targets, evacuated);
  const available = inService.length === 0 ? targets : inService;
  const count = Math.max(minHomes, Math.ceil(available.length * homeRatio));
  return takeHighestRanked(service, available, count);
}

function isCapable({capacity}: TargetInfo, needs: TaskRequirements): boolean {
  if (capacity.kind !== 'room' || !canHoldWhenEmpty({capacity}, needs)) {
    return false;
  }
  const {dataRack} = needs;
  return dataRack === undefined || capacity.labels.includes(dataRack);
}

function takeHighestRanked(
  key: string,
  targets: readonly TargetInfo[],
  count: number,
): readonly TargetInfo[] {
  if (targets.length <= count) return targets;
  const weigh = ({target}: TargetInfo) =>
    target === key ? Infinity : computeRendezvousWeight(key, target);
  return targets
    .map(info => ({info, weight: weigh(info)}))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, count)
    .map(({info}) => info);
}
