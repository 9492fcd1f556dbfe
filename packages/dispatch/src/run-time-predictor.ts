import type {QueuedJob} from '#model';
import {
  observeRun,
  predictWorkMs,
  initialWorkModel,
  type WorkModel,
  type WorkSample,
} from '#policy';

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

  /** Records the run time of a successful task. */
  observe(queue: string, sample: WorkSample): void {
    this.models.set(queue, observeRun(this.findModel(queue), sample));
  }

  private findModel(queue: string): WorkModel {
    return this.models.get(queue) ?? initialWorkModel;
  }
}
