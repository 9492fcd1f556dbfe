import type {JobStep, QueuedJob} from '#model';

const maxSteps = 100;
const maxTasksPerJob = 10_000;
const maxPayloadBytes = 4000;

/** Validates a job; returns a description of the first problem, or undefined when it is valid. */
export function findJobFault({payload, steps}: QueuedJob): string | undefined {
  if (Buffer.byteLength(payload) > maxPayloadBytes) {
    return `the payload is longer than ${maxPayloadBytes} bytes`;
  }
  if (steps.length === 0) return 'the job has no steps';
  if (steps.length > maxSteps) return `the job has more than ${maxSteps} steps`;
  const tasks = steps.reduce((sum, {count}) => sum + count, 0);
  if (tasks > maxTasksPerJob) {
    return `the job has ${tasks} tasks, at most ${maxTasksPerJob} are taken`;
  }
  for (const [pos, step] of steps.entries()) {
    const fault = findStepFault(step, pos);
    if (fault !== undefined) return `step ${pos}: ${fault}`;
  }
  return undefined;
}

function findStepFault(
  {count, demand, estimateMs, after}: JobStep,
  pos: number,
): string | undefined {
  if (!Number.isSafeInteger(count) || count < 1) return 'it has no tasks';
  const {cpuMillis, memoryMb, accelerators} = demand;
  const amounts = [cpuMillis, memoryMb, accelerators, estimateMs];
  if (!amounts.every(amount => Number.isFinite(amount) && amount >= 0)) {
    return 'a demand or the estimate is not a number of at least 0';
  }
  const isEarlier = (dependency: number) =>
    Number.isSafeInteger(dependency) && dependency >= 0 && dependency < pos;
  if (!after.every(isEarlier)) return 'it waits for a step that is not earlier';
  return undefined;
}
