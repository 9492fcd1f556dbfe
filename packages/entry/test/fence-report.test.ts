import test from 'ava';
import type {AdmittedJob} from '#protocol';
import {canStartUnreported, listInheritedEpochs} from '../src/fence-report.js';

const record: AdmittedJob = {
  digest: 'd',
  tasks: 1,
  unrepeatable: false,
  epoch: 1,
  owner: 3,
  revision: 50,
  ticket: 0,
  mayStart: true,
};
const completeReport = {
  tasks: new Map(),
  answered: new Map([['t1', 2]]),
  silent: [],
};

function buildIncarnations(incarnation: number | undefined, goneAt?: number) {
  const gone =
    goneAt === undefined
      ? []
      : [{target: 't1', incarnation: 1, revision: goneAt}];
  return {getIncarnation: () => incarnation, gone};
}

test('an epoch inherits from ended epochs through intermediate successors', t => {
  const ended = [
    {entry: 'a', epoch: 1, heir: 2},
    {entry: 'b', epoch: 2, heir: 5},
    {entry: 'c', epoch: 3, heir: 4},
    {entry: 'd', epoch: 6},
  ];
  t.deepEqual(listInheritedEpochs(ended, 5), [1, 2]);
  t.deepEqual(listInheritedEpochs(ended, 4), [3]);
});

test('an unreported task may start when every agent answered', t => {
  t.true(canStartUnreported(completeReport, buildIncarnations(2), record));
});

test('an unreported task may not start when an agent did not answer', t => {
  t.false(
    canStartUnreported(
      {...completeReport, silent: ['t1']},
      buildIncarnations(2),
      record,
    ),
  );
});

test('an unreported task may not start when an agent left the view after the admission, but may when it left before', t => {
  t.false(canStartUnreported(completeReport, buildIncarnations(2, 50), record));
  t.false(canStartUnreported(completeReport, buildIncarnations(2, 60), record));
  t.true(canStartUnreported(completeReport, buildIncarnations(2, 49), record));
});

test('an unreported task may not start after the deadline of its job', t => {
  const late = {...record, mayStart: false};
  t.false(canStartUnreported(completeReport, buildIncarnations(2), late));
});

test('an answer from an incarnation that the view does not contain does not count', t => {
  t.false(canStartUnreported(completeReport, buildIncarnations(1), record));
  t.false(
    canStartUnreported(completeReport, buildIncarnations(undefined), record),
  );
});
