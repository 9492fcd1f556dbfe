import {
  type Clock,
  computeRemainingMs,
  type Epoch,
  type Instant,
  type Submission,
} from '#model';
import type {AdmittedJob} from '#protocol';
import type {Logger} from '#telemetry';
import {Execution} from './execution.js';
import {
  collectEstate,
  type Estate,
  type Inherited,
  isUnreportedSafe,
  type Lives,
} from './heir.js';
import {createJob, loseJob} from './job.js';
import type {AgentLink} from './link.js';
import {formatTask} from './sent-tasks.js';

/** What taking over needs of the entry. */
export interface InheritanceOwner {
  readonly clock: Clock;
  readonly log: Logger;
  readonly listLinks: () => readonly AgentLink[];
  readonly getLives: () => Lives;
  readonly getMaxPlacements: (submission: Submission) => number;
}

const pollIntervalMs = 50;

/** The ended epochs whose jobs this entry has to answer for. */
export class Inheritance {
  private epochs: readonly Epoch[] = [];
  private estate: Promise<Estate> | undefined;

  constructor(private readonly owner: InheritanceOwner) {}

  /** Fences the epochs at every agent when there are new ones among them. */
  takeOver(epochs: readonly Epoch[], heir: Epoch): void {
    const known = new Set(this.epochs);
    if (epochs.every(epoch => known.has(epoch))) return;
    this.epochs = epochs;
    const startedAt = this.owner.clock.now();
    this.estate = collectEstate(this.owner.listLinks(), epochs, heir);
    void this.estate.then(({tasks, silent}) =>
      this.owner.log.warn(
        {
          event: 'took-over',
          epochs,
          heir,
          tasks: tasks.size,
          silent,
          fenceMs: Math.round(this.owner.clock.now() - startedAt),
        },
        'fenced ended epochs at the agents',
      ),
    );
  }

  /** Forgets everything: the heir's own epoch is over. */
  clear(): void {
    this.epochs = [];
    this.estate = undefined;
  }

  /**
   * Rebuilds a job of an ended epoch from what the agents report. It is answered
   * at once when its fate is known already or cannot be known.
   */
  async resume(
    submission: Submission,
    deadline: Instant,
    standing: AdmittedJob,
  ): Promise<Execution> {
    const execution = new Execution(
      createJob(submission, deadline),
      this.owner.getMaxPlacements(submission),
    );
    const estate = await this.waitForEstate(standing.epoch, deadline);
    if (estate === undefined) {
      execution.resolve(
        loseJob(execution.job, 'owner-lost', 'its owner is being replaced'),
      );
      return execution;
    }
    const isSafe = isUnreportedSafe(estate, this.owner.getLives(), standing);
    submission.tasks.forEach((_, task) => {
      const key = formatTask({job: submission.job, task});
      this.resumeTask(execution, task, estate.tasks.get(key), isSafe);
    });
    return execution;
  }

  private resumeTask(
    execution: Execution,
    task: number,
    inherited: Inherited | undefined,
    isSafe: boolean,
  ): void {
    if (inherited === undefined) {
      if (isSafe) return;
      execution.resolve(
        loseJob(
          execution.job,
          'owner-lost',
          `task ${task} may have started at an agent that cannot be asked`,
        ),
      );
      return;
    }
    if (inherited.kind === 'ended') {
      if (inherited.end.fate.kind === 'not-run') return;
      execution.apply({kind: 'sent', task, target: '', incarnation: 0});
      execution.apply({kind: 'fate', task, fate: inherited.end.fate});
      return;
    }
    const {target, incarnation} = inherited;
    execution.apply({kind: 'sent', task, target, incarnation});
    void inherited.end.then(({fate}) =>
      execution.apply({kind: 'fate', task, fate}),
    );
  }

  private async waitForEstate(
    epoch: Epoch,
    deadline: Instant,
  ): Promise<Estate | undefined> {
    while (!this.epochs.includes(epoch)) {
      const remainingMs = computeRemainingMs(this.owner.clock.now(), deadline);
      if (remainingMs === 0) return undefined;
      await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
    return this.estate;
  }
}
