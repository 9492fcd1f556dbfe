import type {CompletionObjective, QueuedJob} from '#model';

/** Estimates the run time of a job's critical path in ms, from the estimates of its steps. */
export function estimateCriticalPathMs({steps}: QueuedJob): number {
  const finishMs: number[] = [];
  for (const step of steps) {
    const startMs = Math.max(
      0,
      ...step.after.map(dependency => finishMs[dependency] ?? 0),
    );
    finishMs.push(startMs + step.estimateMs);
  }
  return Math.max(0, ...finishMs);
}

/** Returns the time from a job's submission to its due time, in ms. */
export function computeDueMs(
  job: QueuedJob,
  {stretch, slackMs}: CompletionObjective,
): number {
  return stretch * estimateCriticalPathMs(job) + slackMs;
}

/** An answer is useful until this multiple of the due time; after the due time it counts as late. */
const usefulLifetimeFactor = 3;

/** Returns how long after its submission a job's answer is still useful, in ms. */
export function computeUsefulLifetimeMs(
  job: QueuedJob,
  objective: CompletionObjective,
): number {
  return usefulLifetimeFactor * computeDueMs(job, objective);
}
