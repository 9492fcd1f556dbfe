import test from 'ava';
import {noFault} from '#bench';
import {VersionWatch} from '../src/version-watch.js';
import {planJobs} from './jobs.js';
import {Stand} from './stand.js';

const shape = {jobs: 16, tasks: 3, taskMs: 300};
const silence = {kind: 'swallow', way: 'both'} as const;

test.serial(
  'the death of the leading control replica costs no answer and no version',
  async t => {
    const stand = await Stand.open(t, {controls: 3, leases: {}});
    await using watch = new VersionWatch(stand.site);
    const before = planJobs('before', shape);
    const submitted = stand.submitAll(before, 0);
    await stand.waitForStarts(8);
    const leader = await stand.awaitLeader();
    await stand.site.kill(leader, 'SIGKILL');
    await stand.awaitLeader(leader);
    const after = await stand.submitAll(planJobs('after', shape), 1);
    stand.assertAllComplete([...(await submitted), ...after]);
    await stand.site.restart(leader);
    await stand.waitUntil(
      'the dead replica follows again',
      async () => (await stand.askControl(leader))?.role === 'follower',
    );
    t.deepEqual(watch.regressions, []);
  },
);

test.serial(
  'a leading control replica cut off silently costs no answer and no version',
  async t => {
    const stand = await Stand.open(t, {controls: 3, leases: {}});
    await using watch = new VersionWatch(stand.site);
    const before = planJobs('before', shape);
    const submitted = stand.submitAll(before, 0);
    await stand.waitForStarts(8);
    const leader = await stand.awaitLeader();
    const injectAround = (fault: typeof silence | typeof noFault) => {
      for (const {name, proxy} of stand.site.members) {
        if (name === leader) proxy!.inject(fault);
        else proxy!.inject(fault, leader);
      }
    };
    injectAround(silence);
    await stand.awaitLeader(leader);
    const after = await stand.submitAll(planJobs('after', shape), 1);
    stand.assertAllComplete([...(await submitted), ...after]);
    injectAround(noFault);
    await stand.waitUntil(
      'the replica that was cut off follows again',
      async () => (await stand.askControl(leader))?.role === 'follower',
    );
    t.deepEqual(watch.regressions, []);
  },
);
