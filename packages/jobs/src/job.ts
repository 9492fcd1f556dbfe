import type {QueuedJob, RunEnd, RunRef, TargetId} from '#model';
import {assertInvariant, failUnreachable} from '#model';

/** The state of one task of a job. */
export type TaskState =
  /** A step that the task depends on is not done. */
  | {readonly kind: 'blocked'}
  /** No run of it is placed; `run` is the number of the next one. */
  | {
      readonly kind: 'ready';
      readonly run: number;
      readonly failures: number;
      /** The target of the previous run, when that run failed, never began, went unanswered or stalled. */
      readonly avoid?: TargetId;
    }
  /** The run was assigned to a target, which may not have received it. */
  | {
      readonly kind: 'placed';
      readonly run: number;
      readonly failures: number;
      readonly target: TargetId;
    }
  | {readonly kind: 'done'};

export type JobPhase = 'open' | 'completed' | 'failed' | 'cancelled';

/** A job and the states of its tasks by step and index. Immutable. */
export interface JobState {
  readonly job: QueuedJob;
  readonly maxAttempts: number;
  readonly phase: JobPhase;
  readonly steps: readonly (readonly TaskState[])[];
}

/** A task's position in its job. */
export interface TaskPosition {
  readonly step: number;
  readonly index: number;
}

/** Creates the state of a new job, in which the tasks of steps without dependencies are ready. */
export function openJob(job: QueuedJob, maxAttempts: number): JobState {
  const steps = job.steps.map(step => {
    const first: TaskState =
      step.after.length > 0
        ? {kind: 'blocked'}
        : {kind: 'ready', run: 1, failures: 0};
    return Array.from({length: step.count}, () => first);
  });
  return {job, maxAttempts, phase: 'open', steps};
}

/** Records that a ready task was placed on a target. */
export function placeTask(
  state: JobState,
  {step, index}: TaskPosition,
  target: TargetId,
): JobState {
  const task = state.steps[step]![index]!;
  assertInvariant(
    task.kind === 'ready',
    `task ${step}.${index} is ${task.kind}`,
  );
  const {run, failures} = task;
  return setTask(state, {step, index}, {kind: 'placed', run, failures, target});
}

/**
 * Records the end of a placed run. The end of any other run, such as an earlier one, is ignored.
 * The job fails once a task has failed `maxAttempts` times.
 */
export function endRun(state: JobState, ref: RunRef, end: RunEnd): JobState {
  const task = state.steps[ref.step]?.[ref.index];
  if (task?.kind !== 'placed' || task.run !== ref.run) return state;
  const {run, failures, target} = task;
  switch (end) {
    case 'succeeded':
      return completeTask(state, ref);
    case 'failed': {
      const failed = failures + 1;
      const next = setTask(state, ref, {
        kind: 'ready',
        run: run + 1,
        failures: failed,
        avoid: target,
      });
      if (failed < state.maxAttempts || state.phase !== 'open') return next;
      return {...next, phase: 'failed'};
    }
    case 'stopped':
    case 'lapsed':
      return setTask(state, ref, {kind: 'ready', run: run + 1, failures});
    case 'not-run':
    case 'unanswered':
    case 'stalled':
      return setTask(state, ref, {
        kind: 'ready',
        run: run + 1,
        failures,
        avoid: target,
      });
    default:
      return failUnreachable(end);
  }
}

/** Cancels an open job. Placed tasks stay placed until their ends are recorded. */
export function cancelJob(state: JobState): JobState {
  return state.phase === 'open' ? {...state, phase: 'cancelled'} : state;
}

/** Lists the tasks that can be placed now; none once the job has ended. */
export function listReadyTasks(state: JobState): readonly TaskPosition[] {
  return state.phase === 'open' ? listTasksByKind(state, 'ready') : [];
}

/** True when some task can be placed now. */
export function hasReadyTask({phase, steps}: JobState): boolean {
  return (
    phase === 'open' &&
    steps.some(tasks => tasks.some(({kind}) => kind === 'ready'))
  );
}

/** Lists the tasks that may have a run on a target. */
export function listPlacedTasks(state: JobState): readonly TaskPosition[] {
  return listTasksByKind(state, 'placed');
}

/** Returns the reference of a ready task's next run or a placed task's current one. */
export function getRunRef(state: JobState, pos: TaskPosition): RunRef {
  const task = state.steps[pos.step]![pos.index]!;
  assertInvariant(
    task.kind === 'ready' || task.kind === 'placed',
    `task ${pos.step}.${pos.index} is ${task.kind}`,
  );
  return {job: state.job.id, ...pos, run: task.run};
}

function listTasksByKind(
  {steps}: JobState,
  kind: TaskState['kind'],
): readonly TaskPosition[] {
  return steps.flatMap((tasks, step) =>
    tasks.flatMap((task, index) => (task.kind === kind ? [{step, index}] : [])),
  );
}

function setTask(
  state: JobState,
  {step, index}: TaskPosition,
  task: TaskState,
): JobState {
  const tasks = state.steps[step]!.with(index, task);
  return {...state, steps: state.steps.with(step, tasks)};
}

function completeTask(state: JobState, pos: TaskPosition): JobState {
  const next = setTask(state, pos, {kind: 'done'});
  if (!isStepDone(next, pos.step)) return next;
  if (next.steps.every((_, step) => isStepDone(next, step))) {
    return {...next, phase: state.phase === 'open' ? 'completed' : state.phase};
  }
  return releaseBlockedSteps(next);
}

function isStepDone({steps}: JobState, step: number): boolean {
  return steps[step]!.every(({kind}) => kind === 'done');
}

function releaseBlockedSteps(state: JobState): JobState {
  const steps = state.steps.map((tasks, step) => {
    if (tasks[0]?.kind !== 'blocked') return tasks;
    const {after} = state.job.steps[step]!;
    if (!after.every(dependency => isStepDone(state, dependency))) return tasks;
    return tasks.map(() => ({kind: 'ready', run: 1, failures: 0}) as const);
  });
  return {...state, steps};
}
