import test from 'ava';
import {canWaitAtTarget, chooseAdmissionDeadline} from '../src/index.js';

test('a job is admitted by its due time only while new work waits and its queue avoids late jobs', t => {
  const job = {dueAt: 200, answerDeadline: 600};
  t.is(chooseAdmissionDeadline(job, 'avoid', 50), 200);
  t.is(chooseAdmissionDeadline(job, 'avoid', 0), 600);
  t.is(chooseAdmissionDeadline(job, 'serve', 50), 600);
  t.is(chooseAdmissionDeadline(job, undefined, 50), 600);
  const impatient = {dueAt: 200, answerDeadline: 150};
  t.is(chooseAdmissionDeadline(impatient, 'avoid', 50), 150);
});

test('a run waits at a full target unless it would become late there', t => {
  t.false(canWaitAtTarget(1100, 1000));
  t.true(canWaitAtTarget(1800, 1000));
  t.true(canWaitAtTarget(900, 1000));
});
