import type {JobStep, QueuedJob} from '#model';

/** Builds a step of so many tasks, after earlier ones. */
export function buildStep(
  count: number,
  after: readonly number[] = [],
): JobStep {
  return {
    count,
    demand: {cpuMillis: 1000, memoryMb: 64, accelerators: 0},
    estimateMs: 100,
    after,
    checkpoints: false,
  };
}

/** Builds a job of steps. */
export function buildJob(...steps: readonly JobStep[]): QueuedJob {
  return {id: '0123456789abcdef', payload: 'work', steps};
}
