import {rmSync} from 'node:fs';
import {join} from 'node:path';
import test from 'ava';
import {replaceControl} from '#bench';
import {exitCode} from '#telemetry';
import {applyChanges} from '../src/configuration-changes.js';
import {dropTraffic, restoreTraffic} from '../src/isolation.js';
import {VersionMonitor} from '../src/version-monitor.js';
import {joinRecords, planJobs} from './jobs.js';
import {Stand} from './stand.js';

const shape = {jobs: 8, tasks: 2, taskMs: 50};

async function loseDisk({site}: Stand, name: string): Promise<void> {
  await site.kill(name, 'SIGKILL');
  rmSync(join(site.options.data, name), {recursive: true});
}

test.serial(
  'a control host lost with its disk just after another one was replaced loses nothing acknowledged',
  async t => {
    const stand = await Stand.open(t, {controls: 3, leases: {}});
    const {site} = stand;
    await using watch = new VersionMonitor(site);
    const leader = await stand.awaitLeader();
    const [lost, behind] = site
      .list('control')
      .map(({name}) => name)
      .filter(name => name !== leader) as [string, string];
    const early = planJobs('early', shape);
    const earlyRecords = await stand.submitAll(early, 0);
    await loseDisk(stand, lost);
    await site.restart(lost);
    const {child} = site.find(lost);
    await stand.waitUntil('the lost id is refused', () => !child.isRunning);
    t.deepEqual(await child.exited, {
      kind: 'code',
      code: exitCode.environment,
    });
    await replaceControl(site, lost, 'control-3');
    // From here on the newcomer's disk is one of the two that a commit needs.
    dropTraffic(site, behind);
    const version = await applyChanges(site, 'acknowledged', 3);
    const late = planJobs('late', shape);
    const lateRecords = await stand.submitAll(late, 1);
    const long = planJobs('long', {...shape, taskMs: 3000});
    const answered = stand.submitAll(long, 0);
    await stand.waitForJobs(long);
    await loseDisk(stand, leader);
    restoreTraffic(site, behind);
    await stand.awaitLeader(leader);
    t.is(await applyChanges(site, 'after', 1), version + 1);
    await replaceControl(site, leader, 'control-4');
    const again = await stand.submitAll([...early, ...late], 0);
    stand.assertAllComplete([
      ...joinRecords([...earlyRecords, ...lateRecords], again),
      ...(await answered),
      ...(await stand.submitAll(planJobs('after', shape), 1)),
    ]);
    t.deepEqual(watch.regressions, []);
  },
);
