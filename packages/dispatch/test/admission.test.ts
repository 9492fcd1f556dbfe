import test from 'ava';
import type {LateJobs} from '#model';
import {noopMetrics, openLog} from '#telemetry';
import {Admission} from '../src/admission.js';
import {buildJob, queue} from './harness.js';

/** Decides about a job of 50 ms, due after 135 ms, at an age, while targets are being connected. */
function admitWhileConnecting(lateJobs: LateJobs, ageMs: number) {
  const admission = new Admission({
    fleet: {
      isEvacuatedOnly: () => false,
      isTemporarilyUnreachable: () => true,
      countInService: () => 0,
      listTargets: () => [],
    },
    log: openLog('silent', 'agent', 'a'),
    metrics: noopMetrics,
    readLagMs: () => 0,
    listLoads: () => [],
    countDispatchers: () => 1,
  });
  const job = buildJob('job', 2);
  const times = {arrivedAt: 0, callerDeadline: 2000};
  const submission = {job, queue: {...queue, lateJobs}, ...times};
  return admission.checkAdmission(submission, [], ageMs)?.kind;
}

test('while targets are being connected, only a job that is late already is refused, where late jobs are avoided', t => {
  t.is(admitWhileConnecting('avoid', 20), undefined);
  t.is(admitWhileConnecting('avoid', 300), 'refused');
  t.is(admitWhileConnecting('serve', 300), undefined);
});
