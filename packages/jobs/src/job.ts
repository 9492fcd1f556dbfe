import type {QueuedJob, RunEnd, RunRef, TargetId} from '#model';
import {assertInvariant, failUnreachable} from '#model';

/** Where one task of a job stands. */
export type TaskState =
  /** Tasks of earlier steps are not done. */
  | {readonly kind: 'blocked'}
  /** Nothing of it runs anywhere; the next run has this number. */
  | {
      readonly kind: 'ready';
      readonly run: number;
      readonly failures: number;
      /** Where the run before ended badly. */
      readonly avoid?: TargetId;
    }
  /** A target has been told to run it, or may have been. */
  | {
      readonly kind: 'placed';
      readonly run: number;
      readonly failures: number;
      readonly target: TargetId;
    }
  | {readonly kind: 'done'};

export type JobPhase = 'open' | 'completed' | 'failed' | 'cancelled';

/** A job and its tasks by step and index. Immutable. */
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

/** Opens a job: the tasks of steps that wait for no other are ready. */
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

/** Records that a target is told to run a ready task. */
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
 * Records the end of a placed run. An end of another run than the placed one changes nothing.
 * A task that failed as often as it may fails its job.
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

/** Ends an open job without a result. Placed tasks stay placed until their ends come. */
export function cancelJob(state: JobState): JobState {
  return state.phase === 'open' ? {...state, phase: 'cancelled'} : state;
}

/** Lists the tasks that may be placed now; none once the job is over. */
export function listReady(state: JobState): readonly TaskPosition[] {
  return state.phase === 'open' ? listTasks(state, 'ready') : [];
}

/** True when a task may be placed now. */
export function hasReady({phase, steps}: JobState): boolean {
  return (
    phase === 'open' &&
    steps.some(tasks => tasks.some(({kind}) => kind === 'ready'))
  );
}

/** Lists the tasks of which a run may exist. */
export function listPlaced(state: JobState): readonly TaskPosition[] {
  return listTasks(state, 'placed');
}

/** Names the run that a ready or placed task is at. */
export function nameRun(state: JobState, pos: TaskPosition): RunRef {
  const task = state.steps[pos.step]![pos.index]!;
  assertInvariant(
    task.kind === 'ready' || task.kind === 'placed',
    `task ${pos.step}.${pos.index} is ${task.kind}`,
  );
  return {job: state.job.id, ...pos, run: task.run};
}

function listTasks(
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
  return releaseSteps(next);
}

function isStepDone({steps}: JobState, step: number): boolean {
  return steps[step]!.every(({kind}) => kind === 'done');
}

function releaseSteps(state: JobState): JobState {
  const steps = state.steps.map((tasks, step) => {
    if (tasks[0]?.kind !== 'blocked') return tasks;
    const {after} = state.job.steps[step]!;
    if (!after.every(before => isStepDone(state, before))) return tasks;
    return tasks.map(() => ({kind: 'ready', run: 1, failures: 0}) as const);
  });
  return {...state, steps};
}
