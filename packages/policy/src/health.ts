import {failUnreachable, type Instant, type JobId, type TargetId} from '#model';
import {FailureAttribution} from './failure-attribution.js';

/** Determines how many tasks a target may have in flight. */
export type TargetStanding =
  | {readonly kind: 'healthy'}
  /** Failing: limited to one task in flight until one succeeds. */
  | {readonly kind: 'suspect'}
  | {readonly kind: 'ejected'; readonly until: Instant}
  /** After an ejection: limited to one task in flight until enough succeed. */
  | {readonly kind: 'probation'; readonly successes: number};

/** The outcome of one task at a target. Cancelled tasks and those not run are not recorded. */
export interface TaskOutcome {
  readonly target: TargetId;
  readonly job: JobId;
  readonly succeeded: boolean;
}

/** A new limit of the tasks in flight at a target. */
export interface InFlightLimit {
  readonly target: TargetId;
  readonly maxInFlight: number;
}

export interface HealthLimits {
  /** Outcomes needed to eject a target that is not on probation. */
  readonly minOutcomes: number;
  /** Failures of distinct jobs needed to eject a target that is not on probation. */
  readonly minFailures: number;
  /** Minimum failure ratio for an ejection. */
  readonly minFailureRatio: number;
  /** Minimum quotient of the failure ratio and that of all other targets. */
  readonly minRatioToOthers: number;
  /** Consecutive failures of distinct jobs that make a target suspect. */
  readonly minSuspectFailures: number;
  /** Maximum share of the pool that is ejected; in a pool of two or more, one always may be. */
  readonly maxEjectedShare: number;
  readonly baseEjectionMs: number;
  readonly maxEjectionMs: number;
  readonly probationSuccesses: number;
  /** Half-life of the recorded outcomes. */
  readonly halfLifeMs: number;
  /** Most recent jobs kept to distinguish failing jobs from failing targets. */
  readonly maxJobs: number;
}

export const defaultHealthLimits: HealthLimits = {
  minOutcomes: 5,
  minFailures: 3,
  minFailureRatio: 0.2,
  minRatioToOthers: 2,
  minSuspectFailures: 2,
  maxEjectedShare: 0.34,
  baseEjectionMs: 2000,
  maxEjectionMs: 120_000,
  probationSuccesses: 3,
  halfLifeMs: 20_000,
  maxJobs: 2048,
};

/** Exponentially decaying counts of outcomes, as of `at`. */
interface Tally {
  readonly successes: number;
  readonly failures: number;
  readonly at: Instant;
}

interface TargetHealth {
  readonly standing: TargetStanding;
  readonly tally: Tally;
  readonly consecutiveFailures: number;
  readonly ejections: number;
  /** An ejection before then lasts longer than the previous one. */
  readonly backoffResetAt: Instant;
}

const emptyTally: Tally = {successes: 0, failures: 0, at: 0};
const initialHealth: TargetHealth = {
  standing: {kind: 'healthy'},
  tally: emptyTally,
  consecutiveFailures: 0,
  ejections: 0,
  backoffResetAt: -Infinity,
};
/** The ejection backoff resets this many ejection times after the end of an ejection. */
const backoffResetFactor = 10;

/**
 * The health of one service's targets, as one entry observes it. A target's
 * failure ratio is compared with that of the others, so that a failure common
 * to all ejects none. Failures attributed to a job do not count against targets.
 */
export class PoolHealth {
  private readonly targets = new Map<TargetId, TargetHealth>();
  private readonly attribution: FailureAttribution;
  private poolTally: Tally = emptyTally;

  constructor(private readonly limits: HealthLimits = defaultHealthLimits) {
    this.attribution = new FailureAttribution(limits.maxJobs);
  }

  /** Adds a target, or discards the outcomes of its previous incarnation. */
  addTarget(target: TargetId, now: Instant): void {
    this.removeTarget(target, now);
    this.targets.set(target, initialHealth);
  }

  removeTarget(target: TargetId, now: Instant): void {
    const health = this.targets.get(target);
    if (health === undefined) return;
    this.addTally(
      target,
      health,
      subtract(emptyTally, this.computeTally(health.tally, now)),
      now,
    );
    this.targets.delete(target);
  }

  getStanding(target: TargetId): TargetStanding {
    return (this.targets.get(target) ?? initialHealth).standing;
  }

  /** Lists the targets with a limit of the tasks in flight, to initialize a new placement. */
  listInFlightLimits(): readonly InFlightLimit[] {
    return [...this.targets].flatMap(([target, {standing}]) => {
      const maxInFlight = getMaxInFlight(standing);
      return maxInFlight === Infinity ? [] : [{target, maxInFlight}];
    });
  }

  countEjected(): number {
    return this.countStanding('ejected');
  }

  /** Records the outcome of a task and returns the changed limit of its target, if any. */
  record(outcome: TaskOutcome, now: Instant): readonly InFlightLimit[] {
    const health = this.targets.get(outcome.target);
    if (health === undefined) return [];
    if (outcome.succeeded) {
      this.attribution.recordSuccess(outcome.job);
      return this.recordSuccess(outcome.target, health, now);
    }
    const source = this.attribution.recordFailure(outcome.job, outcome.target);
    switch (source.kind) {
      case 'target':
        return this.recordFailure(outcome.target, health, now);
      case 'counted':
        return this.ejectOnProbation(outcome.target, health, now);
      case 'job':
        for (const target of source.withdrawn) this.undoFailure(target, now);
        return [];
      default:
        return failUnreachable(source);
    }
  }

  /** Moves targets whose ejection has elapsed to probation. */
  advance(now: Instant): readonly InFlightLimit[] {
    const changes: InFlightLimit[] = [];
    for (const [target, health] of this.targets) {
      const {standing} = health;
      if (standing.kind !== 'ejected' || standing.until > now) continue;
      changes.push(
        ...this.setStanding(target, health, {kind: 'probation', successes: 0}),
      );
    }
    return changes;
  }

  private recordSuccess(
    target: TargetId,
    previous: TargetHealth,
    now: Instant,
  ): readonly InFlightLimit[] {
    const outcome: Tally = {successes: 1, failures: 0, at: now};
    const health = {
      ...this.addTally(target, previous, outcome, now),
      consecutiveFailures: 0,
    };
    const {standing} = health;
    switch (standing.kind) {
      case 'healthy':
      case 'ejected':
        this.targets.set(target, health);
        return [];
      case 'suspect':
        return this.setStanding(target, health, {kind: 'healthy'});
      case 'probation': {
        const successes = standing.successes + 1;
        if (successes < this.limits.probationSuccesses) {
          return this.setStanding(target, health, {
            kind: 'probation',
            successes,
          });
        }
        const cleared = this.clearTally(target, health, now);
        return this.setStanding(target, cleared, {kind: 'healthy'});
      }
      default:
        return failUnreachable(standing);
    }
  }

  private recordFailure(
    target: TargetId,
    previous: TargetHealth,
    now: Instant,
  ): readonly InFlightLimit[] {
    const outcome: Tally = {successes: 0, failures: 1, at: now};
    const health = {
      ...this.addTally(target, previous, outcome, now),
      consecutiveFailures: previous.consecutiveFailures + 1,
    };
    this.targets.set(target, health);
    const {standing} = health;
    switch (standing.kind) {
      case 'ejected':
        return [];
      case 'probation':
        return this.eject(target, health, now);
      case 'healthy':
      case 'suspect':
        return this.checkFailures(target, health, now);
      default:
        return failUnreachable(standing);
    }
  }

  /** Ejects a target on probation; there a repeated failure of the same job suffices. */
  private ejectOnProbation(
    target: TargetId,
    health: TargetHealth,
    now: Instant,
  ): readonly InFlightLimit[] {
    if (health.standing.kind !== 'probation') return [];
    return this.eject(target, health, now);
  }

  private checkFailures(
    target: TargetId,
    health: TargetHealth,
    now: Instant,
  ): readonly InFlightLimit[] {
    if (this.isOutlier(health, now)) return this.eject(target, health, now);
    if (health.consecutiveFailures < this.limits.minSuspectFailures) return [];
    if (this.countStanding('suspect') >= this.computeMaxEjected()) return [];
    return this.setStanding(target, health, {kind: 'suspect'});
  }

  private isOutlier(health: TargetHealth, now: Instant): boolean {
    const own = this.computeTally(health.tally, now);
    const pool = this.computeTally(this.poolTally, now);
    const ownRatio = computeFailureRatio(own);
    const othersRatio = computeFailureRatio({
      successes: Math.max(0, pool.successes - own.successes),
      failures: Math.max(0, pool.failures - own.failures),
      at: now,
    });
    const {minOutcomes, minFailures, minFailureRatio, minRatioToOthers} =
      this.limits;
    return (
      Math.round(own.successes + own.failures) >= minOutcomes &&
      Math.round(own.failures) >= minFailures &&
      ownRatio >= minFailureRatio &&
      ownRatio >= minRatioToOthers * othersRatio
    );
  }

  /** Ejects a target; once the maximum share is ejected, makes it suspect instead. */
  private eject(
    target: TargetId,
    previous: TargetHealth,
    now: Instant,
  ): readonly InFlightLimit[] {
    if (this.countEjected() >= this.computeMaxEjected()) {
      return this.setStanding(target, previous, {kind: 'suspect'});
    }
    const {baseEjectionMs, maxEjectionMs} = this.limits;
    const ejections =
      now < previous.backoffResetAt ? previous.ejections + 1 : 1;
    const ejectionMs = Math.min(
      maxEjectionMs,
      baseEjectionMs * 2 ** (ejections - 1),
    );
    const until = now + ejectionMs;
    const health = {
      ...this.clearTally(target, previous, now),
      ejections,
      backoffResetAt: until + backoffResetFactor * ejectionMs,
    };
    return this.setStanding(target, health, {kind: 'ejected', until});
  }

  /** Removes a failure that is now attributed to its job. */
  private undoFailure(target: TargetId, now: Instant): void {
    const health = this.targets.get(target);
    if (health === undefined) return;
    const {failures} = this.computeTally(health.tally, now);
    const withdrawn: Tally = {
      successes: 0,
      failures: -Math.min(1, failures),
      at: now,
    };
    this.targets.set(target, {
      ...this.addTally(target, health, withdrawn, now),
      consecutiveFailures: Math.max(0, health.consecutiveFailures - 1),
    });
  }

  /** Adds outcomes to the tallies of a target and of the pool. */
  private addTally(
    target: TargetId,
    health: TargetHealth,
    outcomes: Tally,
    now: Instant,
  ): TargetHealth {
    this.poolTally = add(this.computeTally(this.poolTally, now), outcomes);
    const tally = add(this.computeTally(health.tally, now), outcomes);
    const updated = {...health, tally};
    this.targets.set(target, updated);
    return updated;
  }

  private clearTally(
    target: TargetId,
    health: TargetHealth,
    now: Instant,
  ): TargetHealth {
    const negated = subtract(emptyTally, this.computeTally(health.tally, now));
    return {
      ...this.addTally(target, health, negated, now),
      consecutiveFailures: 0,
    };
  }

  private setStanding(
    target: TargetId,
    health: TargetHealth,
    standing: TargetStanding,
  ): readonly InFlightLimit[] {
    this.targets.set(target, {...health, standing});
    const maxInFlight = getMaxInFlight(standing);
    if (maxInFlight === getMaxInFlight(health.standing)) return [];
    return [{target, maxInFlight}];
  }

  private countStanding(kind: TargetStanding['kind']): number {
    let count = 0;
    for (const {standing} of this.targets.values()) {
      if (standing.kind === kind) count++;
    }
    return count;
  }

  private computeMaxEjected(): number {
    const {size} = this.targets;
    if (size < 2) return 0;
    return Math.max(1, Math.floor(size * this.limits.maxEjectedShare));
  }

  private computeTally({successes, failures, at}: Tally, now: Instant): Tally {
    const decay = 2 ** (-Math.max(0, now - at) / this.limits.halfLifeMs);
    return {successes: successes * decay, failures: failures * decay, at: now};
  }
}

function getMaxInFlight(standing: TargetStanding): number {
  switch (standing.kind) {
    case 'healthy':
      return Infinity;
    case 'suspect':
    case 'probation':
      return 1;
    case 'ejected':
      return 0;
    default:
      return failUnreachable(standing);
  }
}

function add(one: Tally, other: Tally): Tally {
  return {
    successes: Math.max(0, one.successes + other.successes),
    failures: Math.max(0, one.failures + other.failures),
    at: other.at,
  };
}

function subtract(one: Tally, other: Tally): Tally {
  return {
    successes: one.successes - other.successes,
    failures: one.failures - other.failures,
    at: other.at,
  };
}

function computeFailureRatio({successes, failures}: Tally): number {
  const outcomes = successes + failures;
  return outcomes === 0 ? 0 : failures / outcomes;
}
