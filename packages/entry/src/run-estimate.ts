import type {Instant, ServiceName} from '#model';
import type {RunEstimate, RunTimes} from '#policy';

const lowQuantile = 0.05;
const medianQuantile = 0.5;
const highQuantile = 0.95;

/**
 * Estimates the run time of a service's task for admission control, taking the caller's hint into
 * account.
 */
export function estimateRun(
  runTimes: RunTimes,
  service: ServiceName,
  hintMs: number | undefined,
  now: Instant,
): RunEstimate {
  const estimate = (quantile: number) =>
    runTimes.estimateRun(service, quantile, hintMs, now);
  return {
    lowMs: estimate(lowQuantile),
    medianMs: estimate(medianQuantile),
    highMs: estimate(highQuantile),
    meanMs: runTimes.computeMean(service),
    observations: runTimes.countObservations(service, now),
  };
}
