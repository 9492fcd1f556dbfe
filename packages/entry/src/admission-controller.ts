import type {
  Clock,
  Configuration,
  EntryId,
  Instant,
  Submission,
  TeamConfig,
  TeamName,
} from '#model';
import {
  addDemand,
  adjustBucket,
  computeDemandRate,
  createBucket,
  createDemandRate,
  type DemandRate,
  decideAdmission,
  type QuotaShare,
  divideQuota,
  type TokenBucket,
} from '#policy';
import type {TeamDemands} from '#protocol';
import type {Refusal} from './ownership.js';
import type {Pool} from './pool.js';

/** Interval between reports of the teams' demand rates. */
const demandIntervalMs = 10_000;

/** Admission control of one entry: checks quotas, queue limits and whether deadlines can be met. */
export class AdmissionController {
  private readonly buckets = new Map<TeamName, TokenBucket>();
  private readonly refusals = new Map<string, number>();
  private readonly demands = new Map<TeamName, DemandRate>();
  private entries: readonly EntryId[];
  private peerDemands: ReadonlyMap<EntryId, ReadonlyMap<TeamName, number>> =
    new Map();
  private demandsDueAt: Instant = -Infinity;

  constructor(
    private readonly entry: EntryId,
    private readonly clock: Clock,
    private configuration: Configuration,
  ) {
    this.entries = [entry];
    this.adjustBuckets();
  }

  /** Applies a configuration. Quota that a team has already spent is not restored. */
  configure(configuration: Configuration): void {
    this.configuration = configuration;
    this.adjustBuckets();
  }

  /** Sets the live entries, which share each team's quota. */
  setEntries(entries: readonly EntryId[]): void {
    this.entries = entries.includes(this.entry)
      ? entries
      : [...entries, this.entry];
    this.adjustBuckets();
  }

  /**
   * Returns this entry's demand rate per team, in tasks per second, when the next report is due.
   */
  takeDueDemands(): TeamDemands | undefined {
    const now = this.clock.now();
    if (now < this.demandsDueAt) return undefined;
    this.demandsDueAt = now + demandIntervalMs;
    const rates = [...this.demands].map(
      ([team, demand]) =>
        [team, Math.round(computeDemandRate(demand, now))] as const,
    );
    return Object.fromEntries(rates.filter(([, rate]) => rate > 0));
  }

  /** Redistributes the quotas according to the demand reported by the other entries. */
  setPeerDemands(others: Readonly<Record<EntryId, TeamDemands>>): void {
    this.peerDemands = new Map(
      Object.entries(others).map(([entry, demands]) => [
        entry,
        new Map(Object.entries(demands)),
      ]),
    );
    this.adjustBuckets();
  }

  /** Number of refusals since the start, by reason. */
  countRefusals(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.refusals);
  }

  /** Checks a job. Returns undefined when it is admitted, after charging the team's quota. */
  check(
    submission: Submission,
    deadline: Instant,
    pool: Pool | undefined,
  ): Refusal | undefined {
    const now = this.clock.now();
    const {services, teams, limits} = this.configuration;
    const team = teams.find(({name}) => name === submission.team);
    if (team !== undefined) {
      const demand = this.demands.get(team.name) ?? createDemandRate(now);
      const {length} = submission.tasks;
      this.demands.set(team.name, addDemand(demand, length, now));
    }
    const decision = decideAdmission(
      {
        service: services.find(({name}) => name === submission.service),
        team,
        limits,
        capacities: pool?.listCapacities() ?? [],
        bucket: this.getBucket(team, now),
        load: pool?.describeLoad(submission.team) ?? {
          waiting: 0,
          teamWaiting: 0,
          teamShare: 1,
          freeSlots: 0,
          startsPerSecond: 0,
        },
        runs: pool?.estimateRun(computeMeanHint(submission)) ?? {
          lowMs: 0,
          medianMs: 0,
          observations: 0,
        },
      },
      submission,
      deadline,
      now,
    );
    if (decision.kind === 'admit') {
      this.buckets.set(submission.team, decision.bucket);
      return undefined;
    }
    const {reason, detail, retryAfterMs} = decision;
    this.countRefusal(reason);
    return {reason, detail, retryAfterMs};
  }

  private countRefusal(reason: string): void {
    this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1);
  }

  private getBucket(team: TeamConfig | undefined, now: Instant): TokenBucket {
    const known = team && this.buckets.get(team.name);
    return known ?? createBucket({tasksPerSecond: 0, burstTasks: 0}, now);
  }

  private adjustBuckets(): void {
    const now = this.clock.now();
    const configured = new Set<TeamName>();
    for (const team of this.configuration.teams) {
      configured.add(team.name);
      const quota = this.computeShare(team);
      const known = this.buckets.get(team.name);
      this.buckets.set(
        team.name,
        known === undefined
          ? createBucket(quota, now)
          : adjustBucket(known, quota, now),
      );
    }
    for (const name of [...this.buckets.keys()]) {
      if (configured.has(name)) continue;
      this.buckets.delete(name);
      this.demands.delete(name);
    }
  }

  private computeShare(team: TeamConfig): QuotaShare {
    const demands = new Map(
      this.entries.map(entry => [entry, this.findDemand(entry, team)] as const),
    );
    return divideQuota(team, demands).get(this.entry)!;
  }

  /** Demand of a team at an entry, in tasks per second; undefined when not known. */
  private findDemand(entry: EntryId, {name}: TeamConfig): number | undefined {
    if (entry !== this.entry) {
      const reported = this.peerDemands.get(entry);
      return reported && (reported.get(name) ?? 0);
    }
    const own = this.demands.get(name);
    return own && computeDemandRate(own, this.clock.now());
  }
}

function computeMeanHint({tasks}: Submission): number | undefined {
  const hints = tasks.flatMap(({expectedMs}) =>
    expectedMs === undefined ? [] : [expectedMs],
  );
  if (hints.length === 0) return undefined;
  return hints.reduce((sum, hint) => sum + hint, 0) / hints.length;
}
