import type {Instant, ServiceName, TargetId} from '#model';

/** A histogram with geometric bins, whose weights halve in every half-life. */
class DecayingHistogram {
  private readonly bins = new Float64Array(binCount);
  private total = 0;
  private sum = 0;

  /** `origin` is the time at which an observation has weight 1; later ones weigh more. */
  constructor(
    private readonly halfLifeMs: number,
    private origin: Instant,
  ) {}

  observe(value: number, now: Instant): void {
    let weight = this.weigh(now);
    if (weight > maxWeight) {
      this.moveOrigin(now);
      weight = 1;
    }
    this.bins[findBin(value)]! += weight;
    this.total += weight;
    this.sum += weight * value;
  }

  /** Counts the observations, weighted relative to one made now. */
  count(now: Instant): number {
    return this.total / this.weigh(now);
  }

  /** Returns 0 for an empty histogram. */
  computeMean(): number {
    return this.total === 0 ? 0 : this.sum / this.total;
  }

  /** Returns the center of the bin that contains the quantile; 0 for an empty histogram. */
  computeQuantile(quantile: number): number {
    let remaining = quantile * this.total;
    for (let i = 0; i < binCount; i++) {
      remaining -= this.bins[i]!;
      if (remaining <= 0 && this.bins[i]! > 0) return computeBinCenter(i);
    }
    return this.computeMean();
  }

  private weigh(now: Instant): number {
    return 2 ** ((now - this.origin) / this.halfLifeMs);
  }

  private moveOrigin(now: Instant): void {
    const factor = 1 / this.weigh(now);
    for (let i = 0; i < binCount; i++) this.bins[i]! *= factor;
    this.total *= factor;
    this.sum *= factor;
    this.origin = now;
  }
}

/** An exponentially weighted mean, whose weight halves in every half-life. */
interface DecayingMean {
  readonly mean: number;
  readonly weight: number;
  readonly at: Instant;
}

interface ServiceStats {
  readonly runs: DecayingHistogram;
  /** Mean of ln(run time / hint). */
  hintError: DecayingMean;
  readonly targets: Map<TargetId, DecayingMean>;
  /** Distribution of run time / mean run time on the same target. */
  readonly ratiosToTargetMean: DecayingHistogram;
}

export interface EstimateLimits {
  readonly halfLifeMs: number;
  /** Weight of a caller's hint, in observations. */
  readonly hintWeight: number;
  /** Weight of the service's mean in the estimate for one target, in observations. */
  readonly priorWeight: number;
  readonly maxServices: number;
  readonly maxTargetsPerService: number;
}

export const defaultEstimateLimits: EstimateLimits = {
  halfLifeMs: 30_000,
  hintWeight: 3,
  priorWeight: 2,
  maxServices: 1000,
  maxTargetsPerService: 4096,
};

const tailQuantile = 0.95;
const defaultTailRatio = 3;
/** Observations needed before ratios to a target's mean are recorded, and ratios needed before their distribution is used. */
const minRatioObservations = 5;
/** Estimate for a service without observations or hints. */
const defaultRunMs = 100;
const minRunMs = 0.5;
const binGrowth = 1.15;
const binCount = 110;
/** Weight of an observation beyond which the origin moves, so that weights stay finite. */
const maxWeight = 2 ** 40;
const emptyMean: DecayingMean = {mean: 0, weight: 0, at: 0};

/**
 * Observed run times by service and target. Uses constant memory per key and
 * evicts the least recently observed keys beyond the limits.
 */
export class RunTimes {
  private readonly services = new Map<ServiceName, ServiceStats>();

  constructor(
    private readonly limits: EstimateLimits = defaultEstimateLimits,
  ) {}

  /** Records a successful run. Failed runs are no evidence of how long the work takes. */
  observe(
    service: ServiceName,
    target: TargetId,
    runMs: number,
    hintMs: number | undefined,
    now: Instant,
  ): void {
    const {halfLifeMs, maxTargetsPerService} = this.limits;
    const value = Math.max(minRunMs, runMs);
    const stats = this.getOrCreateService(service, now);
    const targetMean = stats.targets.get(target) ?? emptyMean;
    stats.runs.observe(value, now);
    if (targetMean.weight >= minRatioObservations) {
      stats.ratiosToTargetMean.observe(value / targetMean.mean, now);
    }
    setMostRecent(
      stats.targets,
      target,
      updateMean(targetMean, value, now, halfLifeMs),
      maxTargetsPerService,
    );
    if (hintMs === undefined || hintMs <= 0) return;
    const error = Math.log(value / hintMs);
    stats.hintError = updateMean(stats.hintError, error, now, halfLifeMs);
  }

  /** Counts the observations of a service, weighted by age. */
  countObservations(service: ServiceName, now: Instant): number {
    return this.services.get(service)?.runs.count(now) ?? 0;
  }

  /** Returns the mean run time of a service in ms; 0 before the first observation. */
  computeMean(service: ServiceName): number {
    return this.services.get(service)?.runs.computeMean() ?? 0;
  }

  /**
   * Estimates a quantile of a service's run times in ms. A hint counts as a few
   * observations and is corrected by the mean error of earlier hints.
   */
  estimateRun(
    service: ServiceName,
    quantile: number,
    hintMs: number | undefined,
    now: Instant,
  ): number {
    const stats = this.services.get(service);
    const hint = this.adjustHint(stats, hintMs);
    if (stats === undefined) return hint;
    const count = stats.runs.count(now);
    const observed = stats.runs.computeQuantile(quantile);
    if (observed === 0) return hint;
    const {hintWeight} = this.limits;
    const blended =
      (count * Math.log(observed) + hintWeight * Math.log(hint)) /
      (count + hintWeight);
    return Math.exp(blended);
  }

  /**
   * Estimates the mean run time on one target in ms. The fewer recent
   * observations the target has, the closer it is to the service's mean.
   */
  estimateMeanOnTarget(
    service: ServiceName,
    target: TargetId,
    now: Instant,
  ): number {
    const stats = this.services.get(service);
    if (stats === undefined) return defaultRunMs;
    const prior = stats.runs.computeMean();
    const own = stats.targets.get(target);
    if (own === undefined) return prior;
    const weight = computeWeight(own, now, this.limits.halfLifeMs);
    const {priorWeight} = this.limits;
    return (weight * own.mean + priorWeight * prior) / (weight + priorWeight);
  }

  /** Estimates the ratio of a high quantile of run times on a target to the mean on that target; at least 1. */
  estimateTailRatio(service: ServiceName, now: Instant): number {
    const ratios = this.services.get(service)?.ratiosToTargetMean;
    if (ratios === undefined || ratios.count(now) < minRatioObservations) {
      return defaultTailRatio;
    }
    return Math.max(1, ratios.computeQuantile(tailQuantile));
  }

  /** Removes the observations of a target that has left. */
  forgetTarget(service: ServiceName, target: TargetId): void {
    this.services.get(service)?.targets.delete(target);
  }

  private getOrCreateService(service: ServiceName, now: Instant): ServiceStats {
    const stats = this.services.get(service) ?? {
      runs: new DecayingHistogram(this.limits.halfLifeMs, now),
      hintError: emptyMean,
      targets: new Map(),
      ratiosToTargetMean: new DecayingHistogram(this.limits.halfLifeMs, now),
    };
    setMostRecent(this.services, service, stats, this.limits.maxServices);
    return stats;
  }

  private adjustHint(
    stats: ServiceStats | undefined,
    hintMs: number | undefined,
  ): number {
    if (hintMs === undefined || hintMs <= 0) {
      return stats?.runs.computeMean() || defaultRunMs;
    }
    const error = stats?.hintError ?? emptyMean;
    const errorWeight = error.weight / (error.weight + this.limits.hintWeight);
    return Math.max(minRunMs, hintMs * Math.exp(error.mean * errorWeight));
  }
}

/** Sets a key as the most recently used one and evicts the least recently used one beyond the limit. */
function setMostRecent<Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  value: Value,
  maxKeys: number,
): void {
  map.delete(key);
  map.set(key, value);
  if (map.size > maxKeys) map.delete(map.keys().next().value!);
}

function computeWeight(
  mean: DecayingMean,
  now: Instant,
  halfLifeMs: number,
): number {
  return mean.weight * 2 ** (-(now - mean.at) / halfLifeMs);
}

function updateMean(
  previous: DecayingMean,
  value: number,
  now: Instant,
  halfLifeMs: number,
): DecayingMean {
  const decayedWeight = computeWeight(previous, now, halfLifeMs);
  const weight = decayedWeight + 1;
  return {
    mean: (decayedWeight * previous.mean + value) / weight,
    weight,
    at: now,
  };
}

function findBin(value: number): number {
  const bin = Math.floor(Math.log(value / minRunMs) / Math.log(binGrowth));
  return Math.min(binCount - 1, Math.max(0, bin));
}

function computeBinCenter(bin: number): number {
  return minRunMs * binGrowth ** (bin + 0.5);
}
