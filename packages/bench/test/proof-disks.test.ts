import {rmSync} from 'node:fs';
import {join} from 'node:path';
import test from 'ava';
import {replaceControl} from '#bench';
import {exitCode} from '#telemetry';
import {applyChanges} from '../src/configuration-changes.js';
import {dropTraffic, restoreTraffic} from '../src/isolation.js';
import {VersionMonitor} from '../src/version-monitor.js';
import {joinRecords, planJobs} from './jobs.js';
import {Harness} from './harness.js';

const shape = {jobs: 8, tasks: 2, taskMs: 50};

async function killAndDeleteData({site}: Harness, name: string): Promise<void> {
  await site.kill(name, 'SIGKILL');
  rmSync(join(site.options.data, name), {recursive: true});
}

test.serial(
  'losing a control host and its disk right after another one was replaced loses nothing acknowledged',
  async t => {
    const harness = await Harness.open(t, {controls: 3, leases: {}});
    const {site} = harness;
    await using monitor = new VersionMonitor(site);
    const leader = await harness.waitForLeader();
    const [lost, partitioned] = site
      .list('control')
      .map(({name}) => name)
      .filter(name => name !== leader) as [string, string];
    const early = planJobs('early', shape);
    const earlyRecords = await harness.submitAll(early, 0);
    await killAndDeleteData(harness, lost);
    await site.restart(lost);
    const {child} = site.find(lost);
    await harness.waitUntil(
      'the replica without its data is refused and exits',
      () => !child.isRunning,
    );
    t.deepEqual(await child.exited, {
      kind: 'code',
      code: exitCode.environment,
    });
    await replaceControl(site, lost, 'control-3');
    // From here on every commit needs the disks of `leader` and control-3.
    dropTraffic(site, partitioned);
    const version = await applyChanges(site, 'acknowledged', 3);
    const late = planJobs('late', shape);
    const lateRecords = await harness.submitAll(late, 1);
    const long = planJobs('long', {...shape, taskMs: 3000});
    const longRecords = harness.submitAll(long, 0);
    await harness.waitForJobs(long);
    await killAndDeleteData(harness, leader);
    restoreTraffic(site, partitioned);
    await harness.waitForLeader(leader);
    t.is(await applyChanges(site, 'after', 1), version + 1);
    await replaceControl(site, leader, 'control-4');
    const resubmitted = await harness.submitAll([...early, ...late], 0);
    harness.assertAllComplete([
      ...joinRecords([...earlyRecords, ...lateRecords], resubmitted),
      ...(await longRecords),
      ...(await harness.submitAll(planJobs('after', shape), 1)),
    ]);
    t.deepEqual(monitor.regressions, []);
  },
);
