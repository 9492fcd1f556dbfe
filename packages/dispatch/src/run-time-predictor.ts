import type {QueuedJob} from '#model';
import {
  observeRun,
  predictWorkMs,
  initialWorkModel,
  type WorkModel,
  type WorkSample,
} from '#policy';
import type {ActiveJob} from './active-job.js';
import type {OutstandingRun} from './link.js';

/** Predicts run times per queue from callers' estimates and observed run times. */
export class RunTimePredictor {
  private readonly models = new Map<string, WorkModel>();

  /** Replaces the caller's estimates in a job by predicted ones. */
  adjust(job: QueuedJob, queue: string): QueuedJob {
    const model = this.findModel(queue);
    const steps = job.steps.map(step => ({
      ...step,
      estimateMs: predictWorkMs(model, step.estimateMs),
    }));
    return {...job, steps};
  }

  /** Records the run time of a successful task, in ms. */
  observe(
    {submitted, queue: {name}}: ActiveJob,
    {ref, remoteFactor}: OutstandingRun,
    {runMs, relativeSlowness}: Omit<WorkSample, 'estimateMs'>,
  ): void {
    const {estimateMs} = submitted.steps[ref.step]!;
    const nearRunMs = runMs / remoteFactor;
    const sample = {estimateMs, runMs: nearRunMs, relativeSlowness};
    this.models.set(name, observeRun(this.findModel(name), sample));
  }

  private findModel(queue: string): WorkModel {
    return this.models.get(queue) ?? initialWorkModel;
  }
}
