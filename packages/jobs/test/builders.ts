import type {JobStep, QueuedJob} from '#model';

/** Builds a step of `count` tasks that depends on the steps `after`. */
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

export function buildJob(...steps: readonly JobStep[]): QueuedJob {
  return {id: '0123456789abcdef', payload: 'work', steps};
}
