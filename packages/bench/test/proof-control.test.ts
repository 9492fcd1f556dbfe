import test from 'ava';
import type {JobRecord} from '#bench';
import {askPeer} from '../src/ask.js';
import {applyChanges} from '../src/configuration-changes.js';
import {dropTraffic, restoreTraffic} from '../src/isolation.js';
import {VersionMonitor} from '../src/version-monitor.js';
import {planJobs} from './jobs.js';
import {shortEntryLeases, Harness} from './harness.js';

const endedEpochs = 3;
const changesPerRound = 25;
const shape = {jobs: 16, tasks: 3, taskMs: 300};

/** Sends a replica, bypassing its proxy, requests that only a leader answers; returns its results. */
async function requestLeaderReads({site}: Harness, name: string, job: string) {
  const {listen} = site.find(name).plan;
  const replies = await Promise.all([
    askPeer(listen, 'control.lookup', {jobs: [job]}),
    askPeer(listen, 'control.configStatus', {}),
  ]);
  return replies.filter(reply => reply?.kind === 'done');
}

function watchDirectly({site}: Harness, name: string) {
  const {listen} = site.find(name).plan;
  return askPeer(listen, 'control.watch', {since: 0, topics: 'all'});
}

/** Lists the entries that hold a lease, as reported by a leader other than `except`. */
async function readEntries(harness: Harness, except: string) {
  const status = await harness.askControl(await harness.waitForLeader(except));
  return status?.entries ?? [];
}

/** Submits batches of small jobs, each job once, to alternating entries until `work` settles. */
async function submitDuring(
  harness: Harness,
  work: Promise<void>,
): Promise<readonly JobRecord[]> {
  const records: JobRecord[] = [];
  let isDone = false;
  const ended = work.finally(() => (isDone = true));
  for (let i = 0; !isDone; i++) {
    const jobs = planJobs(`during-${i}`, {jobs: 4, tasks: 2, taskMs: 20});
    records.push(...(await harness.submitOnce(jobs, i % 2)));
  }
  await ended;
  return records;
}

test.serial(
  'a rolling restart of the control replicas always leaves a leader and loses no answer',
  async t => {
    const harness = await Harness.open(t, {controls: 3});
    await using monitor = new VersionMonitor(harness.site);
    const names = harness.site.list('control').map(({name}) => name);
    const restartAll = async () => {
      for (const name of names) {
        await harness.waitUntil('all replicas have caught up', async () => {
          const leader = await harness.askControl(
            await harness.waitForLeader(),
          );
          return leader!.members.every(
            ({matchIndex}) => matchIndex >= leader!.commitIndex,
          );
        });
        const exit = await harness.site.kill(name, 'SIGTERM');
        t.deepEqual(exit, {kind: 'code', code: 0});
        const others = names.filter(other => other !== name);
        const roles = await Promise.all(
          others.map(async other => (await harness.askControl(other))?.role),
        );
        t.true(roles.includes('leader'), `after ${name}: ${roles.join()}`);
        await harness.site.restart(name);
        await harness.waitUntil(
          `${name} is a follower`,
          async () => (await harness.askControl(name))?.role === 'follower',
        );
      }
    };
    const records = await submitDuring(harness, restartAll());
    harness.assertAllComplete(records);
    t.deepEqual(monitor.regressions, []);
  },
);

test.serial(
  'killing the control leader loses no answer and no configuration version',
  async t => {
    const harness = await Harness.open(t, {controls: 3, leases: {}});
    await using monitor = new VersionMonitor(harness.site);
    const before = planJobs('before', shape);
    const submitted = harness.submitAll(before, 0);
    await harness.waitForStarts(8);
    const leader = await harness.waitForLeader();
    await harness.site.kill(leader, 'SIGKILL');
    await harness.waitForLeader(leader);
    const after = await harness.submitAll(planJobs('after', shape), 1);
    harness.assertAllComplete([...(await submitted), ...after]);
    await harness.site.restart(leader);
    await harness.waitUntil(
      'the restarted replica is a follower',
      async () => (await harness.askControl(leader))?.role === 'follower',
    );
    t.deepEqual(monitor.regressions, []);
  },
);

test.serial(
  'silently partitioning the control leader loses no answer and no configuration version',
  async t => {
    const harness = await Harness.open(t, {controls: 3, leases: {}});
    await using monitor = new VersionMonitor(harness.site);
    const before = planJobs('before', shape);
    const submitted = harness.submitAll(before, 0);
    await harness.waitForStarts(8);
    const leader = await harness.waitForLeader();
    dropTraffic(harness.site, leader);
    await harness.waitForLeader(leader);
    const after = await harness.submitAll(planJobs('after', shape), 1);
    harness.assertAllComplete([...(await submitted), ...after]);
    restoreTraffic(harness.site, leader);
    await harness.waitUntil(
      'the reconnected replica is a follower',
      async () => (await harness.askControl(leader))?.role === 'follower',
    );
    t.deepEqual(monitor.regressions, []);
  },
);

test.serial(
  'a partitioned leader answers no read while changes commit and entry epochs end, and becomes a follower after reconnecting',
  async t => {
    const harness = await Harness.open(t, {
      controls: 3,
      leases: shortEntryLeases,
    });
    const {site} = harness;
    await using monitor = new VersionMonitor(site);
    const oldLeader = await harness.waitForLeader();
    const [record] = await harness.submitAll(planJobs('before', shape), 0);
    const {job} = record!.plan;
    t.is((await requestLeaderReads(harness, oldLeader, job)).length, 2);
    dropTraffic(site, oldLeader);
    await harness.waitForLeader(oldLeader);
    await applyChanges(site, 'first', 1);
    const staleReplies: unknown[] = [];
    for (let round = 0; round < endedEpochs; round++) {
      await site.kill('entry-1', 'SIGKILL');
      await harness.waitUntil(
        'the epoch of the killed entry has ended',
        async () => {
          staleReplies.push(
            ...(await requestLeaderReads(harness, oldLeader, job)),
          );
          return (await readEntries(harness, oldLeader)).length === 1;
        },
      );
      await applyChanges(site, `round-${round}`, changesPerRound);
      staleReplies.push(...(await requestLeaderReads(harness, oldLeader, job)));
      await site.restart('entry-1');
      await harness.waitUntil(
        'the entry has a new epoch',
        async () => (await readEntries(harness, oldLeader)).length === 2,
      );
    }
    t.deepEqual(staleReplies, []);
    t.not((await harness.askControl(oldLeader))?.role, 'leader');
    t.is(await watchDirectly(harness, oldLeader), undefined);
    const version = await applyChanges(site, 'last', 1);
    restoreTraffic(site, oldLeader);
    await harness.waitUntil(
      'the reconnected replica is a follower at the latest version',
      async () => {
        const status = await harness.askControl(oldLeader);
        return status?.role === 'follower' && status.configVersion === version;
      },
    );
    const jobs = planJobs('after', shape);
    harness.assertAllComplete(await harness.submitAll(jobs, 1));
    t.deepEqual(monitor.regressions, []);
  },
);
