import type {
  Clock,
  Configuration,
  Instant,
  JobAnswer,
  Submission,
} from '#model';
import {Histograms, type HistogramSummary, type Metrics} from '#telemetry';
import type {Execution} from './execution.js';
import type {TaskEnd} from './sent-tasks.js';

/** Replaces names that callers made up, so that these don't each become a series of metrics. */
const unknownName = '(unknown)';

/** Records measurements of jobs and tasks by team and service, for the status page and metrics. */
export class MetricsRecorder {
  private readonly histograms = new Histograms();
  private readonly answers = new Map<JobAnswer['kind'], number>();

  constructor(
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly getConfiguration: () => Pick<
      Configuration,
      'teams' | 'services'
    >,
  ) {}

  /** Records the end of a task; `queuedMs` is the time it waited in the queue. */
  recordTask(execution: Execution, end: TaskEnd, queuedMs: number): void {
    const {team, service} = execution.job.submission;
    const tags = {team, service, fate: end.fate.kind};
    this.metrics.increment('tasks', 1, tags);
    if (end.fate.kind === 'not-run') return;
    execution.recordRun(end.runMs);
    this.histograms.record(team, service, 'queue-wait', queuedMs);
    this.histograms.record(team, service, 'run', end.runMs);
    this.metrics.timing('task.run', end.runMs, {team, service});
  }

  /**
   * Records a job's answer. The ideal response time is the longest run time of
   * its tasks, which assumes that all run at once without waiting.
   */
  recordAnswer(
    execution: Execution,
    answer: JobAnswer,
    receivedAt: Instant,
  ): void {
    const {team, service} = execution.job.submission;
    this.answers.set(answer.kind, (this.answers.get(answer.kind) ?? 0) + 1);
    this.metrics.increment('jobs', 1, {
      ...this.getConfiguredNames(execution.job.submission),
      answer: answer.kind,
    });
    if (answer.kind !== 'complete') return;
    const responseMs = this.clock.now() - receivedAt;
    this.histograms.record(team, service, 'response', responseMs);
    this.metrics.timing('job.response', responseMs, {team, service});
    if (execution.longestRunMs <= 0) return;
    const ratio = responseMs / execution.longestRunMs;
    this.histograms.record(team, service, 'response-over-ideal', ratio);
  }

  /** Number of answers since the start, by kind. */
  countAnswers(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.answers);
  }

  summarize(): readonly HistogramSummary[] {
    return this.histograms.summarize();
  }
  /** Returns the team and the service of a submission, each replaced when it is not configured. */
  private getConfiguredNames({team, service}: Submission) {
    const {teams, services} = this.getConfiguration();
    const isTeam = teams.some(({name}) => name === team);
    const isService = services.some(({name}) => name === service);
    return {
      team: isTeam ? team : unknownName,
      service: isService ? service : unknownName,
    };
  }
}
