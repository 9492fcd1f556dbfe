export type {JobPhase, JobState, TaskPosition, TaskState} from './job.js';
export {
  cancelJob,
  endRun,
  hasReady,
  listPlaced,
  listReady,
  nameRun,
  openJob,
  placeTask,
} from './job.js';

export {computeDueMs, computeUsefulMs, estimateChainMs} from './chain.js';
export {findJobFault} from './check.js';
