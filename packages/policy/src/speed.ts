import type {PlacementSources} from './placement.js';

/** Minimum weight of a slow target: it still gets some tasks, so that its recovery is noticed. */
const minDrawWeight = 0.1;

/** Computes a target's weight in a random draw: 1 up to the service's mean run time, less above it. */
export function computeDrawWeight(
  runMs: number,
  {service, runTimes}: Pick<PlacementSources, 'service' | 'runTimes'>,
): number {
  const meanMs = runTimes.computeMean(service);
  if (meanMs === 0) return 1;
  return Math.min(1, Math.max(minDrawWeight, meanMs / runMs));
}
