import type {CompletionObjective, QueuedJob} from '#model';

/** Returns the length of a job's critical path in ms, by the estimates of its steps. */
export function estimateCriticalPathMs({steps}: QueuedJob): number {
  const finishMs: number[] = [];
  for (const step of steps) {
    const startMs = Math.max(
      0,
      ...step.after.map(before => finishMs[before] ?? 0),
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

/** An answer stays useful for this multiple of the due time; objectives count it as late until then. */
const usefulLifetimeFactor = 3;

/** Returns how long after its submission a job's answer is still useful, in ms. */
export function computeUsefulLifetimeMs(
  job: QueuedJob,
  objective: CompletionObjective,
): number {
  return usefulLifetimeFactor * computeDueMs(job, objective);
}
