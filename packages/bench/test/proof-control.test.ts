import test from 'ava';
import type {JobRecord} from '#bench';
import {askPeer} from '../src/ask.js';
import {applyChanges} from '../src/configuration-changes.js';
import {dropTraffic, restoreTraffic} from '../src/isolation.js';
import {VersionMonitor} from '../src/version-monitor.js';
import {planJobs} from './jobs.js';
import {shortEntryLeases, Stand} from './stand.js';

const endedEpochs = 3;
const changesPerRound = 25;
const shape = {jobs: 16, tasks: 3, taskMs: 300};

/** Asks a replica past its proxy what only a leader answers; returns the results that it gave. */
async function askAsLeader({site}: Stand, name: string, job: string) {
  const {listen} = site.find(name).plan;
  const replies = await Promise.all([
    askPeer(listen, 'control.lookup', {jobs: [job]}),
    askPeer(listen, 'control.configStatus', {}),
  ]);
  return replies.filter(reply => reply?.kind === 'done');
}

function watchDirectly({site}: Stand, name: string) {
  const {listen} = site.find(name).plan;
  return askPeer(listen, 'control.watch', {since: 0, topics: 'all'});
}

/** Lists the entries with a lease, by the word of whoever leads now. */
async function readEntries(stand: Stand, except: string) {
  const status = await stand.askControl(await stand.awaitLeader(except));
  return status?.entries ?? [];
}

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
    await using watch = new VersionMonitor(stand.site);
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
    await using watch = new VersionMonitor(stand.site);
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
    await using watch = new VersionMonitor(stand.site);
    const before = planJobs('before', shape);
    const submitted = stand.submitAll(before, 0);
    await stand.waitForStarts(8);
    const leader = await stand.awaitLeader();
    dropTraffic(stand.site, leader);
    await stand.awaitLeader(leader);
    const after = await stand.submitAll(planJobs('after', shape), 1);
    stand.assertAllComplete([...(await submitted), ...after]);
    restoreTraffic(stand.site, leader);
    await stand.waitUntil(
      'the replica that was cut off follows again',
      async () => (await stand.askControl(leader))?.role === 'follower',
    );
    t.deepEqual(watch.regressions, []);
  },
);

test.serial(
  'a leader cut off while many changes pass and entries end answers no read, and follows after',
  async t => {
    const stand = await Stand.open(t, {
      controls: 3,
      leases: shortEntryLeases,
    });
    const {site} = stand;
    await using watch = new VersionMonitor(site);
    const old = await stand.awaitLeader();
    const [record] = await stand.submitAll(planJobs('before', shape), 0);
    const {job} = record!.plan;
    t.is((await askAsLeader(stand, old, job)).length, 2);
    dropTraffic(site, old);
    await stand.awaitLeader(old);
    await applyChanges(site, 'first', 1);
    const stale: unknown[] = [];
    for (let round = 0; round < endedEpochs; round++) {
      await site.kill('entry-1', 'SIGKILL');
      await stand.waitUntil('the epoch of the dead entry is over', async () => {
        stale.push(...(await askAsLeader(stand, old, job)));
        return (await readEntries(stand, old)).length === 1;
      });
      await applyChanges(site, `round-${round}`, changesPerRound);
      stale.push(...(await askAsLeader(stand, old, job)));
      await site.restart('entry-1');
      await stand.waitUntil(
        'the entry has a new epoch',
        async () => (await readEntries(stand, old)).length === 2,
      );
    }
    t.deepEqual(stale, []);
    t.not((await stand.askControl(old))?.role, 'leader');
    t.is(await watchDirectly(stand, old), undefined);
    const version = await applyChanges(site, 'last', 1);
    restoreTraffic(site, old);
    await stand.waitUntil('the replica follows', async () => {
      const status = await stand.askControl(old);
      return status?.role === 'follower' && status.configVersion === version;
    });
    const jobs = planJobs('after', shape);
    stand.assertAllComplete(await stand.submitAll(jobs, 1));
    t.deepEqual(watch.regressions, []);
  },
);
