import {type TargetInfo, weighRendezvous} from '#model';
import {isHoldable, type PlacingTask} from './room-placement.js';

/** Targets of a service that one dispatcher places tasks on as a rule. */
const maxFollowed = 12;
/** Dispatchers of a service at least: one of them may be lost, and another one beside it. */
const minHomes = 4;
/** Share of a service's targets whose dispatchers take jobs, beyond that. */
const homeShare = 0.5;
/** Targets that could hold a task, or have its data, among those that a dispatcher places it on. */
const minHolders = 4;

/** What a task asks of the kind and the place of its target. */
export type TaskNeeds = Pick<
  PlacingTask,
  'demand' | 'requiredLabel' | 'dataRack'
>;

/**
 * Chooses the targets of a service that a dispatcher places tasks on. Load pattern: as many dispatchers
 * as targets; if each knew all, messages would grow with the square of the site, and each would hear of
 * a load the later the more there are. Of a dozen random ones one has room nearly as surely as of all.
 * The dispatcher's own target is always among them, and each target is followed by about as many.
 */
export function chooseFollowed(
  dispatcher: string,
  targets: readonly TargetInfo[],
): readonly TargetInfo[] {
  return takeBest(dispatcher, targets, maxFollowed);
}

/**
 * Chooses further targets for a task that few of the followed ones could hold, or have the data of: few
 * targets are of its kind, or stand in the rack of its data.
 */
export function chooseHolders(
  dispatcher: string,
  needs: TaskNeeds,
  targets: readonly TargetInfo[],
): readonly TargetInfo[] {
  const holders = targets.filter(info => isHolder(info, needs));
  return takeBest(dispatcher, holders, minHolders);
}

/**
 * Chooses the targets whose dispatchers take a service's jobs: those who know the same targets choose the
 * same. Load pattern: a pool that is nearly full, where each dispatcher beyond what the work needs makes
 * the loads that it and the others hear of older, and splits the order of what waits once more.
 */
export function chooseHomes(
  service: string,
  targets: readonly TargetInfo[],
): readonly TargetInfo[] {
  const count = Math.max(minHomes, Math.ceil(targets.length * homeShare));
  return takeBest(service, targets, count);
}

function isHolder({capacity}: TargetInfo, needs: TaskNeeds): boolean {
  if (capacity.kind !== 'room' || !isHoldable({room: capacity}, needs)) {
    return false;
  }
  const {dataRack} = needs;
  return dataRack === undefined || capacity.labels.includes(dataRack);
}

function takeBest(
  dispatcher: string,
  targets: readonly TargetInfo[],
  count: number,
): readonly TargetInfo[] {
  if (targets.length <= count) return targets;
  const weigh = ({target}: TargetInfo) =>
    target === dispatcher ? Infinity : weighRendezvous(dispatcher, target);
  return targets
    .map(info => ({info, weight: weigh(info)}))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, count)
    .map(({info}) => info);
}
