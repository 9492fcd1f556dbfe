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
  collectFenceReport,
  type FenceReport,
  type InheritedTask,
  canStartUnreported,
  type AgentIncarnations,
} from './fence-report.js';
import {createJob, createUnknownAnswer} from './job.js';
import type {AgentLink} from './agent-link.js';
import {formatTask} from './sent-tasks.js';

/** What a takeover needs from the entry. */
export interface TakeoverOwner {
  readonly clock: Clock;
  readonly log: Logger;
  readonly listLinks: () => readonly AgentLink[];
  readonly getAgentIncarnations: () => AgentIncarnations;
  readonly getMaxPlacements: (submission: Submission) => number;
}

const pollIntervalMs = 50;

/** Takes over the jobs of ended epochs that pass to this entry's epoch. */
export class Takeover {
  private epochs: readonly Epoch[] = [];
  private report: Promise<FenceReport> | undefined;

  constructor(private readonly owner: TakeoverOwner) {}

  /** Fences the epochs at every agent unless all of them have been taken over already. */
  takeOver(epochs: readonly Epoch[], successor: Epoch): void {
    const known = new Set(this.epochs);
    if (epochs.every(epoch => known.has(epoch))) return;
    this.epochs = epochs;
    const startedAt = this.owner.clock.now();
    this.report = collectFenceReport(this.owner.listLinks(), epochs, successor);
    void this.report.then(({tasks, silent}) =>
      this.owner.log.warn(
        {
          event: 'took-over',
          epochs,
          heir: successor,
          tasks: tasks.size,
          silent,
          fenceMs: Math.round(this.owner.clock.now() - startedAt),
        },
        'fenced ended epochs at the agents',
      ),
    );
  }

  /** Clears all state when the entry's own epoch ends. */
  clear(): void {
    this.epochs = [];
    this.report = undefined;
  }

  /**
   * Rebuilds a job of an ended epoch from the agents' reports. It is answered at
   * once when its outcome is already known or cannot be determined.
   */
  async resume(
    submission: Submission,
    deadline: Instant,
    record: AdmittedJob,
  ): Promise<Execution> {
    const execution = new Execution(
      createJob(submission, deadline),
      this.owner.getMaxPlacements(submission),
    );
    const report = await this.waitForReport(record.epoch, deadline);
    if (report === undefined) {
      execution.resolve(
        createUnknownAnswer(
          execution.job,
          'owner-lost',
          'its owner is being replaced',
        ),
      );
      return execution;
    }
    const canStart = canStartUnreported(
      report,
      this.owner.getAgentIncarnations(),
      record,
    );
    submission.tasks.forEach((_, task) => {
      const key = formatTask({job: submission.job, task});
      this.resumeTask(execution, task, report.tasks.get(key), canStart);
    });
    return execution;
  }

  private resumeTask(
    execution: Execution,
    task: number,
    inherited: InheritedTask | undefined,
    canStart: boolean,
  ): void {
    if (inherited === undefined) {
      if (canStart) return;
      execution.resolve(
        createUnknownAnswer(
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

  private async waitForReport(
    epoch: Epoch,
    deadline: Instant,
  ): Promise<FenceReport | undefined> {
    while (!this.epochs.includes(epoch)) {
      const remainingMs = computeRemainingMs(this.owner.clock.now(), deadline);
      if (remainingMs === 0) return undefined;
      await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
    return this.report;
  }
}
