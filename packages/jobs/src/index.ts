export type {JobPhase, JobState, TaskPosition, TaskState} from './job.js';
export {
  cancelJob,
  endRun,
  getRunRef,
  hasReadyTask,
  listPlacedTasks,
  listReadyTasks,
  openJob,
  placeTask,
} from './job.js';

export {
  computeDueMs,
  computeUsefulLifetimeMs,
  estimateCriticalPathMs,
} from './critical-path.js';
export {findJobFault} from './validation.js';
