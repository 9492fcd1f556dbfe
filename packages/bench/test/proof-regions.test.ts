import test, {type ExecutionContext} from 'ava';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  Caller,
  countOutcomes,
  describeExecutor,
  describeSite,
  type Fault,
  hasNoViolations,
  type JobRecord,
  type PlannedJob,
  readJournal,
  type Site,
  waitUntil,
} from '#bench';
import {deriveJobId, monotonicClock} from '#model';
import {dialPeer} from '#protocol';
import {exitCode} from '#telemetry';
import {
  isAccepted,
  originRegion,
  otherRegion,
  RegionPair,
} from '../src/regions.js';
import {VersionMonitor} from '../src/version-monitor.js';
import {type JobShape, planJobs} from './jobs.js';

const guardMs = 60_000;
const askLimitMs = 1000;
const patient = {maxAttempts: 100, maxPauseMs: 500};
const shape = {jobs: 6, tasks: 3, taskMs: 100};
const homes = {
  'herd-registry': originRegion,
  licensing: originRegion,
  crossings: otherRegion,
};

interface ControlCounts {
  readonly origin: number;
  readonly other: number;
}

/** Two regions that are stopped after the test. */
async function openRegions(
  t: ExecutionContext,
  controls: ControlCounts = {origin: 1, other: 1},
): Promise<RegionPair> {
  const data = mkdtempSync(join(tmpdir(), 'wasabiring-regions-'));
  const regions = await RegionPair.start(homes, region =>
    describeSite(join(data, region), {
      region,
      controls: region === originRegion ? controls.origin : controls.other,
      entries: 1,
      targets: [describeExecutor('tally')],
      proxied: true,
    }),
  );
  t.teardown(async () => {
    await regions[Symbol.asyncDispose]();
    if (t.passed) rmSync(data, {recursive: true});
  });
  return regions;
}

function planFor(team: string, label: string, change: Partial<JobShape> = {}) {
  return planJobs(label, {...shape, ...change}).map(plan => ({
    ...plan,
    team,
    job: deriveJobId(team, plan.key),
  }));
}

async function submitAt(
  t: ExecutionContext,
  site: Site,
  jobs: readonly PlannedJob[],
  persistence = patient,
): Promise<readonly JobRecord[]> {
  const caller = new Caller(site.entryUrls);
  t.teardown(() => caller[Symbol.asyncDispose]());
  return Promise.all(jobs.map(plan => caller.submit(plan, 0, persistence)));
}

/** Asserts that every job has its whole answer and each of its tasks started once. */
function assertComplete(
  t: ExecutionContext,
  {origin, other}: RegionPair,
  records: readonly JobRecord[],
): void {
  const starts = [origin, other].flatMap(({journal}) => readJournal(journal));
  const counts = countOutcomes(starts, records);
  t.true(hasNoViolations(counts), JSON.stringify(counts));
  t.is(counts.complete, records.length);
}

async function askControl({plan}: Site['members'][number]) {
  const deadline = monotonicClock.now() + askLimitMs;
  const dialled = await dialPeer(plan.listen, {}, deadline);
  const peer = dialled.toMaybe().extract();
  const status = await peer?.request('control.status', {}, deadline);
  peer?.close('asked');
  return status?.toMaybe().extract();
}

async function findLeader(site: Site): Promise<string> {
  let found: string | undefined;
  await waitUntil('a control replica leads', guardMs, async () => {
    for (const member of site.list('control')) {
      const status = await askControl(member);
      if (status?.role === 'leader') found = member.name;
    }
    return found !== undefined;
  });
  return found!;
}

/** Waits until a version is in force at every running process of both regions. */
function awaitEverywhere(
  watches: readonly VersionMonitor[],
  version: number,
): Promise<void> {
  return waitUntil(`version ${version} everywhere`, guardMs, () =>
    watches.every(watch => watch.lowestSeen >= version),
  );
}

const cuts: readonly Fault[] = [{kind: 'swallow', way: 'both'}, {kind: 'cut'}];

for (const fault of cuts) {
  test.serial(
    `regions that lose each other (${fault.kind}) serve their own teams, and catch up after`,
    async t => {
      const regions = await openRegions(t);
      const {origin, other} = regions;
      await using near = new VersionMonitor(origin);
      await using far = new VersionMonitor(other);
      await awaitEverywhere([near, far], 2);
      const passed = await submitAt(t, origin, planFor('crossings', 'passed'));
      assertComplete(t, regions, passed);

      regions.inject(fault);
      const own = await Promise.all([
        submitAt(t, origin, planFor('herd-registry', 'near')),
        submitAt(t, other, planFor('crossings', 'far')),
      ]);
      assertComplete(t, regions, own.flat());
      t.true(isAccepted(await regions.apply(origin, 'while-apart', 2)));
      await waitUntil(
        'in force at the origin',
        guardMs,
        () => near.lowestSeen === 3,
      );
      const lost = planFor('crossings', 'lost', {jobs: 2, deadlineMs: 6000});
      const once = {...patient, maxAttempts: 1};
      const apart = await submitAt(t, origin, lost, once);
      for (const {attempts} of apart) {
        t.like(attempts[0]!.outcome, {
          kind: 'unknown',
          reason: 'home-unreachable',
        });
      }
      t.is(await regions.apply(other, 'from-afar', 3, 4000), exitCode.unknown);
      t.is(far.highestSeen, 2);

      regions.restore();
      await awaitEverywhere([near, far], 3);
      t.true(isAccepted(await regions.apply(other, 'from-afar', 3)));
      await awaitEverywhere([near, far], 4);
      const again = await submitAt(t, origin, lost);
      assertComplete(
        t,
        regions,
        again.map(({plan, attempts}, i) => ({
          plan,
          attempts: [...apart[i]!.attempts, ...attempts],
        })),
      );
      t.deepEqual([...near.regressions, ...far.regressions], []);
    },
  );
}

test.serial('a change outlives the leader of the origin', async t => {
  const regions = await openRegions(t, {origin: 3, other: 1});
  const {origin, other} = regions;
  await using far = new VersionMonitor(other);
  await awaitEverywhere([far], 2);
  await origin.kill(await findLeader(origin), 'SIGKILL');
  t.true(isAccepted(await regions.apply(other, 'by-the-next', 2)));
  await awaitEverywhere([far], 3);
  t.deepEqual(far.regressions, []);
});

test.serial(
  'a region whose leader dies while it catches up adopts the newest version',
  async t => {
    const regions = await openRegions(t, {origin: 1, other: 3});
    const {origin, other} = regions;
    await using far = new VersionMonitor(other);
    await awaitEverywhere([far], 2);
    const leader = await findLeader(other);
    regions.inject({kind: 'cut'});
    for (const version of [2, 3, 4]) {
      const changeId = `apart-${version}`;
      t.true(isAccepted(await regions.apply(origin, changeId, version)));
    }
    regions.restore();
    const killed = other.kill(leader, 'SIGKILL');
    await awaitEverywhere([far], 5);
    await killed;
    await other.restart(leader);
    await waitUntil('the dead replica has caught up', guardMs, async () => {
      const status = await askControl(other.find(leader));
      return status?.configVersion === 5;
    });
    t.deepEqual(far.regressions, []);
  },
);
