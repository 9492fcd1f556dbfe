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
import type {Desk} from './desk.js';
import type {Neighbours} from './neighbours.js';

/** Where a team's jobs belong, as far as an entry's configuration tells. */
export type Route =
  /** In the entry's own region. */
  | {readonly kind: 'local'}
  | {readonly kind: 'home'; readonly region: RegionConfig}
  /** The team is unknown here; a region whose configuration is newer may know it. */
  | {readonly kind: 'unknown'; readonly others: readonly RegionConfig[]}
  /** No configuration is in force here. */
  | {readonly kind: 'unready'};

/** Finds the region in which a team's jobs are admitted. */
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

/** What the forwarder needs of the entry. */
export interface ForwarderOwner {
  readonly clock: Clock;
  /** The region of this entry. */
  readonly region: RegionName;
  /** The configuration in force; undefined before control has given one. */
  readonly getConfiguration: () => Configuration | undefined;
  readonly desk: Pick<Desk, 'submit' | 'peek' | 'cancel'>;
  readonly neighbours: Pick<Neighbours, 'attach' | 'peek' | 'cancel'>;
}

/** Asks about a job or cancels it. */
type Inquiry = 'peek' | 'cancel';

const roundPauseMs = 100;

/**
 * Passes what callers ask to the home region of their team, so that every key is admitted in one
 * region. What came from another region is answered here and not passed on.
 */
export class Forwarder {
  private tasksUnderWay = 0;
  /** Spreads what is passed on over the entries of a region. */
  private next = 0;

  constructor(private readonly owner: ForwarderOwner) {}

  /** Tasks of jobs that wait for an answer from another region. */
  get pending(): number {
    return this.tasksUnderWay;
  }

  /** Submits a caller's job at its home. */
  async submit(submission: Submission, deadline: Instant): Promise<JobAnswer> {
    const route = await this.awaitRoute(submission.team, deadline);
    switch (route.kind) {
      case 'local':
        return this.owner.desk.submit(submission, deadline);
      case 'home':
        return this.forward(route.region, submission, deadline);
      case 'unknown':
        return this.submitAnywhere(route.others, submission, deadline);
      case 'unready':
        return loseUnready(submission.job);
      default:
        return failUnreachable(route);
    }
  }

  /** Submits a job that another region passed here. */
  async accept(submission: Submission, deadline: Instant): Promise<JobAnswer> {
    const route = await this.awaitRoute(submission.team, deadline);
    switch (route.kind) {
      case 'local':
      case 'unknown':
        return this.owner.desk.submit(submission, deadline);
      case 'home':
        return loseHome(submission.job, route.region.name);
      case 'unready':
        return loseUnready(submission.job);
      default:
        return failUnreachable(route);
    }
  }

  /** Tells how far a job has come, at its home. */
  peek(team: TeamName, job: JobId, deadline: Instant): Promise<JobState> {
    return this.ask('peek', team, job, deadline);
  }

  /** Cancels a job at its home. */
  cancel(team: TeamName, job: JobId, deadline: Instant): Promise<JobState> {
    return this.ask('cancel', team, job, deadline);
  }

  /** An entry that has just started waits for its configuration: by its files it could admit what belongs elsewhere. */
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

  /** While a region is out of reach, what waits for it stays bounded. */
  private get maxPending(): number {
    return this.owner.getConfiguration()?.limits.maxQueuedTasks ?? 0;
  }

  private async forward(
    region: RegionConfig,
    submission: Submission,
    deadline: Instant,
  ): Promise<JobAnswer> {
    const tasks = submission.tasks.length;
    if (this.tasksUnderWay + tasks > this.maxPending) {
      return loseHome(submission.job, region.name);
    }
    this.tasksUnderWay += tasks;
    const answer = await this.tryEntries(region, deadline, address =>
      this.attach(address, submission, deadline),
    );
    this.tasksUnderWay -= tasks;
    return answer ?? loseHome(submission.job, region.name);
  }

  /** Undefined: another entry has to be asked. */
  private async attach(
    address: Address,
    submission: Submission,
    deadline: Instant,
  ): Promise<JobAnswer | undefined> {
    const answer = await this.owner.neighbours.attach(
      address,
      submission,
      deadline,
      true,
    );
    const leaves = answer?.kind === 'not-run' && answer.reason === 'draining';
    return leaves ? undefined : answer;
  }

  /** Refuses a job of an unknown team only when no region knows the team. */
  private async submitAnywhere(
    others: readonly RegionConfig[],
    submission: Submission,
    deadline: Instant,
  ): Promise<JobAnswer> {
    for (const region of others) {
      const answer = await this.forward(region, submission, deadline);
      if (!isUnknownTeam(answer)) return answer;
    }
    return this.owner.desk.submit(submission, deadline);
  }

  private async ask(
    inquiry: Inquiry,
    team: TeamName,
    job: JobId,
    deadline: Instant,
  ): Promise<JobState> {
    const route = await this.awaitRoute(team, deadline);
    switch (route.kind) {
      case 'local':
        return this.owner.desk[inquiry](job, deadline);
      case 'home':
        return this.askAt(inquiry, route.region, job, deadline);
      case 'unknown':
        for (const region of route.others) {
          const state = await this.askAt(inquiry, region, job, deadline);
          if (state.kind !== 'absent') return state;
        }
        return this.owner.desk[inquiry](job, deadline);
      case 'unready':
        return {kind: 'answered', answer: loseUnready(job)};
      default:
        return failUnreachable(route);
    }
  }

  private async askAt(
    inquiry: Inquiry,
    region: RegionConfig,
    job: JobId,
    deadline: Instant,
  ): Promise<JobState> {
    const state = await this.tryEntries(region, deadline, address =>
      this.owner.neighbours[inquiry](address, job, deadline, true),
    );
    if (state !== undefined) return state;
    return {kind: 'answered', answer: loseHome(job, region.name)};
  }

  /** Asks a region's entries in turn until one answers; undefined when none does by the deadline. */
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
    const pauseMs = Math.min(roundPauseMs, remainingMs);
    return new Promise(resolve => setTimeout(resolve, pauseMs));
  }
}

function loseHome(job: JobId, region: RegionName): JobAnswer {
  return {
    kind: 'unknown',
    job,
    reason: 'home-unreachable',
    detail: `the job's home region "${region}" did not answer; submit it again under the same key`,
  };
}

function loseUnready(job: JobId): JobAnswer {
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
