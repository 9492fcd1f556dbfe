import test from 'ava';
import fc from 'fast-check';
import {
  endRun,
  type JobState,
  listPlacedTasks,
  listReadyTasks,
  getRunRef,
  openJob,
  placeTask,
} from '#jobs';
import type {RunEnd, RunRef} from '#model';
import {buildJob, buildStep} from './builders.js';

const caseCount = 2000;
const maxAttempts = 3;
const ends: readonly RunEnd[] = [
  'succeeded',
  'failed',
  'stopped',
  'lapsed',
  'not-run',
  'stalled',
];

/** Events of the model: places a ready task, or ends a run, whose end may be reported twice. */
const eventLists = fc.array(
  fc.record({
    places: fc.boolean(),
    pick: fc.nat(1000),
    end: fc.constantFrom(...ends),
    repeatsEnd: fc.boolean(),
  }),
  {minLength: 1, maxLength: 80},
);
const stepShapes = fc.array(
  fc.record({
    count: fc.integer({min: 1, max: 4}),
    dependsOnPrevious: fc.boolean(),
  }),
  {minLength: 1, maxLength: 4},
);

function nameTask({step, index}: {step: number; index: number}): string {
  return `${step}.${index}`;
}

test('under any order of events a task has one run at a time and none after success, and steps wait for their dependencies', t => {
  fc.assert(
    fc.property(stepShapes, eventLists, (steps, events) => {
      const job = buildJob(
        ...steps.map(({count, dependsOnPrevious}, pos) =>
          buildStep(count, dependsOnPrevious && pos > 0 ? [pos - 1] : []),
        ),
      );
      let state: JobState = openJob(job, maxAttempts);
      const running = new Map<string, RunRef>();
      const done = new Set<string>();
      const lastRun = new Map<string, number>();
      const failures = new Map<string, number>();
      for (const {places, pick, end, repeatsEnd} of events) {
        const ready = listReadyTasks(state);
        if (places && ready.length > 0) {
          const pos = ready[pick % ready.length]!;
          const name = nameTask(pos);
          const ref = getRunRef(state, pos);
          if (running.has(name) || done.has(name)) return false;
          if (ref.run <= (lastRun.get(name) ?? 0)) return false;
          if ((failures.get(name) ?? 0) >= maxAttempts) return false;
          const {after} = job.steps[pos.step]!;
          const isEarly = after.some(dependency =>
            Array.from({length: job.steps[dependency]!.count}).some(
              (_, index) => !done.has(nameTask({step: dependency, index})),
            ),
          );
          if (isEarly) return false;
          state = placeTask(state, pos, 'target');
          running.set(name, ref);
          lastRun.set(name, ref.run);
          continue;
        }
        const runningTasks = [...running];
        if (runningTasks.length === 0) continue;
        const [name, ref] = runningTasks[pick % runningTasks.length]!;
        running.delete(name);
        if (end === 'succeeded') done.add(name);
        if (end === 'failed') {
          failures.set(name, (failures.get(name) ?? 0) + 1);
        }
        state = endRun(state, ref, end);
        if (repeatsEnd && endRun(state, ref, 'succeeded') !== state)
          return false;
        if (listPlacedTasks(state).length !== running.size) return false;
      }
      const taskNames = job.steps.flatMap((step, pos) =>
        Array.from({length: step.count}, (_, index) =>
          nameTask({step: pos, index}),
        ),
      );
      const isDone = taskNames.every(name => done.has(name));
      return (state.phase === 'completed') === isDone;
    }),
    {numRuns: caseCount, seed: 20261204},
  );
  t.pass();
});
