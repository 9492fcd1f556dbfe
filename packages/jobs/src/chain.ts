import type {CompletionObjective, QueuedJob} from '#model';

/** Estimates the longest chain of work in a job, from its callers' estimates, in ms. */
export function estimateChainMs({steps}: QueuedJob): number {
  const ends: number[] = [];
  for (const step of steps) {
    const begin = Math.max(0, ...step.after.map(before => ends[before] ?? 0));
    ends.push(begin + step.estimateMs);
  }
  return Math.max(0, ...ends);
}

/** Computes how long after its submission a job is due, in ms. */
export function computeDueMs(
  job: QueuedJob,
  {stretch, slackMs}: CompletionObjective,
): number {
  return stretch * estimateChainMs(job) + slackMs;
}

/** An answer is of use until this many times the time in which it is due: objectives count it as late until then. */
const usefulFactor = 3;

/** Computes for how long after its submission a job's answer is of use, in ms. */
export function computeUsefulMs(
  job: QueuedJob,
  objective: CompletionObjective,
): number {
  return usefulFactor * computeDueMs(job, objective);
}
