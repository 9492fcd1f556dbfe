import {failUnreachable, type Instant, type JobId, type TargetId} from '#model';
import {JobBlame} from './job-blame.js';

/** Whether a target gets tasks. */
export type TargetStanding =
  | {readonly kind: 'healthy'}
  /** Failing: one task at a time until one succeeds. */
  | {readonly kind: 'suspect'}
  | {readonly kind: 'ejected'; readonly until: Instant}
  /** Back from an ejection: one task at a time until enough succeed. */
  | {readonly kind: 'probation'; readonly successes: number};

/** How one task ended at a target. Cancelled tasks and those not run say nothing. */
export interface TaskOutcome {
  readonly target: TargetId;
  readonly job: JobId;
  readonly succeeded: boolean;
}

/** How many tasks may be in flight at a target from now on. */
export interface Allowance {
  readonly target: TargetId;
  readonly maxInFlight: number;
}

export interface HealthLimits {
  /** Outcomes, and failures of distinct jobs, needed before an ejection. */
  readonly minOutcomes: number;
  readonly minFailures: number;
  /** The least failure ratio that ejects. */
  readonly minFailureRatio: number;
  /** The ratio must also exceed that of the other targets this many times. */
  readonly poolFactor: number;
  /** Failures of distinct jobs in a row that make a target suspect. */
  readonly suspectAfter: number;
  /** Of the pool, at most this share is ejected; one of two or more always may be. */
  readonly maxEjectedShare: number;
  readonly baseEjectionMs: number;
  readonly maxEjectionMs: number;
  readonly probationSuccesses: number;
  /** Counts halve in this time. */
  readonly halfLifeMs: number;
  /** Jobs remembered to tell failing jobs from failing targets. */
  readonly maxJobs: number;
}

export const defaultHealthLimits: HealthLimits = {
  minOutcomes: 5,
  minFailures: 3,
  minFailureRatio: 0.2,
  poolFactor: 2,
  suspectAfter: 2,
  maxEjectedShare: 0.34,
  baseEjectionMs: 2000,
  maxEjectionMs: 120_000,
  probationSuccesses: 3,
  halfLifeMs: 20_000,
  maxJobs: 2048,
};

/** Outcomes, each worth less the older it is. */
interface Tally {
  readonly successes: number;
  readonly failures: number;
  readonly at: Instant;
}

interface TargetHealth {
  readonly standing: TargetStanding;
  readonly tally: Tally;
  readonly failuresInRow: number;
  readonly ejections: number;
  /** An ejection before then is longer than the last one. */
  readonly repeatUntil: Instant;
}

const noTally: Tally = {successes: 0, failures: 0, at: 0};
const newTarget: TargetHealth = {
  standing: {kind: 'healthy'},
  tally: noTally,
  failuresInRow: 0,
  ejections: 0,
  repeatUntil: -Infinity,
};
/** Good conduct for this many ejection times clears the record. */
const repeatFactor = 10;

/**
 * The health of one service's targets, as one entry sees it. Targets are judged
 * by their failure ratio against that of the others, so that what fails
 * everywhere ejects nobody; failures that their job explains are not charged.
 */
export class PoolHealth {
  private readonly targets = new Map<TargetId, TargetHealth>();
  private readonly blame: JobBlame;
  private pool: Tally = noTally;

  constructor(private readonly limits: HealthLimits = defaultHealthLimits) {
    this.blame = new JobBlame(limits.maxJobs);
  }

  /** Adds a target, or forgets what a former incarnation of it did. */
  addTarget(target: TargetId, now: Instant): void {
    this.removeTarget(target, now);
    this.targets.set(target, newTarget);
  }

  removeTarget(target: TargetId, now: Instant): void {
    const health = this.targets.get(target);
    if (health === undefined) return;
    this.addTally(
      target,
      health,
      subtract(noTally, this.computeTally(health.tally, now)),
      now,
    );
    this.targets.delete(target);
  }

  getStanding(target: TargetId): TargetStanding {
    return (this.targets.get(target) ?? newTarget).standing;
  }

  /** Lists what every target is held to, for a placement that starts anew. */
  listAllowances(): readonly Allowance[] {
    return [...this.targets].flatMap(([target, {standing}]) => {
      const maxInFlight = allowInFlight(standing);
      return maxInFlight === Infinity ? [] : [{target, maxInFlight}];
    });
  }

  /** Counts the targets that are ejected now. */
  countEjected(): number {
    return this.countKind('ejected');
  }

  /** Takes in how a task ended and returns what changes for its target. */
  record(outcome: TaskOutcome, now: Instant): readonly Allowance[] {
    const health = this.targets.get(outcome.target);
    if (health === undefined) return [];
    if (outcome.succeeded) {
      this.blame.recordSuccess(outcome.job);
      return this.recordSuccess(outcome.target, health, now);
    }
    const verdict = this.blame.recordFailure(outcome.job, outcome.target);
    switch (verdict.kind) {
      case 'target':
        return this.recordFailure(outcome.target, health, now);
      case 'counted':
        return this.judgeProbation(outcome.target, health, now);
      case 'job':
        for (const target of verdict.refunded) this.returnVote(target, now);
        return [];
      default:
        return failUnreachable(verdict);
    }
  }

  /** Puts targets whose ejection is over on probation. */
  advance(now: Instant): readonly Allowance[] {
    const changes: Allowance[] = [];
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
    old: TargetHealth,
    now: Instant,
  ): readonly Allowance[] {
    const one: Tally = {successes: 1, failures: 0, at: now};
    const health = {...this.addTally(target, old, one, now), failuresInRow: 0};
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
    old: TargetHealth,
    now: Instant,
  ): readonly Allowance[] {
    const one: Tally = {successes: 0, failures: 1, at: now};
    const health = {
      ...this.addTally(target, old, one, now),
      failuresInRow: old.failuresInRow + 1,
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
        return this.judge(target, health, now);
      default:
        return failUnreachable(standing);
    }
  }

  /** On probation a task that fails is one too many, whichever its job. */
  private judgeProbation(
    target: TargetId,
    health: TargetHealth,
    now: Instant,
  ): readonly Allowance[] {
    if (health.standing.kind !== 'probation') return [];
    return this.eject(target, health, now);
  }

  private judge(
    target: TargetId,
    health: TargetHealth,
    now: Instant,
  ): readonly Allowance[] {
    if (this.isOutlier(health, now)) return this.eject(target, health, now);
    if (health.failuresInRow < this.limits.suspectAfter) return [];
    if (this.countKind('suspect') >= this.capEjected()) return [];
    return this.setStanding(target, health, {kind: 'suspect'});
  }

  private isOutlier(health: TargetHealth, now: Instant): boolean {
    const own = this.computeTally(health.tally, now);
    const pool = this.computeTally(this.pool, now);
    const ownRatio = computeFailureRatio(own);
    const othersRatio = computeFailureRatio({
      successes: Math.max(0, pool.successes - own.successes),
      failures: Math.max(0, pool.failures - own.failures),
      at: now,
    });
    const {minOutcomes, minFailures, minFailureRatio, poolFactor} = this.limits;
    return (
      Math.round(own.successes + own.failures) >= minOutcomes &&
      Math.round(own.failures) >= minFailures &&
      ownRatio >= minFailureRatio &&
      ownRatio >= poolFactor * othersRatio
    );
  }

  /** Ejects a target; beyond the cap it is held to one task at a time. */
  private eject(
    target: TargetId,
    old: TargetHealth,
    now: Instant,
  ): readonly Allowance[] {
    if (this.countEjected() >= this.capEjected()) {
      return this.setStanding(target, old, {kind: 'suspect'});
    }
    const {baseEjectionMs, maxEjectionMs} = this.limits;
    const ejections = now < old.repeatUntil ? old.ejections + 1 : 1;
    const lengthMs = Math.min(
      maxEjectionMs,
      baseEjectionMs * 2 ** (ejections - 1),
    );
    const until = now + lengthMs;
    const health = {
      ...this.clearTally(target, old, now),
      ejections,
      repeatUntil: until + repeatFactor * lengthMs,
    };
    return this.setStanding(target, health, {kind: 'ejected', until});
  }

  private returnVote(target: TargetId, now: Instant): void {
    const health = this.targets.get(target);
    if (health === undefined) return;
    const {failures} = this.computeTally(health.tally, now);
    const refunded: Tally = {
      successes: 0,
      failures: -Math.min(1, failures),
      at: now,
    };
    this.targets.set(target, {
      ...this.addTally(target, health, refunded, now),
      failuresInRow: Math.max(0, health.failuresInRow - 1),
    });
  }

  /** Adds outcomes to a target's tally and the pool's. */
  private addTally(
    target: TargetId,
    health: TargetHealth,
    outcomes: Tally,
    now: Instant,
  ): TargetHealth {
    this.pool = add(this.computeTally(this.pool, now), outcomes);
    const tally = add(this.computeTally(health.tally, now), outcomes);
    const charged = {...health, tally};
    this.targets.set(target, charged);
    return charged;
  }

  private clearTally(
    target: TargetId,
    health: TargetHealth,
    now: Instant,
  ): TargetHealth {
    const all = subtract(noTally, this.computeTally(health.tally, now));
    return {...this.addTally(target, health, all, now), failuresInRow: 0};
  }

  private setStanding(
    target: TargetId,
    health: TargetHealth,
    standing: TargetStanding,
  ): readonly Allowance[] {
    this.targets.set(target, {...health, standing});
    const maxInFlight = allowInFlight(standing);
    if (maxInFlight === allowInFlight(health.standing)) return [];
    return [{target, maxInFlight}];
  }

  private countKind(kind: TargetStanding['kind']): number {
    let count = 0;
    for (const {standing} of this.targets.values()) {
      if (standing.kind === kind) count++;
    }
    return count;
  }

  private capEjected(): number {
    const {size} = this.targets;
    if (size < 2) return 0;
    return Math.max(1, Math.floor(size * this.limits.maxEjectedShare));
  }

  private computeTally({successes, failures, at}: Tally, now: Instant): Tally {
    const kept = 2 ** (-Math.max(0, now - at) / this.limits.halfLifeMs);
    return {successes: successes * kept, failures: failures * kept, at: now};
  }
}

function allowInFlight(standing: TargetStanding): number {
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
