import {
  type Address,
  type Clock,
  computeRemainingMs,
  type Configuration,
  failUnreachable,
  type Instant,
  type JobAnswer,
  type JobId,
  type RegionConfig,
  type RegionName,
  type Submission,
  type TeamName,
} from '#model';
import type {JobState} from '#protocol';
import type {JobCoordinator} from './job-coordinator.js';
import type {PeerEntries} from './peer-entries.js';

/** Where a team's jobs are admitted, according to an entry's configuration. */
export type Route =
  /** The entry's own region. */
  | {readonly kind: 'local'}
  | {readonly kind: 'home'; readonly region: RegionConfig}
  /** The team is not configured here; a region with a newer configuration may know it. */
  | {readonly kind: 'unknown'; readonly others: readonly RegionConfig[]}
  /** This entry has no configuration yet. */
  | {readonly kind: 'unready'};

/** Determines the region that admits a team's jobs. */
export function chooseRoute(
  {regions, teams}: Configuration,
  own: RegionName,
  team: TeamName,
): Route {
  if (regions.length === 0) return {kind: 'local'};
  const known = teams.find(({name}) => name === team);
  if (known === undefined) {
    const others = regions.filter(({name}) => name !== own);
    return {kind: 'unknown', others};
  }
  const region = regions.find(({name}) => name === known.homeRegion);
  if (region === undefined || region.name === own) return {kind: 'local'};
  return {kind: 'home', region};
}

/** What the forwarder needs from the entry. */
export interface ForwarderOwner {
  readonly clock: Clock;
  readonly region: RegionName;
  /** The configuration in force; undefined until control has provided one. */
  readonly getConfiguration: () => Configuration | undefined;
  readonly jobs: Pick<JobCoordinator, 'submit' | 'peek' | 'cancel'>;
  readonly peerEntries: Pick<PeerEntries, 'attach' | 'peek' | 'cancel'>;
}

/** Name of the method that queries or cancels a job. */
type JobQuery = 'peek' | 'cancel';

const retryPauseMs = 100;

/**
 * Forwards callers' requests to the home region of their team, so that each key is admitted in only
 * one region. A request from another region is answered here and not forwarded again.
 */
export class Forwarder {
  private forwardedTasks = 0;
  /** Index for distributing forwarded requests round-robin over the entries of a region. */
  private next = 0;

  constructor(private readonly owner: ForwarderOwner) {}

  /** Number of tasks of jobs that wait for an answer from another region. */
  get pending(): number {
    return this.forwardedTasks;
  }

  /** Submits a caller's job in its home region. */
  async submit(submission: Submission, deadline: Instant): Promise<JobAnswer> {
    const route = await this.awaitRoute(submission.team, deadline);
    switch (route.kind) {
      case 'local':
        return this.owner.jobs.submit(submission, deadline);
      case 'home':
        return this.forward(route.region, submission, deadline);
      case 'unknown':
        return this.submitToAnyRegion(route.others, submission, deadline);
      case 'unready':
        return answerNotConfigured(submission.job);
      default:
        return failUnreachable(route);
    }
  }

  /** Submits a job that another region forwarded. */
  async accept(submission: Submission, deadline: Instant): Promise<JobAnswer> {
    const route = await this.awaitRoute(submission.team, deadline);
    switch (route.kind) {
      case 'local':
      case 'unknown':
        return this.owner.jobs.submit(submission, deadline);
      case 'home':
        return answerHomeUnreachable(submission.job, route.region.name);
      case 'unready':
        return answerNotConfigured(submission.job);
      default:
        return failUnreachable(route);
    }
  }

  /** Returns the progress of a job from its home region. */
  peek(team: TeamName, job: JobId, deadline: Instant): Promise<JobState> {
    return this.queryJob('peek', team, job, deadline);
  }

  /** Cancels a job in its home region. */
  cancel(team: TeamName, job: JobId, deadline: Instant): Promise<JobState> {
    return this.queryJob('cancel', team, job, deadline);
  }

  /**
   * Waits for a configuration from control: with the one from its files, an entry that has just
   * started could admit jobs that belong to another region.
   */
  private async awaitRoute(team: TeamName, deadline: Instant): Promise<Route> {
    const {region, getConfiguration} = this.owner;
    for (;;) {
      const configuration = getConfiguration();
      if (configuration !== undefined) {
        return chooseRoute(configuration, region, team);
      }
      if (!this.hasTime(deadline)) return {kind: 'unready'};
      await this.pause(deadline);
    }
  }

  /** Bounds the tasks that wait while a region is unreachable. */
  private get maxPending(): number {
    return this.owner.getConfiguration()?.limits.maxQueuedTasks ?? 0;
  }

  private async forward(
    region: RegionConfig,
    submission: Submission,
    deadline: Instant,
  ): Promise<JobAnswer> {
    const tasks = submission.tasks.length;
    if (this.forwardedTasks + tasks > this.maxPending) {
      return answerHomeUnreachable(submission.job, region.name);
    }
    this.forwardedTasks += tasks;
    const answer = await this.tryEntries(region, deadline, address =>
      this.attach(address, submission, deadline),
    );
    this.forwardedTasks -= tasks;
    return answer ?? answerHomeUnreachable(submission.job, region.name);
  }

  /** Returns undefined when another entry must be tried. */
  private async attach(
    address: Address,
    submission: Submission,
    deadline: Instant,
  ): Promise<JobAnswer | undefined> {
    const answer = await this.owner.peerEntries.attach(
      address,
      submission,
      deadline,
      true,
    );
    const isDraining =
      answer?.kind === 'not-run' && answer.reason === 'draining';
    return isDraining ? undefined : answer;
  }

  /** Tries the other regions, and admits the job here only when none of them knows the team. */
  private async submitToAnyRegion(
    others: readonly RegionConfig[],
    submission: Submission,
    deadline: Instant,
  ): Promise<JobAnswer> {
    for (const region of others) {
      const answer = await this.forward(region, submission, deadline);
      if (!isUnknownTeam(answer)) return answer;
    }
    return this.owner.jobs.submit(submission, deadline);
  }

  private async queryJob(
    method: JobQuery,
    team: TeamName,
    job: JobId,
    deadline: Instant,
  ): Promise<JobState> {
    const route = await this.awaitRoute(team, deadline);
    switch (route.kind) {
      case 'local':
        return this.owner.jobs[method](job, deadline);
      case 'home':
        return this.queryRegion(method, route.region, job, deadline);
      case 'unknown':
        for (const region of route.others) {
          const state = await this.queryRegion(method, region, job, deadline);
          if (state.kind !== 'absent') return state;
        }
        return this.owner.jobs[method](job, deadline);
      case 'unready':
        return {kind: 'answered', answer: answerNotConfigured(job)};
      default:
        return failUnreachable(route);
    }
  }

  private async queryRegion(
    method: JobQuery,
    region: RegionConfig,
    job: JobId,
    deadline: Instant,
  ): Promise<JobState> {
    const state = await this.tryEntries(region, deadline, address =>
      this.owner.peerEntries[method](address, job, deadline, true),
    );
    if (state !== undefined) return state;
    return {kind: 'answered', answer: answerHomeUnreachable(job, region.name)};
  }

  /**
   * Queries a region's entries in turn until one answers; undefined when none does by the deadline.
   */
  private async tryEntries<Answer>(
    {entries}: RegionConfig,
    deadline: Instant,
    query: (address: Address) => Promise<Answer | undefined>,
  ): Promise<Answer | undefined> {
    const first = this.next++;
    for (let i = 0; this.hasTime(deadline); i++) {
      const answer = await query(entries[(first + i) % entries.length]!);
      if (answer !== undefined) return answer;
      if ((i + 1) % entries.length === 0) await this.pause(deadline);
    }
    return undefined;
  }

  private hasTime(deadline: Instant): boolean {
    return this.owner.clock.now() < deadline;
  }

  private pause(deadline: Instant): Promise<void> {
    const remainingMs = computeRemainingMs(this.owner.clock.now(), deadline);
    const pauseMs = Math.min(retryPauseMs, remainingMs);
    return new Promise(resolve => setTimeout(resolve, pauseMs));
  }
}

function answerHomeUnreachable(job: JobId, region: RegionName): JobAnswer {
  return {
    kind: 'unknown',
    job,
    reason: 'home-unreachable',
    detail: `the job's home region "${region}" did not answer; submit it again under the same key`,
  };
}

function answerNotConfigured(job: JobId): JobAnswer {
  return {
    kind: 'unknown',
    job,
    reason: 'control-unavailable',
    detail: 'no configuration is in force at this entry',
  };
}

function isUnknownTeam(answer: JobAnswer): boolean {
  return answer.kind === 'not-run' && answer.reason === 'unknown-team';
}
