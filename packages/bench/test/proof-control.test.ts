import test from 'ava';
import {type JobRecord, noFault} from '#bench';
import {VersionWatch} from '../src/version-watch.js';
import {planJobs} from './jobs.js';
import {Stand} from './stand.js';

const shape = {jobs: 16, tasks: 3, taskMs: 300};
const silence = {kind: 'swallow', way: 'both'} as const;

/** Submits small jobs, each once and at each entry in turn, for as long as some work goes on. */
async function submitDuring(
  stand: Stand,
  work: Promise<void>,
): Promise<readonly JobRecord[]> {
  const records: JobRecord[] = [];
  let isOver = false;
  const ended = work.finally(() => (isOver = true));
  for (let i = 0; !isOver; i++) {
    const jobs = planJobs(`during-${i}`, {jobs: 4, tasks: 2, taskMs: 20});
    records.push(...(await stand.submitOnce(jobs, i % 2)));
  }
  await ended;
  return records;
}

test.serial(
  'control replicas restarted one after another always have a leader and cost no answer',
  async t => {
    const stand = await Stand.open(t, {controls: 3});
    await using watch = new VersionWatch(stand.site);
    const names = stand.site.list('control').map(({name}) => name);
    const restartAll = async () => {
      for (const name of names) {
        await stand.waitUntil('all replicas have caught up', async () => {
          const leader = await stand.askControl(await stand.awaitLeader());
          return leader!.members.every(
            ({matchIndex}) => matchIndex >= leader!.commitIndex,
          );
        });
        const exit = await stand.site.kill(name, 'SIGTERM');
        t.deepEqual(exit, {kind: 'code', code: 0});
        const others = names.filter(other => other !== name);
        const roles = await Promise.all(
          others.map(async other => (await stand.askControl(other))?.role),
        );
        t.true(roles.includes('leader'), `after ${name}: ${roles.join()}`);
        await stand.site.restart(name);
        await stand.waitUntil(
          `${name} follows`,
          async () => (await stand.askControl(name))?.role === 'follower',
        );
      }
    };
    const records = await submitDuring(stand, restartAll());
    stand.assertAllComplete(records);
    t.deepEqual(watch.regressions, []);
  },
);

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
