import type {Instant, ServiceName, TargetId} from '#model';

/** A histogram with geometric bins whose counts halve every half-life. */
class DecayingHistogram {
  private readonly bins = new Float64Array(binCount);
  private total = 0;
  private sum = 0;

  /** `origin` is the time at which an observation has the weight 1. */
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

  /** How many observations of this moment the ones so far are worth. */
  count(now: Instant): number {
    return this.total / this.weigh(now);
  }

  /** The mean of an empty histogram is 0. */
  computeMean(): number {
    return this.total === 0 ? 0 : this.sum / this.total;
  }

  /** Returns the middle of the bin that holds the quantile. */
  computeQuantile(quantile: number): number {
    let rest = quantile * this.total;
    for (let i = 0; i < binCount; i++) {
      rest -= this.bins[i]!;
      if (rest <= 0 && this.bins[i]! > 0) return getBinMiddle(i);
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

/** A mean whose weight halves every half-life. */
interface DecayingMean {
  readonly mean: number;
  readonly weight: number;
  readonly at: Instant;
}

interface ServiceRuns {
  readonly runs: DecayingHistogram;
  /** Of ln(run time / hint). */
  hintError: DecayingMean;
  readonly targets: Map<TargetId, DecayingMean>;
  /** Of run time / mean on the same target. */
  readonly spread: DecayingHistogram;
}

export interface EstimateLimits {
  readonly halfLifeMs: number;
  /** Observations that one caller's hint is worth. */
  readonly hintWeight: number;
  /** Observations that the service's mean is worth against those of one target. */
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
const defaultTail = 3;
/** Observations of a target before its mean is a measure for its runs. */
const minSpreadWeight = 5;
/** A task of which nothing is known yet. */
const defaultRunMs = 100;
const minRunMs = 0.5;
const binGrowth = 1.15;
const binCount = 110;
const maxWeight = 2 ** 40;
const unknownMean: DecayingMean = {mean: 0, weight: 0, at: 0};

/**
 * Run times as observed, by service and by target. Memory is constant for each
 * key, and the keys least recently observed are forgotten beyond the limits.
 */
export class RunTimes {
  private readonly services = new Map<ServiceName, ServiceRuns>();

  constructor(
    private readonly limits: EstimateLimits = defaultEstimateLimits,
  ) {}

  /** Records one successful run. Failed runs say nothing of how long the work takes. */
  observe(
    service: ServiceName,
    target: TargetId,
    runMs: number,
    hintMs: number | undefined,
    now: Instant,
  ): void {
    const {halfLifeMs, maxTargetsPerService} = this.limits;
    const value = Math.max(minRunMs, runMs);
    const known = this.openService(service, now);
    const ofTarget = known.targets.get(target) ?? unknownMean;
    known.runs.observe(value, now);
    if (ofTarget.weight >= minSpreadWeight) {
      known.spread.observe(value / ofTarget.mean, now);
    }
    touchKey(
      known.targets,
      target,
      blendMean(ofTarget, value, now, halfLifeMs),
      maxTargetsPerService,
    );
    if (hintMs === undefined || hintMs <= 0) return;
    const error = Math.log(value / hintMs);
    known.hintError = blendMean(known.hintError, error, now, halfLifeMs);
  }

  /** Counts the observations of a service, each less the older it is. */
  countObservations(service: ServiceName, now: Instant): number {
    return this.services.get(service)?.runs.count(now) ?? 0;
  }

  /** Returns the mean run time of a service in ms; 0 before the first observation. */
  computeMean(service: ServiceName): number {
    return this.services.get(service)?.runs.computeMean() ?? 0;
  }

  /**
   * Estimates a quantile of a service's run times in ms. A hint counts as a few
   * observations, corrected by how far earlier hints were off.
   */
  estimateRun(
    service: ServiceName,
    quantile: number,
    hintMs: number | undefined,
    now: Instant,
  ): number {
    const known = this.services.get(service);
    const hint = this.adjustHint(known, hintMs);
    if (known === undefined) return hint;
    const count = known.runs.count(now);
    const observed = known.runs.computeQuantile(quantile);
    if (observed === 0) return hint;
    const {hintWeight} = this.limits;
    const blended =
      (count * Math.log(observed) + hintWeight * Math.log(hint)) /
      (count + hintWeight);
    return Math.exp(blended);
  }

  /**
   * Estimates the mean run time on one target in ms. It leans towards the
   * service's mean while the target has few recent observations.
   */
  estimateOn(service: ServiceName, target: TargetId, now: Instant): number {
    const known = this.services.get(service);
    if (known === undefined) return defaultRunMs;
    const pool = known.runs.computeMean();
    const one = known.targets.get(target);
    if (one === undefined) return pool;
    const weight = computeWeight(one, now, this.limits.halfLifeMs);
    const {priorWeight} = this.limits;
    return (weight * one.mean + priorWeight * pool) / (weight + priorWeight);
  }

  /** Estimates how many times its mean on one target a long task of a service runs there. */
  estimateTail(service: ServiceName, now: Instant): number {
    const spread = this.services.get(service)?.spread;
    if (spread === undefined || spread.count(now) < minSpreadWeight) {
      return defaultTail;
    }
    return Math.max(1, spread.computeQuantile(tailQuantile));
  }

  /** Forgets a target that is gone. */
  forgetTarget(service: ServiceName, target: TargetId): void {
    this.services.get(service)?.targets.delete(target);
  }

  private openService(service: ServiceName, now: Instant): ServiceRuns {
    const known = this.services.get(service) ?? {
      runs: new DecayingHistogram(this.limits.halfLifeMs, now),
      hintError: unknownMean,
      targets: new Map(),
      spread: new DecayingHistogram(this.limits.halfLifeMs, now),
    };
    touchKey(this.services, service, known, this.limits.maxServices);
    return known;
  }

  private adjustHint(
    known: ServiceRuns | undefined,
    hintMs: number | undefined,
  ): number {
    if (hintMs === undefined || hintMs <= 0) {
      return known?.runs.computeMean() || defaultRunMs;
    }
    const error = known?.hintError ?? unknownMean;
    const trust = error.weight / (error.weight + this.limits.hintWeight);
    return Math.max(minRunMs, hintMs * Math.exp(error.mean * trust));
  }
}

/** Sets the key as the one last used and evicts the one least recently used. */
function touchKey<Key, Value>(
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

function blendMean(
  old: DecayingMean,
  value: number,
  now: Instant,
  halfLifeMs: number,
): DecayingMean {
  const kept = computeWeight(old, now, halfLifeMs);
  const weight = kept + 1;
  return {mean: (kept * old.mean + value) / weight, weight, at: now};
}

function findBin(value: number): number {
  const bin = Math.floor(Math.log(value / minRunMs) / Math.log(binGrowth));
  return Math.min(binCount - 1, Math.max(0, bin));
}

function getBinMiddle(bin: number): number {
  return minRunMs * binGrowth ** (bin + 0.5);
}
