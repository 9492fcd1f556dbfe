import test from 'ava';
import type {AdmittedJob} from '#protocol';
import {isUnreportedSafe, listInherited} from '../src/heir.js';

const standing: AdmittedJob = {
  digest: 'd',
  tasks: 1,
  unrepeatable: false,
  epoch: 1,
  owner: 3,
  revision: 50,
  ticket: 0,
  mayStart: true,
};
const whole = {tasks: new Map(), answered: new Map([['t1', 2]]), silent: []};

function buildLives(incarnation: number | undefined, goneAt?: number) {
  const gone =
    goneAt === undefined
      ? []
      : [{target: 't1', incarnation: 1, revision: goneAt}];
  return {getIncarnation: () => incarnation, gone};
}

test('an heir inherits through every heir between', t => {
  const ended = [
    {entry: 'a', epoch: 1, heir: 2},
    {entry: 'b', epoch: 2, heir: 5},
    {entry: 'c', epoch: 3, heir: 4},
    {entry: 'd', epoch: 6},
  ];
  t.deepEqual(listInherited(ended, 5), [1, 2]);
  t.deepEqual(listInherited(ended, 4), [3]);
});

test('an unreported task may start when every agent answered', t => {
  t.true(isUnreportedSafe(whole, buildLives(2), standing));
});

test('a silent agent forbids to start what nobody reported', t => {
  t.false(
    isUnreportedSafe({...whole, silent: ['t1']}, buildLives(2), standing),
  );
});

test('an agent that went after the admission forbids it, an earlier one does not', t => {
  t.false(isUnreportedSafe(whole, buildLives(2, 50), standing));
  t.false(isUnreportedSafe(whole, buildLives(2, 60), standing));
  t.true(isUnreportedSafe(whole, buildLives(2, 49), standing));
});

test('past the job deadline nobody starts what was not reported', t => {
  const late = {...standing, mayStart: false};
  t.false(isUnreportedSafe(whole, buildLives(2), late));
});

test('an agent that answers in a life unknown to the view proves nothing', t => {
  t.false(isUnreportedSafe(whole, buildLives(1), standing));
  t.false(isUnreportedSafe(whole, buildLives(undefined), standing));
});
