import type {QueuedJob} from '#model';
import {
  observeRun,
  predictWorkMs,
  unknownWork,
  type WorkModel,
  type WorkSample,
} from '#policy';

/** Predicts run times by queue, from callers' estimates and what their tasks took. */
export class Forecast {
  private readonly models = new Map<string, WorkModel>();

  /** Puts the predicted work of a task in place of its caller's estimate. */
  adjust(job: QueuedJob, queue: string): QueuedJob {
    const model = this.find(queue);
    const steps = job.steps.map(step => ({
      ...step,
      estimateMs: predictWorkMs(model, step.estimateMs),
    }));
    return {...job, steps};
  }

  /** Notes a task that has succeeded. */
  observe(queue: string, sample: WorkSample): void {
    this.models.set(queue, observeRun(this.find(queue), sample));
  }

  private find(queue: string): WorkModel {
    return this.models.get(queue) ?? unknownWork;
  }
}
