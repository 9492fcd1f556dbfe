import test from 'ava';
import type {Instant, QueueConfig} from '#model';
import {type LoadClass, type LoadPattern, PoolModel} from './pool-model.js';

/** Classes of 100 ms, 220 ms and 830 ms of slack that use two thirds of 60 targets. */
const classes = [
  {name: 'short', tasks: 8, workMs: 86, perSecond: 137, priority: 0},
  {name: 'middle', tasks: 2, workMs: 286, perSecond: 400, priority: 1},
  {name: 'long', tasks: 4, workMs: 1286, perSecond: 25, priority: 2},
];

function replay(
  asked: Pick<QueueConfig, 'lateJobs' | 'urgentRuns'>,
  demand: (now: Instant) => number,
  changes: Partial<LoadPattern> = {},
): PoolModel {
  const loads = classes.map(
    ({name, tasks, workMs, perSecond, priority}): LoadClass => ({
      queue: {
        name,
        service: 'tally',
        host: 'h',
        path: '/',
        priority,
        maxAttempts: 3,
        timeoutMs: 2000,
        objective: {stretch: 1.6, slackMs: 61},
        ...asked,
      },
      tasks,
      workMs,
      computeRate: now => perSecond * demand(now),
    }),
  );
  const pool = {targets: 60, dispatchers: 30, messageMs: 1.5, seed: 1};
  return new PoolModel({classes: loads, lengthMs: 5000, ...pool, ...changes});
}

test('after a cold start at a crest, each class earns more when late jobs are avoided', t => {
  const pattern = {startsAt: 1500, messageMs: 4};
  const served = replay({}, () => 1.2, pattern);
  const asked = {lateJobs: 'avoid', urgentRuns: 'return'} as const;
  const avoided = replay(asked, () => 1.2, pattern);
  for (const {name} of classes) {
    const gain = avoided.computeCredit(name) - served.computeCredit(name);
    t.true(gain > 0.05, `${name}: ${gain}`);
  }
  t.true(avoided.placed / avoided.begun < served.placed / served.begun);
});

test('in a pool with free capacity, urgent runs that are returned do not wait behind others and no class is worse off', t => {
  const waiting = replay({}, () => 1);
  const returned = replay({urgentRuns: 'return'}, () => 1);
  const late = (pool: PoolModel) => pool.computeShare('short', 'late');
  t.true(late(returned) < 0.6 * late(waiting), `${late(returned)}`);
  for (const {name} of classes) {
    const gain = returned.computeCredit(name) - waiting.computeCredit(name);
    t.true(gain > -0.01, `${name}: ${gain}`);
    t.true(returned.computeShare(name, 'refused') < 0.01, name);
  }
});
