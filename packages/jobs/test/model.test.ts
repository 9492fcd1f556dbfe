import test from 'ava';
import fc from 'fast-check';
import {
  endRun,
  type JobState,
  listPlaced,
  listReady,
  nameRun,
  openJob,
  placeTask,
} from '#jobs';
import type {RunEnd, RunRef} from '#model';
import {buildJob, buildStep} from './builders.js';

const runs = 2000;
const maxAttempts = 3;
const ends: readonly RunEnd[] = [
  'succeeded',
  'failed',
  'stopped',
  'lapsed',
  'not-run',
  'stalled',
];

/** One move of the model: which ready task to place, or which run ends and how, maybe told twice. */
const moves = fc.array(
  fc.record({
    places: fc.boolean(),
    pick: fc.nat(1000),
    end: fc.constantFrom(...ends),
    again: fc.boolean(),
  }),
  {minLength: 1, maxLength: 80},
);
const shapes = fc.array(
  fc.record({count: fc.integer({min: 1, max: 4}), waits: fc.boolean()}),
  {minLength: 1, maxLength: 4},
);

function nameTask({step, index}: {step: number; index: number}): string {
  return `${step}.${index}`;
}

test('in any order of events one run of a task at a time, none after its end, no step too early', t => {
  fc.assert(
    fc.property(shapes, moves, (steps, events) => {
      const job = buildJob(
        ...steps.map(({count, waits}, pos) =>
          buildStep(count, waits && pos > 0 ? [pos - 1] : []),
        ),
      );
      let state: JobState = openJob(job, maxAttempts);
      const running = new Map<string, RunRef>();
      const done = new Set<string>();
      const lastRun = new Map<string, number>();
      const failures = new Map<string, number>();
      for (const {places, pick, end, again} of events) {
        const ready = listReady(state);
        if (places && ready.length > 0) {
          const pos = ready[pick % ready.length]!;
          const name = nameTask(pos);
          const ref = nameRun(state, pos);
          if (running.has(name) || done.has(name)) return false;
          if (ref.run <= (lastRun.get(name) ?? 0)) return false;
          if ((failures.get(name) ?? 0) >= maxAttempts) return false;
          const {after} = job.steps[pos.step]!;
          const isEarly = after.some(before =>
            Array.from({length: job.steps[before]!.count}).some(
              (_, index) => !done.has(nameTask({step: before, index})),
            ),
          );
          if (isEarly) return false;
          state = placeTask(state, pos, 'target');
          running.set(name, ref);
          lastRun.set(name, ref.run);
          continue;
        }
        const held = [...running];
        if (held.length === 0) continue;
        const [name, ref] = held[pick % held.length]!;
        running.delete(name);
        if (end === 'succeeded') done.add(name);
        if (end === 'failed') {
          failures.set(name, (failures.get(name) ?? 0) + 1);
        }
        state = endRun(state, ref, end);
        if (again && endRun(state, ref, 'succeeded') !== state) return false;
        if (listPlaced(state).length !== running.size) return false;
      }
      const all = job.steps.flatMap((step, pos) =>
        Array.from({length: step.count}, (_, index) =>
          nameTask({step: pos, index}),
        ),
      );
      const isDone = all.every(name => done.has(name));
      return (state.phase === 'completed') === isDone;
    }),
    {numRuns: runs, seed: 20261204},
  );
  t.pass();
});
